//! The decision module in blocking style: [`Balancer::pick`] a member for a request,
//! [`Balancer::report`] how the attempt ended, [`Balancer::tick`] for all that has fallen due.
//! Timers and attempt numbers live here; events and actions stay behind this line.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::balance::{self, Router};
use crate::notice::{Notice, ReadBasis};
use crate::request::{Broken, Cause};

/// A request's number, unique while the gateway runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What the client asks for.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Its class.
    pub class: ClassId,
    /// Its group.
    pub group: GroupId,
    /// Its session; dropped in classes that have none.
    pub session: SessionKey,
    /// Position of its session's last commit, where the client carries one.
    pub committed: Option<Micros>,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// Time until the client gives up.
    pub time_left: Micros,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Start an attempt.
    Send {
        /// Where to.
        member: MemberId,
        /// How long to wait for its answer.
        timeout: Micros,
    },
    /// Wait: a later [`Due`] decides.
    Held,
    /// Final answer: refused, a further try is harmless.
    Refuse {
        /// When to come back, if there is advice.
        come_back: Option<Micros>,
    },
    /// Final answer: failed, with no word on its effect.
    Fail,
}

/// Something that has fallen due.
#[derive(Clone, Debug, PartialEq)]
pub enum Due {
    /// The verdict on a request that was held.
    Verdict(Ticket, Verdict),
    /// Stop waiting for the request's attempt. It is booked already.
    Cancel(Ticket),
    /// Ask a member how it is and call [`Balancer::probed`].
    Probe(MemberId),
    /// Close the idle connections to a member.
    CloseIdle(MemberId),
    /// Something for the operators' log.
    Notice(Notice),
}

/// What a host's answer says, whatever the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// Served.
    Served,
    /// Wrong role or too far behind; no effect.
    Miss,
    /// Turned away; never ran.
    TurnedAway,
    /// The host failed; it may have run.
    Error,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug)]
pub enum Ended {
    /// With an answer.
    Answer {
        /// What it says.
        said: Said,
        /// The host's role as it answered.
        role: Option<Role>,
        /// Its position, or the commit of a write.
        position: Option<Micros>,
    },
    /// Without one.
    Broken(Broken),
}

impl Ended {
    /// The module's word for it. The one place where the reach of an attempt decides its outcome.
    fn status(self) -> AttemptStatus {
        match self {
            Ended::Answer { said: Said::Served, .. } => AttemptStatus::Ok,
            Ended::Answer { said: Said::Miss, .. } => AttemptStatus::Unsuitable,
            Ended::Answer { said: Said::TurnedAway, .. } => AttemptStatus::Rejected,
            Ended::Answer { said: Said::Error, .. } => AttemptStatus::Error,
            Ended::Broken(broken) if broken.may_have_run() => match broken.cause {
                Cause::TimedOut => AttemptStatus::Timeout,
                Cause::WrittenTooLate => AttemptStatus::Withdrawn,
                Cause::Spoilt => AttemptStatus::Malformed,
                Cause::Lost | Cause::NotTried => AttemptStatus::Reset,
            },
            Ended::Broken(Broken { cause: Cause::Lost | Cause::Spoilt, .. }) => AttemptStatus::ConnectFailed,
            Ended::Broken(_) => AttemptStatus::NotSent,
        }
    }
}

/// The attempt that is out for a request.
struct Flight {
    attempt: AttemptNo,
    member: MemberId,
    sent: Micros,
    /// When its answer began to flow to the client.
    began: Option<Micros>,
}

/// A request as far as the facade follows it.
struct Track {
    class: ClassId,
    until: Micros,
    sends: u32,
    flight: Option<Flight>,
}

/// What a balancer knows, for the process that follows.
#[derive(Clone, Serialize, Deserialize)]
pub struct Snapshot {
    groups: BTreeSet<GroupId>,
    pool: BTreeSet<MemberId>,
    router: balance::Snapshot,
}

impl Snapshot {
    /// Adds what another worker of the same gateway knows; their families differ.
    pub fn join(&mut self, other: Snapshot) {
        self.groups.extend(other.groups);
        self.pool.extend(other.pool);
        self.router.join(other.router);
    }

