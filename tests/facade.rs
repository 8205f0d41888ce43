//! The facade against random steps: what the network code relies on, whatever hosts do.

use std::collections::BTreeMap;

use dunemount::balancer::{Ask, Balancer, Due, Ended, Said, Ticket, Verdict};
use dunemount::request::{Broken, Cause, Ledger, Reach};
use dunemount::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START: Micros = Micros::millis(100_000);
const LONG: Micros = Micros::millis(800);

fn class(consistency: Consistency, late_weight: f64) -> Class {
    let window = Micros::millis(900);
    let idempotency = match consistency {
        Consistency::Write => Idempotency::IdempotencyKey { scope: DeduplicationScope::Group, window },
        _ => Idempotency::Idempotent,
    };
    let (latency_objective, deadline) = (Micros::millis(200), Micros::millis(800));
    Class { latency_objective, deadline, priority_weight: 1.0, late_weight, idempotency, consistency }
}

fn balancer(cancels: bool) -> Balancer {
    let settings = Settings {
        classes: vec![
            class(Consistency::BoundedStaleness(Micros::millis(500)), 0.0),
            class(Consistency::Session, 0.0),
            class(Consistency::Strong, 0.5),
            class(Consistency::Write, 0.5),
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        weight_basis: Default::default(),
        zone: ZoneId(0),
        gateways: 3,
        tick: Micros::millis(5),
        watch_required: false,
        replica_checks: ReplicaChecks::None,
        session_tokens: SessionTokens::Remembered,
        health_checks: true,
        cancels,
        peers: false,
        // The facade rules a second copy out even where a site would permit it.
        hedging: true,
        retry_after: true,
        clients_mark_retries: false,
        max_retry_after: Micros::millis(500),
        max_attempts: 4,
        health_check_price: 0.01,
        cross_zone_price: 0.01,
        handshake_price: 0.0,
        drain_grace: Micros::millis(300),
        removed_may_serve: false,
        connection_idle_timeout: Micros::millis(15_000),
        slow_start_initial: 0.2,
        slow_start_window: Micros::millis(10_000),
        overload_multiple: 2.0,
        overload_window: Micros::millis(2000),
    };
    let mut balancer = Balancer::new(settings, 7);
    let entry = |id: u64| Endpoint {
        member: MemberId(id),
        group: GroupId(1),
        weight: 1.0,
        primary: id == 1,
        ..Endpoint::default()
    };
    balancer.members(START, true, (1..=3).map(entry).collect());
    balancer
}

fn ask(class: usize, session: u64, time_left: Micros) -> Ask {
    Ask {
        class: ClassId(class),
        group: GroupId(1),
        session: SessionKey(session),
        committed: None,
        repeat: false,
        time_left,
    }
}

fn answer(said: Said, member: MemberId, position: Micros) -> Ended {
    let role = Some(if member == MemberId(1) { Role::Primary } else { Role::Replica });
    Ended::Answer { said, role, position: Some(position) }
}

/// The primary answers two reads, its log having gone on in between, and so proves the time of its log: without that no
/// replica's position says how old its data are, and one answer alone proves nothing.
fn tell_log_time(balancer: &mut Balancer) {
    for now in [START, START + Micros::millis(2)] {
        let (ticket, verdict) = balancer.pick(now, ask(0, 1, LONG));
        assert!(matches!(verdict, Verdict::Send { member: MemberId(1), .. }), "{verdict:?}");
        balancer.report(now, ticket, answer(Said::Served, MemberId(1), now));
    }
}

/// What the network code would hold: the deadline of each open request and the member it is out at.
#[derive(Default)]
struct Desk {
    open: BTreeMap<Ticket, (Micros, Option<MemberId>)>,
}

impl Desk {
    fn take(&mut self, ticket: Ticket, verdict: Verdict) {
        let (_, out) = self.open.get_mut(&ticket).expect("a verdict on a request that has ended");
        match verdict {
            Verdict::Held => {}
            Verdict::Send { member, .. } => {
                assert!(out.replace(member).is_none(), "two attempts out at once");
            }
            Verdict::Refuse { .. } | Verdict::Fail => {
                self.open.remove(&ticket);
            }
        }
    }

    fn settle(&mut self, now: Micros, balancer: &mut Balancer) {
        while let Some(due) = balancer.tick(now) {
            match due {
                Due::Verdict(ticket, verdict) => self.take(ticket, verdict),
                Due::Cancel(ticket) => {
                    self.open.get_mut(&ticket).expect("a cancel after the end").1 = None;
                }
                Due::Probe(member) => balancer.probed(now, member, answer(Said::Served, member, now)),
                Due::CloseIdle(_) | Due::Notice(_) => {}
            }
        }
        let overdue = self.open.values().any(|(until, _)| *until < now);
        assert!(!overdue, "a request was left without its answer");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Default::default()
    })]

    /// Guards the two promises the network code builds on: one final verdict for every request before
    /// its client gives up, and never a send while an attempt is out.
    #[test]
    fn every_request_gets_one_verdict_in_time(
        steps in prop::collection::vec((0..9u8, any::<u8>(), 1..60u64), 1..120),
        cancels in any::<bool>(),
    ) {
        let (mut balancer, mut desk, mut now) = (balancer(cancels), Desk::default(), START);
        for (step, pick, ms) in steps {
            let nth = |n: usize| usize::from(pick) % n.max(1);
            let out: Vec<_> = desk.open.iter().filter_map(|(t, (_, m))| Some((*t, (*m)?))).collect();
            let flying = out.get(nth(out.len())).copied();
            match (step, flying) {
                (0..=2, _) => {
                    // Down to nothing: a client's last try has little of its time left.
                    let left = Micros::millis(u64::from(pick) * 4);
                    let (ticket, verdict) = balancer.pick(now, ask(nth(4), u64::from(pick) % 5, left));
                    desk.open.insert(ticket, (now + left, None));
                    desk.take(ticket, verdict);
                }
                (3..=6, Some((ticket, member))) => {
                    let reach = [Reach::NotConnected, Reach::PartlyWritten, Reach::WhollyWritten][nth(3)];
                    let cause = [Cause::Lost, Cause::TimedOut, Cause::NotTried][nth(3)];
                    let ended = match step {
                        3 => answer(Said::Served, member, now),
                        4 => answer([Said::Miss, Said::TurnedAway, Said::Error][nth(3)], member, now),
                        _ => Ended::Broken(Broken { reach, cause }),
                    };
                    desk.open.get_mut(&ticket).expect("open").1 = None;
                    let verdict = balancer.report(now, ticket, ended);
                    if step == 3 {
                        prop_assert_eq!(verdict, Verdict::Held);
                        desk.open.remove(&ticket);
                    } else {
                        desk.take(ticket, verdict);
                    }
                }
                (7, _) => {
                    let Some(ticket) = desk.open.keys().nth(nth(desk.open.len())).copied() else { continue };
                    balancer.gone(now, ticket);
                    desk.open.remove(&ticket);
                }
                _ => {
                    // The loop wakes when something is due; it may be a little late.
                    let next = balancer.next_due().unwrap_or(START);
                    now = now.max(next.min(now + Micros::millis(ms))) + Micros(u64::from(pick));
                }
            }
            desk.settle(now, &mut balancer);
        }
    }
}

