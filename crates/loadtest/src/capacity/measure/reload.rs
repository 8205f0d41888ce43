//! A gateway's process that knows so many hosts: its memory, and its processor time for a SIGHUP, which reads the
//! configuration anew and asks discovery for the whole list.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::process::{Discovery, Gateway};
use super::{targets, Figures, Setup, HOSTS};
use crate::capacity::slopes::Point;

/// SIGHUPs in a round, and the time for each to be through with.
const TIMES: u32 = 5;
const EACH: Duration = Duration::from_millis(200);
/// Until the first list has been taken in.
const START: Duration = Duration::from_millis(500);

/// Measures both.
///
/// # Errors
/// What the gateway or the system says, or that a SIGHUP did not ask for the list once.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut figures = Figures::default();
    for _ in 0..setup.rounds {
        for hosts in HOSTS {
            let known = targets(hosts);
            let discovery = Discovery::start(&known)?;
            let gateway = Gateway::start(setup, &known, 1_024, &discovery.address.to_string())?;
            std::thread::sleep(START);
            figures.add("host_kib", hosts, gateway.memory_kib());
            let before = gateway.cpu_us();
            std::thread::sleep(EACH * TIMES);
            let idle = gateway.cpu_us() - before;
            let (lists, before) = (discovery.lists.load(Ordering::Relaxed), gateway.cpu_us());
            for _ in 0..TIMES {
                gateway.reload()?;
                std::thread::sleep(EACH);
            }
            let lists = discovery.lists.load(Ordering::Relaxed) - lists;
            if lists != u64::from(TIMES) {
                return Err(format!("{TIMES} SIGHUPs asked for {lists} lists"));
            }
            figures.add(
                "reload_cpu_us",
                hosts,
                (gateway.cpu_us() - before - idle).max(0.0) / f64::from(TIMES),
            );
        }
    }
    Ok(figures.points())
}
