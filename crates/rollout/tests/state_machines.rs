//! A control machine's part and a gateway's part by themselves: what each does with words that a whole fleet seldom says.

use std::sync::Arc;
use std::time::Duration;

use dunemount_rollout::connection::ConnectionId;
use dunemount_rollout::control::{
    self, ControlServer, DocumentStore, InvalidDocument, PersistentState, RegisterEvent,
};
use dunemount_rollout::follower::{self, ApplyError, Follower};
use dunemount_rollout::frame::{encode_frame, FrameReader};
use dunemount_rollout::history::VersionHistory;
use dunemount_rollout::settings::{ControlServerInfo, Timeouts};
use dunemount_rollout::version::{Digest, Document, Version};
use dunemount_rollout::wire::*;

const MILLI: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn version(number: u64, document: &str) -> Version {
    Version { number, digest: Digest::of(document.as_bytes()) }
}

fn document(number: u64, bytes: &str) -> Document {
    Document::verify(version(number, bytes), bytes.as_bytes().into()).expect("fits")
}

fn newest(number: u64, bytes: &str) -> Message {
    Message::Newest(version(number, bytes), bytes.as_bytes().into())
}

fn put(bytes: &str) -> Message {
    Message::Propose(bytes.as_bytes().into())
}

fn servers(count: usize) -> Vec<ControlServerInfo> {
    (0..count)
        .map(|index| ControlServerInfo { name: format!("ctl-{index}"), zone: format!("zone-{index}") })
        .collect()
}

fn messages(bytes: &[u8]) -> Vec<Message> {
    let mut frames = FrameReader::default();
    frames.push(bytes);
    std::iter::from_fn(|| frames.next_message().expect("sense")).collect()
}

/// A history of documents, each proposed under its number times ten.
fn history(documents: &[&str]) -> VersionHistory {
    let step = |history: VersionHistory, document: &&str| {
        let number = history.newest().map_or(0, |version| version.number) + 1;
        history.with_next(Digest::of(document.as_bytes()), number * 10)
    };
    documents.iter().fold(VersionHistory::default(), step)
}

// ---- a control machine

#[derive(Default)]
struct MemoryStore {
    state: PersistentState,
    broken: bool,
    checked: Vec<Option<u64>>,
}

impl DocumentStore for MemoryStore {
    fn validate(&mut self, document: &[u8], previous: Option<&Document>) -> Result<(), InvalidDocument> {
        self.checked.push(previous.map(|previous| previous.version().number));
        if document.starts_with(b"bad") {
            Err(InvalidDocument("line 3: bad".to_string()))
        } else {
            Ok(())
        }
    }

    fn store(&mut self, state: &PersistentState) -> bool {
        if !self.broken {
            self.state = state.clone();
        }
        !self.broken
    }
}

/// A control server, what it wants, and its store.
struct ControlHarness {
    now: Duration,
    control: ControlServer,
    store: MemoryStore,
    sent: Vec<(ConnectionId, Message)>,
    closed: Vec<ConnectionId>,
    register_outputs: Vec<control::Output>,
    log_lines: Vec<String>,
    connection_requests: Vec<(ConnectionId, usize)>,
}

impl ControlHarness {
    fn new(count: usize, stored: PersistentState) -> ControlHarness {
        let settings = control::Settings {
            fleet: "test".to_string(),
            name: "ctl-0".to_string(),
            servers: servers(count),
            timeouts: Timeouts::default(),
            read_interval: SECOND,
            freshness: SECOND * 3,
            proposal_timeout: SECOND * 5,
            seed: 1,
        };
        let control = ControlServer::new(settings, stored, Duration::ZERO);
        let mut harness = ControlHarness {
            now: Duration::ZERO,
            control,
            store: MemoryStore::default(),
            sent: Vec::new(),
            closed: Vec::new(),
            register_outputs: Vec::new(),
            log_lines: Vec::new(),
            connection_requests: Vec::new(),
        };
        harness.tick();
        harness
    }

    fn tick(&mut self) {
        self.control.tick(self.now);
        self.drain_outputs();
    }

    fn drain_outputs(&mut self) {
        while let Some(out) = self.control.next_output() {
            match out {
                control::Output::Connect(id, server) => self.connection_requests.push((id, server)),
                control::Output::Send(id, bytes) => {
                    self.sent.extend(messages(&bytes).into_iter().map(|message| (id, message)));
                }
                control::Output::Close(id) => self.closed.push(id),
                control::Output::Log(line) => self.log_lines.push(line),
                ask => self.register_outputs.push(ask),
            }
        }
    }

