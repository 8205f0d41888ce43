//! The router where there is much of everything: families larger than one draw looks at, sessions that are
//! passed by the thousand, families by the thousand. Steps are bounded in what they look at, not in time.

use std::collections::BTreeMap;

use dunemount::*;

const READ: ClassId = ClassId(0);
const OWN: ClassId = ClassId(1);
const WRITE: ClassId = ClassId(2);
const START: Micros = Micros::millis(100_000);

fn settings() -> Settings {
    let class = |consistency, idempotency| {
        let (latency_objective, deadline) = (Micros::millis(200), Micros::millis(2000));
        Class {
            latency_objective,
            deadline,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency,
            consistency,
        }
    };
    let keyed = Idempotency::IdempotencyKey { scope: DeduplicationScope::Group, window: Micros::millis(900) };
    Settings {
        classes: vec![
            class(Consistency::BoundedStaleness(Micros::millis(500)), Idempotency::Idempotent),
            class(Consistency::Session, Idempotency::Idempotent),
            class(Consistency::Write, keyed),
        ],
        tenants: vec![],
        over_quota_weight: 1.0,
        weight_basis: Default::default(),
        zone: ZoneId(0),
        gateways: 1,
        tick: Micros::millis(1),
        watch_required: false,
        replica_checks: ReplicaChecks::None,
        session_tokens: SessionTokens::Remembered,
        health_checks: true,
        cancels: true,
        peers: false,
        hedging: false,
        retry_after: true,
        clients_mark_retries: false,
        max_retry_after: Micros::millis(500),
        max_attempts: 4,
        health_check_price: 0.01,
        cross_zone_price: 0.0,
        handshake_price: 0.0,
        drain_grace: Micros::millis(300),
        removed_may_serve: false,
        connection_idle_timeout: Micros::millis(15_000),
        slow_start_initial: 0.2,
        slow_start_window: Micros::millis(10_000),
        overload_multiple: 2.0,
        overload_window: Micros::millis(2000),
    }
}

/// Families of so many members, numbered through from 1; the first of each is its primary.
struct Site {
    router: Router,
    now: Micros,
    next: u64,
}

impl Site {
    fn new(families: u64, members: u64) -> Site {
        let mut site = Site { router: Router::new(settings(), 7), now: START, next: 0 };
        let endpoints = (0..families * members).map(|place| Endpoint {
            member: MemberId(place + 1),
            group: GroupId(place / members),
            weight: 1.0,
            primary: place % members == 0,
            ..Endpoint::default()
        });
        let endpoints = endpoints.collect();
        site.event(Event::Endpoints { update: EndpointUpdate::Full, endpoints });
        site
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets the router sweep whenever it asked for it, up to this much later; gives the time of each step
    /// and what it asked for.
    fn run(&mut self, time: Micros) -> Vec<(Micros, Vec<Action>)> {
        let end = self.now + time;
        let mut steps = Vec::new();
        while self.now < end {
            self.now = self.now + Micros::millis(1);
            let actions = self.event(Event::Timer(TimerId(0)));
            if !actions.is_empty() {
                steps.push((self.now, actions));
            }
        }
        steps
    }

    /// Asks, and says where the request goes if it goes anywhere; it is answered at once.
    fn ask(
        &mut self,
        class: ClassId,
        group: u64,
        session: u64,
        position: Option<Micros>,
    ) -> Option<MemberId> {
        self.next += 1;
        let id = RequestId(self.next);
        let (group, session) = (GroupId(group), Some(SessionKey(session)));
        let time_left = Micros::millis(2000);
        let request = Request { id, class, group, session, time_left, ..Request::default() };
        let actions = self.event(Event::Request(request));
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { request, member, .. } if *request == id => Some(*member),
            _ => None,
        })?;
        self.event(Event::Outcome(Outcome {
            request: id,
            attempt: AttemptNo(0),
            member: sent,
            status: AttemptStatus::Ok,
            latency: Micros::millis(1),
            finished: true,
            role: None,
            position,
            report: HealthReport::default(),
        }));
        Some(sent)
    }

    fn tell(&mut self, member: u64, position: Micros) {
        let report = HealthReport { position: Some(position), role: None };
        self.event(Event::HealthChecked { member: MemberId(member), status: AttemptStatus::Ok, report });
    }

    fn sessions(&self) -> usize {
        let snapshot = serde_json::to_value(self.router.snapshot()).expect("a snapshot");
        snapshot["sessions"].as_object().expect("sessions").len()
    }
}

/// Guards large families: a draw that looks at some members only still gives each its share, leaves the
/// primary out, and never takes one that does not cover the read.
#[test]
fn a_draw_from_part_of_a_large_family_is_fair_and_fresh() {
    let mut site = Site::new(1, 300);
    let (fresh, stale) = (site.now, Micros(site.now.0 - 5_000_000));
    for member in 2..=300 {
        site.tell(member, if member % 3 == 0 { stale } else { fresh });
    }
    let mut shares = BTreeMap::new();
    for _ in 0..20_000 {
        let member = site.ask(READ, 0, 1, None).expect("there is room");
        *shares.entry(member.0).or_insert(0u32) += 1;
    }
    assert!(shares.keys().all(|member| *member != 1 && member % 3 != 0), "only replicas that cover it");
    assert_eq!(shares.len(), 199, "each of them has its part");
    // An even share is 100; a window that always began at one place would starve most.
    assert!(shares.values().all(|share| (40..250).contains(share)), "{shares:?}");
}