/// Guards the one place where the reach of a broken attempt decides whether it may have run: a write
/// that never ran is refused and so may be repeated, one that may have run is failed.
#[test]
fn reach_decides_what_a_write_is_told() {
    for reach in [Reach::NotConnected, Reach::PartlyWritten, Reach::WhollyWritten] {
        let (mut balancer, mut now) = (balancer(true), START);
        let (ticket, mut verdict) = balancer.pick(now, ask(3, 1, LONG));
        let last = loop {
            match verdict {
                Verdict::Send { .. } => {
                    let broken = Broken { reach, cause: Cause::Lost };
                    verdict = balancer.report(now, ticket, Ended::Broken(broken));
                }
                Verdict::Held => match balancer.tick(now) {
                    Some(Due::Verdict(_, due)) => verdict = due,
                    Some(_) => {}
                    None => now = now + Micros::millis(5),
                },
                last => break last,
            }
        };
        assert_eq!(last == Verdict::Fail, reach == Reach::WhollyWritten, "{reach:?}");
    }
}

/// Guards against a stale read: a replica chosen as just fresh enough may no longer be by the time
/// that its connection is up.
#[test]
fn a_choice_goes_stale_while_its_connection_comes_up() {
    let mut balancer = balancer(true);
    tell_log_time(&mut balancer);
    let position = START - Micros::millis(490);
    for member in [2, 3] {
        balancer.probed(START, MemberId(member), answer(Said::Served, MemberId(member), position));
    }
    let (ticket, verdict) = balancer.pick(START, ask(0, 1, LONG));
    assert!(matches!(verdict, Verdict::Send { member: MemberId(2 | 3), .. }));
    assert!(balancer.still_holds(START, ticket));
    assert!(!balancer.still_holds(START + Micros::millis(20), ticket));
    balancer.gone(START, ticket);
    assert!(!balancer.still_holds(START, ticket), "a request that has ended");
}

