//! The time that an endpoint list costs a gateway in `Watch::receive`, `Directory::update` and
//! `Balancer::update_endpoints`, on the calling thread; the CPU time of an idle balancer's periodic refresh; and the
//! bytes that the positions of all hosts would take in `postcard` encoding.

use std::time::Instant;

use dunemount::attempt::{AttemptOutcome, ResponseStatus};
use dunemount::balancer::{Balancer, RoutingDecision, RoutingRequest};
use dunemount::net::clock::Clock;
use dunemount::net::discovery::{Directory, EndpointList, Watch};
use dunemount::settings::SiteSettings;
use dunemount::{ClassId, GroupId, Micros, Role, SessionKey};
use dunemount_fleet::frame;
use serde_json::{json, Value};

use super::process::{http_response, thread_cpu_us};
use super::{site_settings, target, unreachable_targets, Measurements, Setup, HOSTS_PER_GROUP, HOST_COUNTS};
use crate::capacity::slopes::Point;

/// Numbers of hosts that change at once: from one up to a sixth of all, a zone.
const CHANGES: [usize; 5] = [1, 21, 42, 84, 167];
/// Repetitions in each round.
const REPEATS: usize = 20;
/// Virtual time over which an idle balancer is driven.
const DRIVEN_TIME: Micros = Micros::millis(20_000);
/// Interval between statements, which keep the idle balancer's refresh at its usual interval.
const STATEMENT_INTERVAL: Micros = Micros::millis(10);
/// One host's position in a message: its number, milliseconds relative to the message's time, whether it is the
/// primary.
type Position = (u16, u32, bool);

/// Mean microseconds of parsing the list, updating the directory and updating the balancer.
#[derive(Default)]
struct Cost([f64; 3]);

fn apply_list(
    cost: &mut Cost,
    bytes: &[u8],
    directory: &mut Directory,
    balancer: &mut Balancer,
    clock: &Clock,
) -> Result<(), String> {
    let mut watch = Watch::from_version(None);
    let start = Instant::now();
    // Read in chunks, as the event loop does.
    let mut list: Option<EndpointList> = None;
    for chunk in bytes.chunks(16 * 1024) {
        list = watch
            .receive(chunk, false)
            .map_err(|error| format!("endpoint list cannot be parsed: {error:?}"))?;
    }
    let list = list.ok_or("endpoint list is incomplete")?;
    let read = Instant::now();
    let all = list.all;
    let (entries, unread) = directory.update(list, clock);
    let updated = Instant::now();
    balancer.update_endpoints(clock.read(), all, entries);
    let done = Instant::now();
    for (sum, (from, to)) in cost.0.iter_mut().zip([(start, read), (read, updated), (updated, done)]) {
        *sum += (to - from).as_secs_f64() * 1e6 / REPEATS as f64;
    }
    if unread > 0 {
        return Err(format!("endpoint list has {unread} unreadable targets"));
    }
    Ok(())
}

fn full_list(targets: &[Value]) -> Vec<u8> {
    http_response(&json!({"rev": 1, "all": true, "targets": targets}))
}

/// CPU time, in microseconds per second of virtual time, of a nearly idle balancer that knows these targets.
fn refresh_cost(site_settings: &SiteSettings, targets: &[Value], groups: usize) -> Result<f64, String> {
    let clock = Clock::start();
    let (mut directory, mut balancer) =
        (Directory::default(), Balancer::new(site_settings.router.clone(), 1));
    apply_list(&mut Cost::default(), &full_list(targets), &mut directory, &mut balancer, &clock)?;
    let (start, cpu) = (clock.read(), thread_cpu_us());
    let (mut now, mut statement_count) = (start, 0u64);
    while now < start + DRIVEN_TIME {
        while balancer.poll_output(now).is_some() {}
        statement_count += 1;
        let request = RoutingRequest {
            class: ClassId(0),
            group: GroupId(statement_count % groups as u64),
            session: SessionKey(statement_count),
            committed: None,
            repeat: false,
            time_left: Micros::millis(1_000),
        };
        let (request_id, decision) = balancer.pick(now, request);
        if let RoutingDecision::Send { .. } = decision {
            let outcome = AttemptOutcome::Response {
                status: ResponseStatus::Served,
                role: Some(Role::Primary),
                position: Some(now),
            };
            balancer.handle_outcome(now, request_id, outcome);
        } else {
            balancer.handle_client_gone(now, request_id);
        }
        now = now + STATEMENT_INTERVAL;
    }
    Ok((thread_cpu_us() - cpu) / (DRIVEN_TIME.as_f64() / 1e6))
}

