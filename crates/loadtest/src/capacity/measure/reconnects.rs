//! How often clients find their connection closed, at the operators' pace of one statement a client each 2.556 s: with room,
//! where a gateway counts itself crowded, and where it keeps fewer that have asked than there are. Counts, not times.

use std::time::Duration;

use super::process::{families, Gateway};
use super::statements::{play, Play};
use super::{Figures, Setup};
use crate::capacity::slopes::Point;

const CLIENTS: [usize; 5] = [200, 400, 800, 1_600, 3_239];
/// Seconds between two statements of a client in the mean.
const PACE: f64 = 2.3 / 0.9;
/// Before anything counts: longer than a client may be idle with room.
const WARM: Duration = Duration::from_secs(14);
const COUNTED: Duration = Duration::from_secs(10);
/// Slopes with the descriptors that a gateway has for each client: it is crowded below 4.5, keeps all below 4.
const ROOMS: [(&str, f64); 3] =
    [("reconnects_roomy_s", 5.0), ("reconnects_crowded_s", 4.2), ("reconnects_short_s", 2.5)];

/// Measures all three, the sizes side by side.
///
/// # Errors
/// What a gateway or the system says.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut figures = Figures::default();
    let known = families(4)?;
    for round in 0..setup.rounds {
        for (slope, room) in ROOMS {
            let one = |clients: usize| {
                let sockets = (clients as f64 * room) as usize + 48;
                let gateway = Gateway::start(setup, &known, sockets, "127.0.0.1:1")?;
                let plan = Play {
                    gateway: gateway.address,
                    families: 4,
                    clients,
                    rate: clients as f64 / PACE,
                    warm: WARM,
                    counted: COUNTED,
                    seed: u64::from(round) + 1,
                };
                play(plan, || ()).map(|counted| (clients, counted.reconnects))
            };
            let one = &one;
            let ended: Vec<Result<(usize, u64), String>> = std::thread::scope(|scope| {
                let all: Vec<_> = CLIENTS.iter().map(|clients| scope.spawn(move || one(*clients))).collect();
                let joined = all.into_iter().map(std::thread::ScopedJoinHandle::join);
                joined.map(|ended| ended.unwrap_or_else(|_| Err("a play panicked".into()))).collect()
            });
            for one in ended {
                let (clients, reconnects) = one?;
                figures.add(slope, clients, reconnects as f64 / COUNTED.as_secs_f64());
            }
        }
    }
    Ok(figures.points())
}