    /// Lets time go on, with all ticks.
    fn wait(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        while self.control.next_tick() <= until {
            self.now = self.now.max(self.control.next_tick());
            self.tick();
        }
        self.now = until;
    }

    fn receive(&mut self, id: ConnectionId, message: &Message) {
        self.control.handle_bytes(self.now, id, &encode_frame(message), &mut self.store);
        self.drain_outputs();
    }

    fn register_event(&mut self, event: RegisterEvent) {
        self.control.handle_register_event(self.now, event, &mut self.store);
        self.drain_outputs();
    }

    /// A look tells at once.
    fn answer_read(&mut self, history: &VersionHistory) {
        let value = history.newest().map(|_| history.encode());
        self.register_event(RegisterEvent::Read { value, started_at: self.now });
    }

    fn connect_as(&mut self, identity: Identity) -> ConnectionId {
        let id = self.control.handle_accepted(self.now).expect("let in");
        self.receive(id, &Message::Hello(Hello::new("test", identity)));
        id
    }

    fn gateway(&mut self, name: &str) -> ConnectionId {
        self.connect_as(Identity::Gateway { name: name.to_string(), zone: "zone-0".to_string() })
    }

    /// What was sent over a connection since it was last asked, without that it is there.
    fn take_sent(&mut self, id: ConnectionId) -> Vec<Message> {
        let sent = std::mem::take(&mut self.sent);
        let (here, rest): (Vec<_>, Vec<_>) = sent.into_iter().partition(|(to, _)| *to == id);
        self.sent = rest;
        let alive = |message: &Message| matches!(message, Message::Heartbeat { .. });
        here.into_iter().map(|(_, message)| message).filter(|message| !alive(message)).collect()
    }

    /// What is asked of the register since it was last asked.
    fn take_register_outputs(&mut self) -> Vec<control::Output> {
        std::mem::take(&mut self.register_outputs)
    }

    /// The connections to the other machines come up.
    fn connect(&mut self) {
        for (id, _) in std::mem::take(&mut self.connection_requests) {
            self.control.handle_connected(self.now, id);
        }
        self.drain_outputs();
    }
}

fn stored_version(number: u64, bytes: &str) -> PersistentState {
    PersistentState { versions: vec![document(number, bytes)], pending: Vec::new() }
}

/// Guards who is talked to: of this form and fleet, by a name that fits, within its time, and with its own words alone.
#[test]
fn a_control_machine_talks_only_to_whom_it_knows() {
    let mut harness = ControlHarness::new(3, PersistentState::default());
    let hello = |protocol_version, fleet: &str, identity| {
        Message::Hello(Hello { protocol_version, fleet: fleet.to_string(), identity })
    };
    let control = |name: &str| Identity::ControlServer { name: name.to_string() };
    for first in [
        hello(PROTOCOL_VERSION + 1, "test", Identity::Command),
        hello(PROTOCOL_VERSION, "another", Identity::Command),
        hello(PROTOCOL_VERSION, "test", control("ctl-9")),
        hello(PROTOCOL_VERSION, "test", control("ctl-0")),
        Message::QueryStatus,
    ] {
        let id = harness.control.handle_accepted(harness.now).expect("let in");
        harness.receive(id, &first);
        assert_eq!(harness.closed.pop(), Some(id), "{first:?}");
    }
    assert_eq!(harness.log_lines.len(), 2, "form and fleet are sent");
    let gateway = harness.gateway("gw-1");
    harness.receive(gateway, &put("good"));
    assert_eq!(harness.closed.pop(), Some(gateway), "a gateway puts nothing");
    let gateway = harness.gateway("gw-1");
    harness.control.handle_bytes(harness.now, gateway, &2_000u32.to_be_bytes(), &mut harness.store);
    harness.drain_outputs();
    assert_eq!(harness.closed.pop(), Some(gateway), "nor does it say much");
    let first = harness.connect_as(control("ctl-1"));
    let second = harness.connect_as(control("ctl-1"));
    assert_eq!(harness.closed.pop(), Some(first), "a new connection says that the one before is lost");
    let silent = harness.control.handle_accepted(harness.now).expect("let in");
    harness.connection_requests.clear();
    harness.wait(SECOND * 3);
    assert!(harness.closed.contains(&silent) && harness.closed.contains(&second));
}

