//! What a list costs a gateway: `Watch::receive`, `Directory::take` and `Balancer::update_endpoints`, in this thread; what an
//! idle balancer's survey costs; and how long positions of all hosts would be, as `postcard` writes them.

use std::time::Instant;

use dunemount::attempt::{AttemptOutcome, ResponseStatus};
use dunemount::balancer::{Balancer, RoutingDecision, RoutingRequest};
use dunemount::net::clock::Clock;
use dunemount::net::discovery::{Directory, EndpointList, Watch};
use dunemount::settings::SiteSettings;
use dunemount::{ClassId, GroupId, Micros, Role, SessionKey};
use dunemount_fleet::frame;
use serde_json::{json, Value};

use super::process::{answer, own_cpu_us};
use super::{site, target, targets, Figures, Setup, FAMILY, HOSTS};
use crate::capacity::slopes::Point;

/// Hosts that change at once: one, and up to a zone of six.
const CHANGES: [usize; 5] = [1, 21, 42, 84, 167];
/// Times that each is done in a round.
const REPEATS: usize = 20;
/// Time over which an idle balancer is driven.
const DRIVEN: Micros = Micros::millis(20_000);
/// One statement each so often keeps its survey at its usual pace.
const PACE: Micros = Micros::millis(10);
/// Bytes of one host's position: its number, milliseconds since the message's time, its role.
type Position = (u16, u32, bool);

/// Microseconds of reading, directory and balancer.
#[derive(Default)]
struct Cost([f64; 3]);

fn take(
    cost: &mut Cost,
    bytes: &[u8],
    directory: &mut Directory,
    balancer: &mut Balancer,
    clock: &Clock,
) -> Result<(), String> {
    let mut watch = Watch::from_version(None);
    let from = Instant::now();
    // As the event loop reads: so many bytes at a time.
    let mut listing: Option<EndpointList> = None;
    for part in bytes.chunks(16 * 1024) {
        listing = watch.receive(part, false).map_err(|bad| format!("list: {bad:?}"))?;
    }
    let listing = listing.ok_or("list: not whole")?;
    let read = Instant::now();
    let all = listing.all;
    let (entries, unread) = directory.update(listing, clock);
    let taken = Instant::now();
    balancer.update_endpoints(clock.read(), all, entries);
    let done = Instant::now();
    for (sum, (from, to)) in cost.0.iter_mut().zip([(from, read), (read, taken), (taken, done)]) {
        *sum += (to - from).as_secs_f64() * 1e6 / REPEATS as f64;
    }
    if unread > 0 {
        return Err(format!("list: {unread} lines unread"));
    }
    Ok(())
}

fn whole(targets: &[Value]) -> Vec<u8> {
    answer(&json!({"rev": 1, "all": true, "targets": targets}))
}

/// Processor time a second of a balancer that knows so many hosts and has next to nothing to do.
fn survey(site: &SiteSettings, known: &[Value], families: usize) -> Result<f64, String> {
    let clock = Clock::start();
    let (mut directory, mut balancer) = (Directory::default(), Balancer::new(site.router.clone(), 1));
    take(&mut Cost::default(), &whole(known), &mut directory, &mut balancer, &clock)?;
    let (start, cpu) = (clock.read(), own_cpu_us());
    let (mut now, mut asked) = (start, 0u64);
    while now < start + DRIVEN {
        while balancer.poll_output(now).is_some() {}
        asked += 1;
        let ask = RoutingRequest {
            class: ClassId(0),
            group: GroupId(asked % families as u64),
            session: SessionKey(asked),
            committed: None,
            repeat: false,
            time_left: Micros::millis(1_000),
        };
        let (request_id, decision) = balancer.pick(now, ask);
        if let RoutingDecision::Send { .. } = decision {
            let ended = AttemptOutcome::Response {
                status: ResponseStatus::Served,
                role: Some(Role::Primary),
                position: Some(now),
            };
            balancer.handle_outcome(now, request_id, ended);
        } else {
            balancer.handle_client_gone(now, request_id);
        }
        now = now + PACE;
    }
    Ok((own_cpu_us() - cpu) / (DRIVEN.as_f64() / 1e6))
}

/// Measures all of them.
///
/// # Errors
/// What cannot be read.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let (mut figures, site, clock) = (Figures::default(), site()?, Clock::start());
    for _ in 0..setup.rounds {
        for hosts in HOSTS {
            let known = targets(hosts);
            let bytes = whole(&known);
            let mut cost = Cost::default();
            for seed in 0..REPEATS {
                let mut directory = Directory::default();
                let mut balancer = Balancer::new(site.router.clone(), seed as u64);
                take(&mut cost, &bytes, &mut directory, &mut balancer, &clock)?;
            }
            let [read, taken, members] = cost.0;
            figures.add("list_bytes", hosts, bytes.len() as f64);
            figures.add("list_read_us", hosts, read);
            figures.add("list_take_us", hosts, taken);
            figures.add("list_members_us", hosts, members);
            figures.add("list_us", hosts, read + taken + members);
            figures.add("survey_us_s", hosts, survey(&site, &known, hosts / FAMILY)?);
            figures.add("position_bytes", hosts, positions(hosts)?);
        }
        let known = targets(HOSTS[HOSTS.len() - 1]);
        let (mut directory, mut balancer) = (Directory::default(), Balancer::new(site.router.clone(), 1));
        take(&mut Cost::default(), &whole(&known), &mut directory, &mut balancer, &clock)?;
        for changed in CHANGES {
            let mut cost = Cost::default();
            let mut bytes = Vec::new();
            for repeat in 0..REPEATS {
                let state = ["Terminating", "Gone", "Ready"][repeat % 3];
                let line = |index: usize| target(index * 6, "10.9.9.9:5432", state, 1_000 * repeat as u64);
                let lines: Vec<Value> = (0..changed).map(line).collect();
                bytes = answer(&json!({"rev": 2, "all": false, "targets": lines}));
                take(&mut cost, &bytes, &mut directory, &mut balancer, &clock)?;
            }
            figures.add("change_bytes", changed, bytes.len() as f64);
            figures.add("change_us", changed, cost.0.iter().sum());
        }
    }
    Ok(figures.points())
}

/// Bytes of the datagrams that would carry positions of so many hosts.
fn positions(hosts: usize) -> Result<f64, String> {
    let (mut bytes, mut message) = (0, Vec::new());
    for host in 0..hosts {
        let position: Position = (host as u16, 20 + host as u32 % 500, host % FAMILY == 0);
        let one = postcard::to_stdvec(&position).map_err(|e| e.to_string())?;
        // Eight more for the time that all positions of the message count from.
        if message.len() + one.len() + 8 > frame::MAX_MESSAGE_BYTES {
            bytes += datagram(&message)?;
            message.clear();
        }
        message.extend(one);
    }
    Ok((bytes + datagram(&message)?) as f64)
}

fn datagram(message: &[u8]) -> Result<usize, String> {
    let whole = [&[0; 8], message].concat();
    frame::encode(0, frame::MessageKind::Order, &whole)
        .map(|bytes| bytes.len())
        .ok_or("positions: too long".into())
}