/// Guards that a client's leaving frees the member at once: the attempt counts as called off.
#[test]
fn a_request_that_is_gone_gets_no_verdict() {
    let mut balancer = balancer(true);
    let (ticket, verdict) = balancer.pick(START, ask(3, 1, LONG));
    assert!(matches!(verdict, Verdict::Send { .. }));
    balancer.gone(START, ticket);
    let broken = Ended::Broken(Broken { reach: Reach::WhollyWritten, cause: Cause::TimedOut });
    assert_eq!(balancer.report(START, ticket, broken), Verdict::Held);
    let later = START + Micros::millis(2000);
    while let Some(due) = balancer.tick(later) {
        assert!(!matches!(due, Due::Verdict(..) | Due::Cancel(_)), "{due:?}");
    }
}

/// Guards the ledger: one answer a request, one attempt at a time.
#[test]
fn the_ledger_gives_each_request_away_once() {
    let (mut ledger, mut balancer) = (Ledger::default(), balancer(true));
    let (ticket, _) = balancer.pick(START, ask(0, 1, LONG));
    ledger.open(ticket, "name", 'c', "work", START);
    assert!(ledger.bears("name") && !ledger.bears("other"));
    assert!(ledger.begin(ticket, 'a'));
    assert!(!ledger.begin(ticket, 'b'), "a second attempt while one is out");
    assert_eq!(ledger.end(ticket), Some('a'));
    assert!(ledger.begin(ticket, 'b'));
    assert_eq!(ledger.finish(ticket).and_then(|life| life.attempt()), Some('b'));
    assert!(ledger.finish(ticket).is_none() && !ledger.begin(ticket, 'd') && ledger.is_empty());
    assert!(!ledger.bears("name"), "an ended request leaves its name");
}

/// Guards against a request overdue: a client's last try may come with less time than the module needs
/// to notice, and is told so at once, harmlessly, instead of at its deadline.
#[test]
fn a_try_without_time_is_refused_at_once() {
    for class in 0..4 {
        let mut balancer = balancer(true);
        let (_, verdict) = balancer.pick(START, ask(class, 1, Micros::millis(8)));
        assert!(matches!(verdict, Verdict::Refuse { .. }), "{verdict:?}");
    }
}

/// Guards the client's chance to come again: a request that never reached a host gets its answer before
/// half of its time is over, in every class, though its group has no primary all the while.
#[test]
fn what_never_reached_a_host_is_not_held_for_long() {
    for class in 0..4 {
        let (mut balancer, mut now) = (balancer(true), START);
        let (ticket, mut verdict) = balancer.pick(now, ask(class, 1, LONG));
        while matches!(verdict, Verdict::Held | Verdict::Send { .. }) {
            let broken = Broken { reach: Reach::NotConnected, cause: Cause::Lost };
            match balancer.tick(now) {
                _ if verdict != Verdict::Held => {
                    verdict = balancer.report(now, ticket, Ended::Broken(broken));
                }
                Some(Due::Verdict(_, due)) => verdict = due,
                Some(Due::Probe(member)) => balancer.probed(now, member, Ended::Broken(broken)),
                Some(_) => {}
                None => now = now + Micros::millis(5),
            }
        }
        assert!(matches!(verdict, Verdict::Refuse { .. }), "class {class}: {verdict:?}");
        assert!(now < START + LONG.scale(0.5), "class {class}: held until {now:?}");
    }
}