/// Guards what connections may cost: so many and no more, and of the operators' tool fewer.
#[test]
fn connections_and_gateways_are_bounded() {
    let mut harness = ControlHarness::new(1, PersistentState::default());
    let tools: Vec<ConnectionId> = (0..9).map(|_| harness.connect_as(Identity::Command)).collect();
    assert_eq!(harness.closed, [tools[8]]);
    let mut ids = Vec::new();
    for index in 0..MAX_GATEWAYS + 10 {
        harness.now += MILLI;
        ids.push(harness.gateway(&format!("gw-{index}")));
    }
    let status = harness.control.status(harness.now);
    assert_eq!(status.gateways.len(), MAX_GATEWAYS);
    assert!(status.gateways.iter().all(|seen| seen.name != "gw-0"), "the one silent for longest goes");
    while harness.control.handle_accepted(harness.now).is_some() {
        ids.push(ConnectionId(0));
    }
    assert!(ids.len() + 8 <= MAX_GATEWAYS + 64, "{}", ids.len());
    harness.control.handle_closed(harness.now, ids[5]);
    assert!(harness.control.handle_accepted(harness.now).is_some(), "room again");
    harness.control.set_members(vec!["x".repeat(100); 2_000]);
    let status = harness.control.status(harness.now);
    assert!(status.members.len() == MAX_GATEWAYS && status.members[0].len() == MAX_NAME_BYTES);
}

/// Guards when a version is given out: once a look has told that it is the newest, for as long as that counts, once for each
/// connection, and not what was rejected; one that is only older is told of nothing else.
#[test]
fn the_newest_is_given_out_only_while_it_is_known_to_be() {
    let mut harness = ControlHarness::new(1, stored_version(1, "one"));
    let gateway = harness.gateway("gw-1");
    let has = |in_force, rejected| Message::VersionReport { in_force, rejected };
    harness.receive(gateway, &has(None, None));
    assert_eq!(harness.take_sent(gateway), [], "not before the register has told");
    assert_eq!(harness.take_register_outputs(), [control::Output::ReadRegister], "which is asked first");
    harness.answer_read(&history(&["one"]));
    assert_eq!(harness.take_sent(gateway), [newest(1, "one")]);
    harness.receive(gateway, &has(None, None));
    assert_eq!(harness.take_sent(gateway), [], "once");
    harness.wait(SECOND);
    harness.answer_read(&history(&["one"]));
    harness.wait(SECOND * 2 + MILLI);
    harness.receive(gateway, &has(None, None));
    assert_eq!(harness.take_sent(gateway), [newest(1, "one")], "again after a while");
    let rejected = Rejection { version: version(1, "one"), reason: "port in use".to_string() };
    let other = harness.gateway("gw-2");
    harness.receive(other, &has(None, Some(rejected.clone())));
    let ahead = harness.gateway("gw-3");
    harness.receive(ahead, &has(Some(version(2, "two")), None));
    assert_eq!(
        (harness.take_sent(other), harness.take_sent(ahead)),
        (vec![], vec![]),
        "neither what it rejected nor what is older"
    );
    let status = harness.control.status(harness.now);
    let seen: Vec<_> = status.gateways.iter().map(|seen| (seen.in_force, seen.rejected.clone())).collect();
    assert_eq!(seen, [(None, None), (None, Some(rejected)), (Some(version(2, "two")), None)]);
    // It sleeps, and wakes up late.
    harness.now += SECOND * 60;
    let late = harness.gateway("gw-4");
    harness.receive(late, &has(None, None));
    assert_eq!(harness.take_sent(late), []);
    assert!(!harness.control.status(harness.now).fresh);
    harness.answer_read(&history(&["one"]));
    assert_eq!(harness.take_sent(late), [newest(1, "one")]);
}

/// Guards what is not on its disk: it is not given out, and is stored once that can be done.
#[test]
fn what_is_not_stored_is_not_given_out() {
    let mut harness = ControlHarness::new(2, PersistentState::default());
    harness.connect();
    let peer = harness.connect_as(Identity::ControlServer { name: "ctl-1".to_string() });
    harness.receive(peer, &Message::StoreDocument(b"one"[..].into()));
    assert_eq!(harness.take_sent(peer), [Message::DocumentStored(Digest::of(b"one"))]);
    harness.store.broken = true;
    harness.receive(peer, &Message::StoreDocument(b"two"[..].into()));
    assert_eq!(harness.take_sent(peer), [], "not kept, not sent to be");
    harness.receive(peer, &Message::Chosen(version(1, "one")));
    harness.answer_read(&history(&["one"]));
    let gateway = harness.gateway("gw-1");
    harness.receive(gateway, &Message::VersionReport { in_force: None, rejected: None });
    assert_eq!(harness.take_sent(gateway), []);
    assert!(!harness.control.status(harness.now).has_document);
    harness.store.broken = false;
    harness.wait(SECOND);
    harness.answer_read(&history(&["one"]));
    assert_eq!(harness.take_sent(gateway), [newest(1, "one")]);
    assert_eq!(harness.store.state, stored_version(1, "one"));
}