/// Guards a large family in which no replica covers a read: the primary serves it.
#[test]
fn the_primary_serves_where_nobody_looked_at_covers() {
    let mut site = Site::new(1, 300);
    assert_eq!(site.ask(READ, 0, 1, None), Some(MemberId(1)));
}

/// Guards against a step that forgets a million sessions: they go in the order of their commits, so many at a
/// time, and until a replica that joins has passed them none of their commits is missed.
#[test]
fn sessions_are_forgotten_in_bounded_steps() {
    let mut site = Site::new(1, 3);
    let commit = site.now + Micros::millis(10);
    for session in 0..5_000 {
        site.router.committed(GroupId(0), SessionKey(session), commit + Micros(session));
    }
    site.now = commit + Micros::millis(100);
    site.tell(2, commit + Micros(4_999));
    site.tell(3, commit + Micros(4_999));
    let mut left = vec![site.sessions()];
    while *left.last().expect("one") > 0 {
        site.run(Micros::millis(60));
        left.push(site.sessions());
        assert!(left.len() < 60, "{left:?}");
    }
    assert!(left.windows(2).all(|two| two[0] - two[1] <= 2 * 512), "{left:?}");
    assert!(left.len() > 3, "{left:?}");
    // A member from an older copy: forgotten commits hold it back as a whole.
    let late = Endpoint { member: MemberId(4), group: GroupId(0), weight: 1.0, ..Endpoint::default() };
    site.event(Event::Endpoints { update: EndpointUpdate::Incremental, endpoints: vec![late] });
    site.tell(4, commit + Micros(4_998));
    for _ in 0..200 {
        assert_ne!(site.ask(OWN, 0, 7, None), Some(MemberId(4)));
    }
    site.tell(4, commit + Micros(4_999));
    assert!((0..200).any(|_| site.ask(OWN, 0, 7, None) == Some(MemberId(4))));
}

/// Guards sessions that write to two families: what one has passed says nothing of the other, neither for
/// the token nor for the pin.
#[test]
fn a_session_has_a_token_in_each_family() {
    let mut site = Site::new(2, 2);
    assert_eq!(site.ask(WRITE, 0, 7, Some(START)), Some(MemberId(1)));
    site.now = site.now + Micros::millis(10);
    let commit = site.now;
    assert_eq!(site.ask(WRITE, 1, 7, Some(commit)), Some(MemberId(3)));
    site.tell(2, commit);
    site.run(Micros::millis(200));
    assert_eq!(site.ask(OWN, 1, 7, None), Some(MemberId(3)), "its replica has not reached the write");
    assert_eq!(site.ask(OWN, 0, 7, None), Some(MemberId(2)));
    site.tell(4, commit);
    assert_eq!(site.ask(OWN, 1, 7, None), Some(MemberId(4)));
}

/// Guards both ways of a snapshot: a session that wrote to two families has its tokens in the next process.
#[test]
fn a_snapshot_carries_the_tokens_of_all_families() {
    let mut site = Site::new(2, 2);
    let commit = site.now;
    for group in 0..2 {
        site.router.committed(GroupId(group), SessionKey(7), commit);
    }
    let told = serde_json::to_string(&site.router.snapshot()).expect("a snapshot");
    let mut next = Site::new(2, 2);
    next.router.restore(serde_json::from_str(&told).expect("as it was told"), &[], Micros(0));
    for (group, replica) in [(0, 2), (1, 4)] {
        next.tell(replica, Micros(commit.0 - 1));
        assert_eq!(next.ask(OWN, group, 7, None), Some(MemberId(replica - 1)));
        next.tell(replica, commit);
        assert_eq!(next.ask(OWN, group, 7, None), Some(MemberId(replica)));
    }
}

/// Guards a site of so many families that a survey takes several steps: the member asked longest ago is
/// probed first wherever it is, so that in time every family is.
#[test]
fn a_survey_in_parts_reaches_every_family() {
    let families = 500;
    let mut site = Site::new(families, 3);
    let mut probed = BTreeMap::new();
    for _ in 0..800 {
        // Requests pay for probes.
        for _ in 0..12 {
            site.ask(READ, site.next % families, 1, None);
        }
        for (_, actions) in site.run(Micros::millis(50)) {
            for action in actions {
                if let Action::HealthCheck { member } = action {
                    *probed.entry(member.0).or_insert(0u32) += 1;
                    let position = site.now;
                    site.tell(member.0, position);
                }
            }
        }
    }
    assert_eq!(probed.len() as u64, 3 * families, "every member");
    assert!(probed.values().all(|times| *times <= 3), "none much more often than the others");
}