/// Guards hosts put down by hand: whatever the list says, and also once it forgets them and names them
/// again, nothing new goes there until the call back, not even what waits for a connection. Back up, a
/// host counts as cold and gets its share within seconds.
#[test]
fn a_member_put_down_gets_nothing_until_it_is_back_up() {
    let (mut balancer, out) = (balancer(true), MemberId(2));
    let entry = |id: u64, state| Endpoint {
        member: MemberId(id),
        group: GroupId(1),
        weight: 1.0,
        primary: id == 1,
        state,
        ..Endpoint::default()
    };
    let mut now = START;
    // Counts what each member is sent in so many milliseconds of reads, all answered at once.
    let mut serve = |balancer: &mut Balancer, ms: u64| {
        let mut sent = BTreeMap::new();
        for _ in 0..ms / 20 {
            now = now + Micros::millis(20);
            while let Some(due) = balancer.tick(now) {
                if let Due::Probe(member) = due {
                    *sent.entry(member).or_insert(0) += 1;
                    balancer.probed(now, member, answer(Said::Served, member, now));
                }
            }
            if let (ticket, Verdict::Send { member, .. }) = balancer.pick(now, ask(0, 1, LONG)) {
                *sent.entry(member).or_insert(0) += 1;
                balancer.report(now, ticket, answer(Said::Served, member, now));
            }
        }
        (now, sent)
    };
    let (at, sent) = serve(&mut balancer, 2_000);
    assert!(sent[&out] > 10);
    let (waiting, verdict) = loop {
        let (ticket, verdict) = balancer.pick(at, ask(0, 1, LONG));
        if matches!(verdict, Verdict::Send { member, .. } if member == out) {
            break (ticket, verdict);
        }
    };
    assert!(matches!(verdict, Verdict::Send { .. }) && balancer.still_holds(at, waiting));
    for _ in 0..2 {
        balancer.set_administratively_down(at, out, true);
        assert!(!balancer.admits(out) && !balancer.still_holds(at, waiting));
    }
    assert_eq!(balancer.pool(), (3, 1));
    let (at, sent) = serve(&mut balancer, 1_000);
    assert!(!sent.contains_key(&out));
    balancer.members(at, true, vec![entry(1, EndpointState::Ready), entry(3, EndpointState::Ready)]);
    assert_eq!(balancer.pool(), (2, 0));
    let (at, _) = serve(&mut balancer, 1_000);
    balancer.members(at, false, vec![entry(2, EndpointState::Ready)]);
    let (at, sent) = serve(&mut balancer, 1_000);
    assert!(!sent.contains_key(&out), "it is back in the list and still down");
    balancer.set_administratively_down(at, out, false);
    assert_eq!(balancer.pool(), (3, 0));
    let (_, sent) = serve(&mut balancer, 5_000);
    assert!((1..120).contains(&sent[&out]), "a trickle for a cold member: {}", sent[&out]);
}

/// Guards the rules across an upgrade: what the process before knew binds this one, through the text
/// that it is passed on as. A session reads what it has written there, a replica's position counts, and
/// who was put down stays down.
#[test]
fn what_another_process_knew_binds_this_one() {
    let mut before = balancer(true);
    for member in [2, 3] {
        before.probed(START, MemberId(member), answer(Said::Served, MemberId(member), START));
    }
    before.set_administratively_down(START, MemberId(2), true);
    before.committed(GroupId(1), SessionKey(9), START + Micros::millis(50));
    let text = serde_json::to_string(&before.snapshot()).expect("written");
    let mut after = balancer(true);
    after.inherit(serde_json::from_str(&text).expect("read"), Some, Micros(0));
    let now = START + Micros::millis(100);
    for (session, wanted) in [(9, 1), (8, 3)] {
        let (_, verdict) = after.pick(now, ask(1, session, LONG));
        assert!(matches!(verdict, Verdict::Send { member: MemberId(to), .. } if to == wanted), "{verdict:?}");
    }
    // What is told later counts as well.
    after.committed(GroupId(1), SessionKey(8), now);
    let (_, verdict) = after.pick(now, ask(1, 8, LONG));
    assert!(matches!(verdict, Verdict::Send { member: MemberId(1), .. }), "{verdict:?}");
    assert_eq!(after.pool(), (3, 1));
}