/// Guards a register's value that makes no sense here: nothing is accepted or given out, that is sent, and it ends once the
/// value does.
#[test]
fn a_register_that_makes_no_sense_stops_all() {
    let later = [&[9][..], &history(&["one"]).encode()[1..]].concat();
    let two = history(&["one", "two"]);
    let other = history(&["one", "another"]);
    for (value, word) in
        [(Some(later), "later form"), (None, "gone back"), (Some(other.encode()), "another digest")]
    {
        let mut harness = ControlHarness::new(
            1,
            PersistentState { versions: vec![document(1, "one"), document(2, "two")], pending: vec![] },
        );
        harness.wait(MILLI);
        let tool = harness.connect_as(Identity::Command);
        harness.register_event(RegisterEvent::Read { value: value.clone(), started_at: harness.now });
        harness.register_event(RegisterEvent::Read { value, started_at: harness.now });
        assert_eq!(harness.log_lines.len(), 1, "once: {:?}", harness.log_lines);
        assert!(harness.log_lines[0].contains(word), "{:?}", harness.log_lines);
        let gateway = harness.gateway("gw-1");
        harness.receive(gateway, &Message::VersionReport { in_force: None, rejected: None });
        assert_eq!(harness.take_sent(gateway), []);
        harness.receive(tool, &put("three"));
        let sent = harness.take_sent(tool);
        assert!(
            matches!(&sent[..], [Message::NotAccepted { reason, uncertain: false }] if reason.contains(word)),
            "{sent:?}"
        );
        assert!(!harness.control.status(harness.now).fresh);
        harness.answer_read(&two);
        assert_eq!(harness.take_sent(gateway), [newest(2, "two")]);
    }
}

/// A machine alone that has looked, and has begun to number "two" after "one".
fn numbering() -> (ControlHarness, ConnectionId) {
    let mut harness = ControlHarness::new(1, stored_version(1, "one"));
    harness.answer_read(&history(&["one"]));
    let tool = harness.connect_as(Identity::Command);
    harness.take_register_outputs();
    harness.receive(tool, &put("two"));
    assert_eq!(harness.take_register_outputs(), [control::Output::PrepareChange]);
    (harness, tool)
}

/// Proposes "two", whose fate stays open; the value that was proposed.
fn proposed(harness: &mut ControlHarness, value: &VersionHistory) -> Vec<u8> {
    harness.register_event(RegisterEvent::Promised(Some(value.encode())));
    let asked = harness.take_register_outputs();
    let [control::Output::Propose(value)] = &asked[..] else { panic!("{asked:?}") };
    harness.register_event(RegisterEvent::Failed { proposed: true, no_majority: true });
    harness.wait(SECOND);
    harness.answer_read(&VersionHistory::decode(Some(&history(&["one"]).encode())).expect("one"));
    assert!(harness.take_register_outputs().contains(&control::Output::PrepareChange), "again");
    value.clone()
}

/// Guards an answer that rests on what was not chosen: a promise that names the proposal tells what one voter may have
/// accepted alone, so that it is proposed as it is, and the operator hears of it once it is chosen.
#[test]
fn a_proposal_that_is_found_is_chosen_before_it_is_answered_for() {
    let (mut harness, tool) = numbering();
    let value = proposed(&mut harness, &history(&["one"]));
    harness.register_event(RegisterEvent::Promised(Some(value.clone())));
    assert_eq!(harness.take_sent(tool), []);
    assert_eq!(
        harness.take_register_outputs(),
        [control::Output::Propose(value.clone())],
        "no second number"
    );
    harness.register_event(RegisterEvent::Chosen(value));
    assert_eq!(harness.take_sent(tool), [Message::Accepted(version(2, "two"))]);
    assert_eq!(harness.store.state.versions, [document(1, "one"), document(2, "two")]);
}