/// Measures lists, changes, the refresh and positions.
///
/// # Errors
/// Settings or an endpoint list that cannot be read, or a message of positions that is too long.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let (mut measurements, site_settings, clock) =
        (Measurements::default(), site_settings()?, Clock::start());
    for _ in 0..setup.rounds {
        for hosts in HOST_COUNTS {
            let targets = unreachable_targets(hosts);
            let bytes = full_list(&targets);
            let mut cost = Cost::default();
            for seed in 0..REPEATS {
                let mut directory = Directory::default();
                let mut balancer = Balancer::new(site_settings.router.clone(), seed as u64);
                apply_list(&mut cost, &bytes, &mut directory, &mut balancer, &clock)?;
            }
            let [read_us, directory_us, balancer_us] = cost.0;
            measurements.add("list_bytes", hosts, bytes.len() as f64);
            measurements.add("list_read_us", hosts, read_us);
            measurements.add("list_take_us", hosts, directory_us);
            measurements.add("list_members_us", hosts, balancer_us);
            measurements.add("list_us", hosts, read_us + directory_us + balancer_us);
            measurements.add(
                "survey_us_s",
                hosts,
                refresh_cost(&site_settings, &targets, hosts / HOSTS_PER_GROUP)?,
            );
            measurements.add("position_bytes", hosts, position_bytes(hosts)?);
        }
        let targets = unreachable_targets(HOST_COUNTS[HOST_COUNTS.len() - 1]);
        let (mut directory, mut balancer) =
            (Directory::default(), Balancer::new(site_settings.router.clone(), 1));
        apply_list(&mut Cost::default(), &full_list(&targets), &mut directory, &mut balancer, &clock)?;
        for changed in CHANGES {
            let mut cost = Cost::default();
            let mut bytes = Vec::new();
            for repeat in 0..REPEATS {
                let state = ["Terminating", "Gone", "Ready"][repeat % 3];
                let change = |index: usize| target(index * 6, "10.9.9.9:5432", state, 1_000 * repeat as u64);
                let changes: Vec<Value> = (0..changed).map(change).collect();
                bytes = http_response(&json!({"rev": 2, "all": false, "targets": changes}));
                apply_list(&mut cost, &bytes, &mut directory, &mut balancer, &clock)?;
            }
            measurements.add("change_bytes", changed, bytes.len() as f64);
            measurements.add("change_us", changed, cost.0.iter().sum());
        }
    }
    Ok(measurements.points())
}

/// Total size, in bytes, of the datagrams that would carry the positions of `hosts` hosts.
fn position_bytes(hosts: usize) -> Result<f64, String> {
    let (mut bytes, mut message) = (0, Vec::new());
    for host in 0..hosts {
        let position: Position = (host as u16, 20 + host as u32 % 500, host % HOSTS_PER_GROUP == 0);
        let encoded = postcard::to_stdvec(&position).map_err(|e| e.to_string())?;
        // Eight more bytes for the time that all positions of the message are relative to.
        if message.len() + encoded.len() + 8 > frame::MAX_MESSAGE_BYTES {
            bytes += datagram_bytes(&message)?;
            message.clear();
        }
        message.extend(encoded);
    }
    Ok((bytes + datagram_bytes(&message)?) as f64)
}

fn datagram_bytes(message: &[u8]) -> Result<usize, String> {
    let framed = [&[0; 8], message].concat();
    frame::encode(0, frame::MessageKind::Order, &framed)
        .map(|bytes| bytes.len())
        .ok_or("a message of positions exceeds the datagram size".into())
}