/// Guards room at members whose answers flow: their work is done, and a slow reader must not keep
/// others waiting. The end of the answer is booked once, and a write's commit binds its session though
/// its request was closed at the first byte.
#[test]
fn a_member_has_room_again_once_its_answer_flows() {
    let mut balancer = balancer(true);
    for member in [2, 3] {
        balancer.probed(START, MemberId(member), answer(Said::Served, MemberId(member), START));
    }
    let mut out = Vec::new();
    let held = loop {
        match balancer.pick(START, ask(0, 1, LONG)) {
            (ticket, Verdict::Send { member, .. }) => out.push((ticket, member)),
            (ticket, _) => break ticket,
        }
    };
    for (ticket, _) in &out {
        assert!(balancer.started(START, *ticket));
    }
    let placed = std::iter::from_fn(|| balancer.tick(START))
        .any(|due| matches!(due, Due::Verdict(ticket, Verdict::Send { .. }) if ticket == held));
    assert!(placed, "the one that was held goes out while the answers still flow");
    let late = START + Micros::millis(5_000);
    for (ticket, member) in out {
        balancer.gone(START, held);
        assert_eq!(balancer.report(late, ticket, answer(Said::Served, member, START)), Verdict::Held);
    }
    let (write, verdict) = balancer.pick(late, ask(3, 5, LONG));
    assert!(matches!(verdict, Verdict::Send { member: MemberId(1), .. }), "{verdict:?}");
    assert!(balancer.started(late, write));
    balancer.report(late, write, answer(Said::Served, MemberId(1), late));
    assert!(!balancer.started(late, write), "it has ended");
    let (_, verdict) = balancer.pick(late, ask(1, 5, LONG));
    assert!(matches!(verdict, Verdict::Send { member: MemberId(1), .. }), "{verdict:?}");
}

/// Guards slow start where the time of day of this machine is off: a host whose start the list tells is cold or warm by the
/// databases' time, as soon as a primary has told it, whether its start seems to lie ahead, or long ago.
#[test]
fn a_host_is_cold_by_the_time_of_the_databases() {
    let now = Micros::millis(20_000_000);
    for off in [-3_600_000_000i64, -3_000_000, 0, 3_000_000, 3_600_000_000] {
        let start = now;
        for (age, cold) in [(Micros::millis(2_000), true), (Micros::millis(3_000_000), false)] {
            let mut balancer = balancer(true);
            let log_at = |now: Micros| Micros(now.0.checked_add_signed(off).expect("a time"));
            let (mut now, log) = (start, log_at(start));
            let entry = |id: u64| Endpoint {
                member: MemberId(id),
                group: GroupId(1),
                weight: 1.0,
                primary: id == 1,
                started: if id == 2 { log - age } else { Micros(0) },
                ..Endpoint::default()
            };
            balancer.members(now, true, (1..=3).map(entry).collect());
            // One to start from, and as many proofs as are asked for where the time of day is off by much.
            for _ in 0..4 {
                let (ticket, verdict) = balancer.pick(now, ask(0, 1, LONG));
                assert!(
                    matches!(verdict, Verdict::Send { member: MemberId(1), .. }),
                    "off by {off}: {verdict:?}"
                );
                balancer.report(now, ticket, answer(Said::Served, MemberId(1), log_at(now)));
                now = now + Micros::millis(5);
            }
            for member in [2, 3] {
                balancer.probed(now, MemberId(member), answer(Said::Served, MemberId(member), log_at(now)));
            }
            let mut sent = BTreeMap::new();
            for _ in 0..8 {
                if let (_, Verdict::Send { member, .. }) = balancer.pick(now, ask(0, 1, LONG)) {
                    *sent.entry(member.0).or_insert(0) += 1;
                }
            }
            assert!(sent.contains_key(&3), "off by {off}: {sent:?}");
            assert_eq!(sent.contains_key(&2), !cold, "off by {off}, {age:?} old: {sent:?}");
        }
    }
}