/// Guards a proposal whose fate is open while others come between: it is not numbered a second time over them.
#[test]
fn a_proposal_that_nothing_tells_of_any_more_is_not_made_again() {
    let (mut harness, tool) = numbering();
    proposed(&mut harness, &history(&["one"]));
    let names: Vec<String> = (1..=10).map(|number| format!("other {number}")).collect();
    let others = history(&names.iter().map(String::as_str).collect::<Vec<_>>());
    harness.register_event(RegisterEvent::Promised(Some(others.encode())));
    let sent = harness.take_sent(tool);
    assert!(
        matches!(&sent[..], [Message::NotAccepted { reason, uncertain: true }] if reason.contains("others")),
        "{sent:?}"
    );
    assert_eq!(harness.take_register_outputs(), [control::Output::AbandonChange]);
}

/// Guards a version that comes between the check and the number: the document is checked again, against that one.
#[test]
fn a_document_is_checked_against_what_it_follows() {
    let (mut harness, tool) = numbering();
    harness.register_event(RegisterEvent::Promised(Some(history(&["one", "between"]).encode())));
    assert_eq!(harness.take_register_outputs(), [control::Output::AbandonChange]);
    harness.store.state = PersistentState::default();
    harness.wait(MILLI);
    assert_eq!(
        harness.take_register_outputs(),
        [control::Output::ReadRegister],
        "what was promised need not be chosen"
    );
    harness.answer_read(&history(&["one", "between"]));
    assert_eq!(harness.store.checked, [Some(1), Some(1)], "alone, it cannot have the one between");
    assert_eq!(harness.take_register_outputs(), [control::Output::PrepareChange]);
    harness.register_event(RegisterEvent::Promised(Some(history(&["one", "between"]).encode())));
    let asked = harness.take_register_outputs();
    let [control::Output::Propose(value)] = &asked[..] else { panic!("{asked:?}") };
    let next = VersionHistory::decode(Some(value)).expect("a history");
    assert_eq!(next.newest(), Some(version(3, "two")));
    harness.register_event(RegisterEvent::Chosen(value.clone()));
    assert_eq!(harness.take_sent(tool), [Message::Accepted(version(3, "two"))]);
}

/// Guards the same document again: the number that it has, and none new.
#[test]
fn the_same_document_keeps_its_number() {
    let mut harness = ControlHarness::new(1, stored_version(1, "one"));
    harness.answer_read(&history(&["one"]));
    let tool = harness.connect_as(Identity::Command);
    harness.receive(tool, &put("one"));
    let value = history(&["one"]).encode();
    harness.register_event(RegisterEvent::Promised(Some(value.clone())));
    assert_eq!(
        harness.take_register_outputs().last(),
        Some(&control::Output::Propose(value.clone())),
        "as it is"
    );
    harness.register_event(RegisterEvent::Chosen(value));
    assert_eq!(harness.take_sent(tool), [Message::Accepted(version(1, "one"))]);
}

/// Guards the operators' wait: one document at a time, a few wait, one more is rejected at once, and each is told when its
/// time is over.
#[test]
fn documents_wait_in_a_bounded_line() {
    let mut harness = ControlHarness::new(2, PersistentState::default());
    harness.connect();
    harness.answer_read(&VersionHistory::default());
    let tool = harness.connect_as(Identity::Command);
    for index in 0..6 {
        harness.receive(tool, &put(&format!("document {index}")));
    }
    let sent = harness.take_sent(tool);
    assert!(
        matches!(&sent[..], [Message::NotAccepted { reason, uncertain: false }] if reason.contains("busy")),
        "{sent:?}"
    );
    harness.wait(SECOND * 6);
    let sent = harness.take_sent(tool);
    let [Message::NotAccepted { reason, uncertain: false }, rest @ ..] = &sent[..] else {
        panic!("{sent:?}")
    };
    assert!(reason.contains("no control machine of another zone"), "{reason}");
    assert_eq!(rest.len(), 4);
}