    /// What concerns some families.
    pub fn part(mut self, own: impl Fn(GroupId) -> bool) -> Snapshot {
        self.groups.retain(|group| own(*group));
        self.router = self.router.part(own);
        let members = self.router.members();
        self.pool.retain(|member| members.contains(member));
        self
    }
}

/// The facade over the decision module.
pub struct Balancer {
    router: Router,
    /// Need and effect of each class.
    kinds: Vec<(Consistency, Idempotency)>,
    groups: BTreeSet<GroupId>,
    /// The members that the list names.
    pool: BTreeSet<MemberId>,
    next_ticket: u64,
    tracks: BTreeMap<Ticket, Track>,
    timers: BTreeSet<(Micros, TimerId)>,
    due: VecDeque<Due>,
}

impl Balancer {
    /// A balancer that knows its settings only. Two attempts at once are ruled out, whatever they say.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = Settings { hedging: false, ..settings };
        Balancer {
            kinds: settings.classes.iter().map(|class| (class.consistency, class.idempotency)).collect(),
            router: Router::with_own_clock(settings, seed),
            groups: BTreeSet::new(),
            pool: BTreeSet::new(),
            next_ticket: 0,
            tracks: BTreeMap::new(),
            timers: BTreeSet::new(),
            due: VecDeque::new(),
        }
    }

    /// Goes on under new settings. Classes that open requests bear keep their places.
    pub fn retune(&mut self, settings: Settings) {
        self.kinds = settings.classes.iter().map(|class| (class.consistency, class.idempotency)).collect();
        self.router.retune(Settings { hedging: false, ..settings });
    }

    /// The longest that any client waits, by the settings.
    pub fn longest_deadline(&self) -> Micros {
        self.router.longest_deadline()
    }

    /// Whether an open request is of this class.
    pub fn bears(&self, class: ClassId) -> bool {
        self.tracks.values().any(|track| track.class == class)
    }

    /// Takes in a member list or a change to it.
    pub fn members(&mut self, now: Micros, full: bool, endpoints: Vec<Endpoint>) {
        self.groups.extend(endpoints.iter().map(|entry| entry.group));
        if full {
            self.pool.clear();
        }
        for entry in &endpoints {
            match entry.state {
                EndpointState::Ready | EndpointState::Draining => self.pool.insert(entry.member),
                EndpointState::Removed => self.pool.remove(&entry.member),
            };
        }
        let update = if full { EndpointUpdate::Full } else { EndpointUpdate::Incremental };
        self.drive(now, Event::Endpoints { update, endpoints });
    }

    /// What is known, for the process that follows.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot { groups: self.groups.clone(), pool: self.pool.clone(), router: self.router.snapshot() }
    }

    /// Takes over what another process knew. `place` says where a class of this one stood there, `error` by how much this
    /// process's clock may differ from that one's.
    pub fn inherit(&mut self, snapshot: Snapshot, place: impl Fn(ClassId) -> Option<ClassId>, error: Micros) {
        let known = |class| place(ClassId(class)).and_then(|at| snapshot.router.means.get(at.0).copied());
        let means: Vec<Option<f64>> = (0..self.kinds.len()).map(known).collect();
        (self.groups, self.pool) = (snapshot.groups, snapshot.pool);
        self.router.inherit(snapshot.router, &means, error);
    }

    /// A session's write was committed at another process of this gateway.
    pub fn committed(&mut self, group: GroupId, session: SessionKey, commit: Micros) {
        self.router.committed(group, session, commit);
    }

    /// What a session's reads in a group must see, where that is held against it alone.
    pub fn commit(&self, group: GroupId, session: SessionKey) -> Option<Micros> {
        self.router.commit(group, session)
    }

    /// Leaves a member out at the operators' word, whatever the list says, or puts it back.
    pub fn set_administratively_down(&mut self, now: Micros, member: MemberId, down: bool) {
        self.drive(now, Event::SetAdministrativelyDown { member, down });
    }

    /// Whether the list names a member.
    pub fn lists(&self, member: MemberId) -> bool {
        self.pool.contains(&member)
    }

    /// Number of members in the list, and of those among them that are avoided.
    pub fn pool(&self) -> (usize, usize) {
        (self.pool.len(), self.pool.iter().filter(|member| self.router.avoids(**member)).count())
    }

    /// Whether the member may be sent anything new.
    pub fn admits(&self, member: MemberId) -> bool {
        self.router.admits(member)
    }

    /// Whether a list has ever named this group.
    pub fn knows(&self, group: GroupId) -> bool {
        self.groups.contains(&group)
    }

    /// Whether requests of this class write, and whether they carry a key.
    pub fn wants(&self, class: ClassId) -> (bool, bool) {
        let (consistency, idempotency) = self.kinds[class.0];
        (consistency == Consistency::Write, matches!(idempotency, Idempotency::IdempotencyKey { .. }))
    }

    /// Takes a request on. Unless held it is decided at once.
    pub fn pick(&mut self, now: Micros, ask: Ask) -> (Ticket, Verdict) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.tracks
            .insert(ticket, Track { class: ask.class, until: now + ask.time_left, sends: 0, flight: None });
        let keyed =
            matches!(self.kinds.get(ask.class.0), Some((Consistency::Write | Consistency::Session, _)));
        self.drive(
            now,
            Event::Request(Request {
                id: RequestId(ticket.0),
                class: ask.class,
                group: ask.group,
                session: keyed.then_some(ask.session),
                committed: ask.committed,
                tenant: None,
                repeat: ask.repeat,
                time_left: ask.time_left,
            }),
        );
        (ticket, self.verdict_on(ticket))
    }

    /// The attempt's answer has begun to flow to the client: the request is its own from here on, and
    /// nothing will be decided about it any more. False if it has been decided already.
    #[must_use]
    pub fn started(&mut self, now: Micros, ticket: Ticket) -> bool {
        let track = self.tracks.get_mut(&ticket);
        let Some(flight) = track.and_then(|track| track.flight.as_mut()) else { return false };
        flight.began = Some(now);
        self.drive(now, Event::Started { request: RequestId(ticket.0) });
        true
    }

    /// Books the end of the attempt that is out. A served request is finished; for any other the
    /// verdict says how it goes on.
    pub fn report(&mut self, now: Micros, ticket: Ticket, ended: Ended) -> Verdict {
        let flight = self.tracks.get(&ticket).and_then(|track| track.flight.as_ref());
        let flows = flight.is_some_and(|flight| flight.began.is_some());
        let finished = flows || matches!(ended, Ended::Answer { said: Said::Served, .. });
        self.outcome(now, ticket, ended, finished);
        if finished {
            self.tracks.remove(&ticket);
        }
        self.verdict_on(ticket)
    }

    /// Whether the attempt that is out may still be written to its member, after a connection took
    /// its time to come up.
    pub fn still_holds(&self, now: Micros, ticket: Ticket) -> bool {
        self.tracks.contains_key(&ticket) && self.router.holds(now, RequestId(ticket.0))
    }

    /// Whether what is known of the member that a request is out at covers what the request must see, were its last byte
    /// written now.
    pub fn still_covers(&self, now: Micros, ticket: Ticket) -> bool {
        self.router.covers(now, RequestId(ticket.0))
    }

    /// What the choice of the member that a request is out at rested on.
    pub fn read_basis(&self, now: Micros, ticket: Ticket) -> Option<ReadBasis> {
        self.router.read_basis(now, RequestId(ticket.0))
    }

    /// Tells of single requests as well from now on.
    pub fn trace(&mut self) {
        self.router.trace();
    }

    /// The ticket of a request that a notice names.
    pub fn ticket(request: RequestId) -> Ticket {
        Ticket(request.0)
    }

    /// The client has left or was answered by other means: nothing is owed any more.
    pub fn gone(&mut self, now: Micros, ticket: Ticket) {
        self.due.retain(|due| !matches!(due, Due::Verdict(t, _) | Due::Cancel(t) if *t == ticket));
        if self.tracks.contains_key(&ticket) {
            self.drive(now, Event::ClientLeft(RequestId(ticket.0)));
            self.abandon(now, ticket);
        }
    }

    /// Books the end of a probe and what the member said of itself.
    pub fn probed(&mut self, now: Micros, member: MemberId, ended: Ended) {
        let report = match ended {
            Ended::Answer { role, position, .. } => HealthReport { position, role },
            Ended::Broken(_) => HealthReport::default(),
        };
        self.drive(now, Event::HealthChecked { member, status: ended.status(), report });
    }

    /// Lets due timers act and hands out what has fallen due, in order.
    pub fn tick(&mut self, now: Micros) -> Option<Due> {
        if self.due.is_empty() {
            // Timers set while these act wait for the next call, or one due at once would never end.
            let later = self.timers.split_off(&(now + Micros(1), TimerId(0)));
            for (_, timer) in std::mem::replace(&mut self.timers, later) {
                self.drive(now, Event::Timer(timer));
            }
        }
        self.due.pop_front()
    }

    /// When [`Balancer::tick`] has something to do next.
    pub fn next_due(&self) -> Option<Micros> {
        if self.due.is_empty() {
            self.timers.first().map(|(at, _)| *at)
        } else {
            Some(Micros(0))
        }
    }

    /// The verdict that the last event brought for a request.
    fn verdict_on(&mut self, ticket: Ticket) -> Verdict {
        let place = self.due.iter().position(|due| matches!(due, Due::Verdict(t, _) if *t == ticket));
        match place.and_then(|index| self.due.remove(index)) {
            Some(Due::Verdict(_, verdict)) => verdict,
            _ => Verdict::Held,
        }
    }

    fn outcome(&mut self, now: Micros, ticket: Ticket, ended: Ended, finished: bool) {
        let (role, position) = match ended {
            Ended::Answer { role, position, .. } => (role, position),
            Ended::Broken(_) => (None, None),
        };
        self.book(now, ticket, ended.status(), finished, role, position);
    }

    fn book(
        &mut self,
        now: Micros,
        ticket: Ticket,
        status: AttemptStatus,
        finished: bool,
        role: Option<Role>,
        position: Option<Micros>,
    ) {
        let Some(flight) = self.tracks.get_mut(&ticket).and_then(|track| track.flight.take()) else { return };
        self.drive(
            now,
            Event::Outcome(Outcome {
                request: RequestId(ticket.0),
                attempt: flight.attempt,
                member: flight.member,
                status,
                latency: flight.began.unwrap_or(now) - flight.sent,
                finished,
                role,
                position,
                report: HealthReport::default(),
            }),
        );
    }

    /// Forgets a finished request; what it still had out counts as called off.
    fn abandon(&mut self, now: Micros, ticket: Ticket) {
        self.book(now, ticket, AttemptStatus::Cancelled, true, None, None);
        self.tracks.remove(&ticket);
    }

    fn drive(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, member, timeout } => {
                    let ticket = Ticket(request.0);
                    let Some(track) = self.tracks.get_mut(&ticket) else { continue };
                    track.flight =
                        Some(Flight { attempt: AttemptNo(track.sends), member, sent: now, began: None });
                    track.sends += 1;
                    let left = track.until - now;
                    let timeout = timeout.map_or(left, |t| t.min(left));
                    self.due.push_back(Due::Verdict(ticket, Verdict::Send { member, timeout }));
                }
                Action::Reject { request, retry_after } => {
                    self.conclude(now, Ticket(request.0), Verdict::Refuse { come_back: retry_after });
                }
                Action::Fail { request } => self.conclude(now, Ticket(request.0), Verdict::Fail),
                Action::Cancel { request, .. } => {
                    let ticket = Ticket(request.0);
                    if self.tracks.get(&ticket).is_some_and(|track| track.flight.is_some()) {
                        self.due.push_back(Due::Cancel(ticket));
                        self.book(now, ticket, AttemptStatus::Cancelled, true, None, None);
                    }
                }
                Action::HealthCheck { member } => self.due.push_back(Due::Probe(member)),
                Action::CloseIdle { member } => self.due.push_back(Due::CloseIdle(member)),
                Action::SetTimer { timer, at } => {
                    self.timers.insert((at, timer));
                }
                Action::Notice(notice) => self.due.push_back(Due::Notice(notice)),
                // The list is always watched, and there is no way to talk to other gateways.
                Action::Watch | Action::Gossip { .. } => {}
            }
        }
    }

    /// Hands on a final answer. A verdict to send that nobody has fetched yet is void with it, and
    /// whoever gets the answer closes the attempt's connection.
    fn conclude(&mut self, now: Micros, ticket: Ticket, verdict: Verdict) {
        if !self.tracks.contains_key(&ticket) {
            return;
        }
        self.due.retain(|due| !matches!(due, Due::Verdict(t, _) if *t == ticket));
        self.due.push_back(Due::Verdict(ticket, verdict));
        self.abandon(now, ticket);
    }
}