/// Guards session reads of a gateway that was held up for 0.15 s between its clock and the answer to a write: the commit is of
/// later than its clock shows, and is what the session has to see all the same.
#[test]
fn a_commit_heard_while_the_gateway_was_held_up_is_kept_as_it_was_told() {
    for held in [1, 10, 60, 100, 149] {
        let mut balancer = balancer(true);
        tell_log_time(&mut balancer);
        let mut now = START + Micros::millis(5);
        let (write, verdict) = balancer.pick(now, ask(3, 7, LONG));
        assert!(matches!(verdict, Verdict::Send { member: MemberId(1), .. }), "{verdict:?}");
        let commit = now + Micros::millis(held);
        balancer.report(now, write, answer(Said::Served, MemberId(1), commit));
        // Surveys of the family pass meanwhile.
        for _ in 0..30 {
            now = now + Micros::millis(5);
            while balancer.tick(now).is_some() {}
        }
        for member in [2, 3] {
            let before = commit - Micros::millis(1);
            balancer.probed(now, MemberId(member), answer(Said::Served, MemberId(member), before));
        }
        let (_, verdict) = balancer.pick(now, ask(1, 7, LONG));
        assert!(
            matches!(verdict, Verdict::Send { member: MemberId(1), .. }),
            "held for {held} ms: {verdict:?}"
        );
    }
}

/// Guards bounded reads after an answer of the primary whose position was spoilt: later, as a replica that is far behind, it is
/// not taken for as fresh as that said.
#[test]
fn a_spoilt_position_of_the_primary_is_not_believed_of_it_later() {
    for beyond in [200, 2_000, 3_600_000] {
        let mut balancer = balancer(true);
        tell_log_time(&mut balancer);
        let mut now = START + Micros::millis(5);
        let (ticket, _) = balancer.pick(now, ask(2, 1, LONG));
        let spoilt = now + Micros::millis(beyond);
        balancer.report(now, ticket, answer(Said::Served, MemberId(1), spoilt));
        now = now + Micros::millis(700);
        while balancer.tick(now).is_some() {}
        // A write tells that it is a replica now, 700 ms behind.
        let (ticket, verdict) = balancer.pick(now, ask(3, 1, LONG));
        assert!(matches!(verdict, Verdict::Send { member: MemberId(1), .. }), "{verdict:?}");
        let (said, role, position) = (Said::Miss, Some(Role::Replica), Some(START + Micros::millis(5)));
        balancer.report(now, ticket, Ended::Answer { said, role, position });
        let (_, verdict) = balancer.pick(now, ask(0, 2, LONG));
        assert!(!matches!(verdict, Verdict::Send { member: MemberId(1), .. }), "{beyond} ms: {verdict:?}");
    }
}

/// Guards hosts from what is this gateway's own doing: a read that was written too late is asked elsewhere, and nothing is held
/// against the host; one that may not be repeated fails, since it may have run.
#[test]
fn a_read_that_was_written_too_late_is_asked_elsewhere() {
    for late in [10, 150, 2_000] {
        let mut balancer = balancer(true);
        tell_log_time(&mut balancer);
        let now = START + Micros::millis(2);
        for member in [2, 3] {
            let position = now - Micros::millis(492);
            balancer.probed(now, MemberId(member), answer(Said::Served, MemberId(member), position));
        }
        let (ticket, verdict) = balancer.pick(now, ask(0, 1, Micros::millis(5_000)));
        assert!(matches!(verdict, Verdict::Send { member: MemberId(2 | 3), .. }), "{verdict:?}");
        assert!(balancer.still_covers(now, ticket));
        let written = now + Micros::millis(late);
        assert!(!balancer.still_covers(written, ticket), "{late} ms");
        let broken = Broken { reach: Reach::WhollyWritten, cause: Cause::WrittenTooLate };
        let verdict = balancer.report(now, ticket, Ended::Broken(broken));
        let asked_elsewhere = matches!(verdict, Verdict::Send { .. } | Verdict::Held);
        assert!(asked_elsewhere, "{verdict:?}");
        assert_eq!(balancer.pool().1, 0, "nobody is ejected");
    }
}