/// Guards the two disks: the number is asked for once a machine of another zone has the document on its disk, and not before.
#[test]
fn a_number_is_asked_for_once_two_disks_have_the_document() {
    let mut harness = ControlHarness::new(3, PersistentState::default());
    let ids = harness.connection_requests.clone();
    harness.connect();
    harness.answer_read(&VersionHistory::default());
    harness.take_register_outputs();
    let tool = harness.connect_as(Identity::Command);
    harness.receive(tool, &put("one"));
    let keep = Message::StoreDocument(b"one"[..].into());
    for (id, _) in &ids {
        assert!(harness.take_sent(*id).contains(&keep));
    }
    assert_eq!(
        harness.store.state.pending,
        [(Digest::of(b"one"), Arc::from(&b"one"[..]))],
        "on its own first"
    );
    harness.receive(ids[0].0, &Message::DocumentStored(Digest::of(b"another")));
    assert_eq!(harness.take_register_outputs(), []);
    harness.receive(ids[0].0, &Message::DocumentStored(Digest::of(b"one")));
    assert_eq!(harness.take_register_outputs(), [control::Output::PrepareChange]);
}

/// Guards what operators are shown: the newest, the one before, and reason another one is not.
#[test]
fn what_is_kept_is_shown() {
    let versions = vec![document(4, "four"), document(5, "five")];
    let mut harness = ControlHarness::new(1, PersistentState { versions, pending: vec![] });
    let tool = harness.connect_as(Identity::Command);
    for (number, bytes) in [(None, "five"), (Some(5), "five"), (Some(4), "four")] {
        harness.receive(tool, &Message::ShowDocument(number));
        let sent = harness.take_sent(tool);
        assert!(
            matches!(&sent[..], [Message::FoundDocument(_, shown)] if shown[..] == *bytes.as_bytes()),
            "{sent:?}"
        );
    }
    harness.receive(tool, &Message::ShowDocument(Some(3)));
    assert!(matches!(&harness.take_sent(tool)[..], [Message::DocumentNotFound(_)]));
    harness.receive(tool, &Message::QueryStatus);
    let sent = harness.take_sent(tool);
    let [Message::Status(status)] = &sent[..] else { panic!("{sent:?}") };
    assert_eq!((status.name.as_str(), status.zone.as_str()), ("ctl-0", "zone-0"));
    assert_eq!(
        (status.newest, status.has_document, status.last_read_ms),
        (Some(version(5, "five")), true, None)
    );
}

// ---- a gateway

struct FollowerHarness {
    now: Duration,
    follower: Follower,
    connection_requests: Vec<(ConnectionId, usize)>,
    open: Vec<ConnectionId>,
    sent: Vec<Message>,
    applying: Vec<Document>,
    max_open: usize,
}

impl FollowerHarness {
    fn new(zone: &str, count: usize, in_force: Option<Version>) -> FollowerHarness {
        let settings = follower::Settings {
            fleet: "test".to_string(),
            name: "gw-1".to_string(),
            zone: zone.to_string(),
            servers: servers(count),
            timeouts: Timeouts::default(),
            seed: 3,
        };
        let follower = Follower::new(settings, in_force, Duration::ZERO);
        let mut harness = FollowerHarness {
            now: Duration::ZERO,
            follower,
            connection_requests: vec![],
            open: vec![],
            sent: vec![],
            applying: vec![],
            max_open: 0,
        };
        harness.tick();
        harness
    }

    fn tick(&mut self) {
        self.follower.tick(self.now);
        self.drain_outputs();
    }

    fn drain_outputs(&mut self) {
        while let Some(out) = self.follower.next_output() {
            match out {
                follower::Output::Connect(id, server) => {
                    self.connection_requests.push((id, server));
                    self.open.push(id);
                }
                follower::Output::Send(_, bytes) => self.sent.extend(messages(&bytes)),
                follower::Output::Close(id) => self.open.retain(|open| *open != id),
                follower::Output::Apply(document) => self.applying.push(document),
            }
            self.max_open = self.max_open.max(self.open.len());
        }
    }

    fn wait(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        while self.follower.next_tick() <= until {
            self.now = self.now.max(self.follower.next_tick());
            self.tick();
        }
        self.now = until;
    }

    fn receive(&mut self, id: ConnectionId, message: &Message) {
        self.follower.handle_bytes(self.now, id, &encode_frame(message));
        self.drain_outputs();
    }

    /// The connection asked for last comes up, and says that it is fresh.
    fn connect_fresh(&mut self) -> ConnectionId {
        let (id, _) = *self.connection_requests.last().expect("one");
        self.follower.handle_connected(self.now, id);
        self.receive(id, &Message::Heartbeat { fresh: true, newest: None });
        id
    }

    fn finish_applying(&mut self, result: Result<(), ApplyError>) {
        let version = self.applying.last().expect("one").version();
        self.follower.handle_applied(self.now, version, result);
        self.drain_outputs();
    }
}

/// Guards the way back: what is older is counted, one number with two digests is counted once and told, and neither is taken.
#[test]
fn a_gateway_takes_nothing_older_and_no_second_digest() {
    let mut harness = FollowerHarness::new("zone-0", 3, Some(version(5, "five")));
    let id = harness.connect_fresh();
    harness.sent.clear();
    harness.receive(id, &newest(4, "four"));
    harness.receive(id, &newest(5, "five"));
    for _ in 0..3 {
        harness.receive(id, &newest(5, "other"));
        harness.receive(id, &Message::Heartbeat { fresh: true, newest: Some(version(5, "other")) });
    }
    let status = harness.follower.status(harness.now);
    assert_eq!((status.stale_offers, status.conflicts, harness.applying.len()), (1, 1, 0));
    let [Message::VersionReport { in_force, rejected: Some(rejected) }] = &harness.sent[..] else {
        panic!("{:?}", harness.sent)
    };
    assert_eq!((*in_force, rejected.version), (Some(version(5, "five")), version(5, "other")));
    assert!(rejected.reason.contains("two digests"), "{}", rejected.reason);
    harness.receive(id, &newest(6, "six"));
    harness.finish_applying(Ok(()));
    let status = harness.follower.status(harness.now);
    assert_eq!((status.in_force, status.rejected), (Some(version(6, "six")), None));
}

/// Guards applying: one at a time, the newest of those that come meanwhile after it, and none that was rejected.
#[test]
fn a_gateway_takes_one_at_a_time_and_the_newest_next() {
    let mut harness = FollowerHarness::new("zone-0", 3, None);
    let id = harness.connect_fresh();
    harness.receive(id, &newest(1, "one"));
    for (number, bytes) in [(2, "two"), (4, "four"), (3, "three"), (1, "one")] {
        harness.receive(id, &newest(number, bytes));
    }
    assert_eq!(harness.applying, [document(1, "one")]);
    harness.follower.handle_applied(harness.now, version(4, "four"), Ok(()));
    assert_eq!(harness.follower.status(harness.now).in_force, None, "nobody asked");
    harness.finish_applying(Err(ApplyError("é".repeat(200))));
    assert_eq!(harness.applying, [document(1, "one"), document(4, "four")]);
    let rejected = harness.follower.status(harness.now).rejected.expect("one");
    assert!(rejected.version == version(1, "one") && rejected.reason.len() == MAX_REJECTION_BYTES);
    harness.finish_applying(Err(ApplyError("full".to_string())));
    harness.receive(id, &newest(4, "four"));
    harness.receive(id, &newest(1, "one"));
    assert_eq!(harness.applying.len(), 2, "not what was rejected");
    harness.receive(id, &newest(5, "five"));
    harness.finish_applying(Ok(()));
    assert_eq!(harness.follower.status(harness.now).rejected, None);
}

/// Guards against a machine whose words make no sense or whose bytes do not fit: it is left, and nothing is taken.
#[test]
fn a_machine_that_makes_no_sense_is_left() {
    for message in [
        Message::Newest(version(1, "one"), b"another"[..].into()),
        Message::Newest(Version { number: 0, ..version(0, "one") }, b"one"[..].into()),
        Message::QueryStatus,
    ] {
        let mut harness = FollowerHarness::new("zone-1", 3, None);
        let id = harness.connect_fresh();
        harness.receive(id, &message);
        assert_eq!((harness.open.len(), harness.applying.len()), (0, 0), "{message:?}");
        harness.wait(MILLI);
        assert_eq!(harness.connection_requests.iter().map(|(_, server)| *server).collect::<Vec<_>>(), [1, 2]);
    }
}

/// Guards the ring: its own zone's first, then those behind it; each is left once it is silent, does not come up or is not
/// fresh; and after a vain turn the pauses grow, so that an hour in vain costs few connections.
#[test]
fn machines_are_tried_around_the_ring_with_growing_pauses() {
    let mut harness = FollowerHarness::new("zone-1", 3, None);
    let silent = Timeouts::default().liveness;
    harness.wait(silent - MILLI);
    assert_eq!(harness.connection_requests.len(), 1);
    harness.wait(MILLI);
    assert_eq!(
        harness.connection_requests.last().map(|(_, server)| *server),
        Some(2),
        "one that does not come up is left"
    );
    let (id, _) = harness.connection_requests[1];
    harness.follower.handle_connected(harness.now, id);
    for _ in 0..6 {
        harness.wait(MILLI * 100);
        harness.receive(id, &Message::Heartbeat { fresh: false, newest: None });
    }
    assert_eq!(
        harness.connection_requests.last().map(|(_, server)| *server),
        Some(0),
        "and one that is not fresh"
    );
    assert!(harness.follower.status(harness.now).cut_off > silent * 2);
    harness.wait(SECOND * 3_600);
    let count = harness.connection_requests.len();
    println!("{count} connections in an hour in vain");
    assert!((1_000..3_000).contains(&count), "{count}: three each turn, and up to five seconds between");
    assert_eq!(harness.max_open, 1);
    // Each is rejected at once.
    let mut harness = FollowerHarness::new("zone-1", 3, None);
    while harness.now < SECOND * 60 {
        if let Some(id) = harness.open.pop() {
            harness.follower.handle_closed(harness.now, id);
            harness.drain_outputs();
        }
        harness.wait(MILLI);
    }
    assert!(harness.connection_requests.len() < 100, "{}", harness.connection_requests.len());
    // Each says that it is fresh and is gone.
    let mut harness = FollowerHarness::new("zone-1", 3, None);
    while harness.now < SECOND * 60 {
        if let Some(id) = harness.open.pop() {
            harness.follower.handle_connected(harness.now, id);
            harness.receive(id, &Message::Heartbeat { fresh: true, newest: None });
            harness.follower.handle_closed(harness.now, id);
            harness.drain_outputs();
        }
        harness.wait(MILLI);
    }
    assert!(harness.connection_requests.len() < 100, "{}", harness.connection_requests.len());
}

/// Guards the way home: beside the present connection, within its time, never more than two, and the other one is closed
/// once its own zone's machine is fresh; one that is not fresh is no home.
#[test]
fn a_gateway_comes_home_beside_its_connection() {
    let mut harness = FollowerHarness::new("zone-1", 3, None);
    let (first, _) = harness.connection_requests[0];
    harness.follower.handle_closed(harness.now, first);
    harness.open.clear();
    harness.tick();
    let away = harness.connect_fresh();
    let started = harness.now;
    let alive = |fresh| Message::Heartbeat { fresh, newest: None };
    let mut tries = 0;
    let mut home = None;
    while home.is_none() {
        harness.wait(MILLI * 100);
        harness.receive(away, &alive(true));
        assert!(harness.now < started + SECOND * 70, "within its time, and again");
        let Some((id, 1)) =
            harness.connection_requests.last().copied().filter(|(id, _)| harness.open.contains(id))
        else {
            continue;
        };
        if harness.follower.status(harness.now).server != Some(2) {
            panic!("it stays where it is meanwhile");
        }
        harness.follower.handle_connected(harness.now, id);
        harness.receive(id, &alive(tries > 0));
        tries += 1;
        if tries > 1 {
            home = Some(id);
        } else {
            for _ in 0..6 {
                harness.wait(MILLI * 100);
                harness.receive(away, &alive(true));
                harness.receive(id, &alive(false));
            }
            assert!(!harness.open.contains(&id), "not fresh, no home");
        }
    }
    assert_eq!(harness.open, home.into_iter().collect::<Vec<_>>());
    assert_eq!((harness.max_open, harness.follower.status(harness.now).server), (2, Some(1)));
    harness.wait(MILLI * 400);
    harness.receive(home.expect("one"), &alive(true));
    assert_eq!(harness.open.len(), 1);
}

/// Guards a gateway that wakes up late: what lies in its socket is not read, since it may be what was the newest.
#[test]
fn a_gateway_that_wakes_up_late_reads_nothing_old() {
    let mut harness = FollowerHarness::new("zone-1", 3, None);
    let id = harness.connect_fresh();
    harness.now += SECOND;
    harness.receive(id, &newest(1, "one"));
    assert_eq!((harness.open.len(), harness.applying.len()), (0, 0));
}

/// Guards a zone without a server, and settings without any: others serve it, and it has no home to come to.
#[test]
fn a_zone_without_a_machine_is_served_by_others() {
    let mut harness = FollowerHarness::new("nowhere", 3, None);
    let id = harness.connect_fresh();
    for _ in 0..400 {
        harness.wait(MILLI * 100);
        harness.receive(id, &Message::Heartbeat { fresh: true, newest: None });
    }
    assert_eq!(harness.connection_requests.len(), 1);
    let mut harness = FollowerHarness::new("zone-1", 0, None);
    harness.wait(SECOND * 10);
    assert_eq!(harness.connection_requests, []);
}
