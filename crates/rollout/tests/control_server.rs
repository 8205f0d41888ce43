//! The state machine of a control server in isolation: messages and events that are rare in the simulation of a fleet.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{document, messages, newest, servers, version, MILLI, SECOND};
use dunemount_rollout::connection::ConnectionId;
use dunemount_rollout::control::{
    self, ControlServer, DocumentStore, InvalidDocument, PersistentState, RegisterEvent,
};
use dunemount_rollout::frame::encode_frame;
use dunemount_rollout::history::VersionHistory;
use dunemount_rollout::settings::Timeouts;
use dunemount_rollout::version::{Digest, Document};
use dunemount_rollout::wire::*;

fn propose(bytes: &str) -> Message {
    Message::Propose(bytes.as_bytes().into())
}

/// A history of these documents, in which each proposal's id is the version number times ten.
fn history(documents: &[&str]) -> VersionHistory {
    let step = |history: VersionHistory, document: &&str| {
        let number = history.newest().map_or(0, |version| version.number) + 1;
        history.with_next(Digest::of(document.as_bytes()), number * 10)
    };
    documents.iter().fold(VersionHistory::default(), step)
}

/// A store in memory that rejects documents which begin with "bad".
#[derive(Default)]
struct MemoryStore {
    state: PersistentState,
    /// Whether stores fail.
    broken: bool,
    /// For each validated document, the number of the version that it was validated against.
    validated_against: Vec<Option<u64>>,
}

impl DocumentStore for MemoryStore {
    fn validate(&mut self, document: &[u8], previous: Option<&Document>) -> Result<(), InvalidDocument> {
        self.validated_against.push(previous.map(|previous| previous.version().number));
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

/// A control server with its store, and its collected outputs by kind.
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
        while let Some(output) = self.control.next_output() {
            match output {
                control::Output::Connect(id, server) => self.connection_requests.push((id, server)),
                control::Output::Send(id, bytes) => {
                    self.sent.extend(messages(&bytes).into_iter().map(|message| (id, message)));
                }
                control::Output::Close(id) => self.closed.push(id),
                control::Output::Log(line) => self.log_lines.push(line),
                register => self.register_outputs.push(register),
            }
        }
    }

    /// Advances the time, and runs all ticks that are due.
    fn wait(&mut self, duration: Duration) {
        let until = self.now + duration;
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

    /// Answers a read of the register that began now.
    fn answer_read(&mut self, history: &VersionHistory) {
        let value = history.newest().map(|_| history.encode());
        self.register_event(RegisterEvent::Read { value, started_at: self.now });
    }

    fn connect_as(&mut self, identity: Identity) -> ConnectionId {
        let id = self.control.handle_accepted(self.now).expect("accepted");
        self.receive(id, &Message::Hello(Hello::new("test", identity)));
        id
    }

    fn gateway(&mut self, name: &str) -> ConnectionId {
        self.connect_as(Identity::Gateway { name: name.to_string(), zone: "zone-0".to_string() })
    }

    /// Messages sent over a connection since the last call, without heartbeats.
    fn take_sent(&mut self, id: ConnectionId) -> Vec<Message> {
        let sent = std::mem::take(&mut self.sent);
        let (here, rest): (Vec<_>, Vec<_>) = sent.into_iter().partition(|(to, _)| *to == id);
        self.sent = rest;
        let is_heartbeat = |message: &Message| matches!(message, Message::Heartbeat { .. });
        here.into_iter().map(|(_, message)| message).filter(|message| !is_heartbeat(message)).collect()
    }

    /// Operations on the register since the last call.
    fn take_register_outputs(&mut self) -> Vec<control::Output> {
        std::mem::take(&mut self.register_outputs)
    }

    /// Establishes the connections to the other control servers.
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

/// Guards against connections with another protocol version or fleet, from unknown control servers or from processes
/// that do not identify themselves in time, and against messages that the role of the sender does not allow.
#[test]
fn a_control_server_closes_connections_that_break_the_protocol() {
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
        let id = harness.control.handle_accepted(harness.now).expect("accepted");
        harness.receive(id, &first);
        assert_eq!(harness.closed.pop(), Some(id), "{first:?}");
    }
    assert_eq!(harness.log_lines.len(), 2, "another protocol version and another fleet are logged");
    let gateway = harness.gateway("gw-1");
    harness.receive(gateway, &propose("good"));
    assert_eq!(harness.closed.pop(), Some(gateway), "a gateway must not propose");
    let gateway = harness.gateway("gw-1");
    harness.control.handle_bytes(harness.now, gateway, &2_000u32.to_be_bytes(), &mut harness.store);
    harness.drain_outputs();
    assert_eq!(harness.closed.pop(), Some(gateway), "a gateway must not send long messages");
    let first = harness.connect_as(control("ctl-1"));
    let second = harness.connect_as(control("ctl-1"));
    assert_eq!(harness.closed.pop(), Some(first), "a new connection replaces the previous one");
    let silent = harness.control.handle_accepted(harness.now).expect("accepted");
    harness.connection_requests.clear();
    harness.wait(SECOND * 3);
    assert!(harness.closed.contains(&silent) && harness.closed.contains(&second));
}

/// Guards the limits of connections of the operators' command, of all incoming connections, and of gateways and members
/// in a status.
#[test]
fn connections_and_gateways_are_bounded() {
    let mut harness = ControlHarness::new(1, PersistentState::default());
    let commands: Vec<ConnectionId> = (0..9).map(|_| harness.connect_as(Identity::Command)).collect();
    assert_eq!(harness.closed, [commands[8]]);
    let mut ids = Vec::new();
    for index in 0..MAX_GATEWAYS + 10 {
        harness.now += MILLI;
        ids.push(harness.gateway(&format!("gw-{index}")));
    }
    let status = harness.control.status(harness.now);
    assert_eq!(status.gateways.len(), MAX_GATEWAYS);
    assert!(
        status.gateways.iter().all(|gateway| gateway.name != "gw-0"),
        "the gateway that was silent for longest is dropped"
    );
    while harness.control.handle_accepted(harness.now).is_some() {
        ids.push(ConnectionId(0));
    }
    assert!(ids.len() + 8 <= MAX_GATEWAYS + 64, "{}", ids.len());
    harness.control.handle_closed(harness.now, ids[5]);
    assert!(harness.control.handle_accepted(harness.now).is_some(), "there is capacity again");
    harness.control.set_members(vec!["x".repeat(100); 2_000]);
    let status = harness.control.status(harness.now);
    assert!(status.members.len() == MAX_GATEWAYS && status.members[0].len() == MAX_NAME_BYTES);
}

/// Guards when the newest version is sent: only after a read of the register, and while that read is fresh; once per
/// connection until the resend interval has passed; not to a gateway that has rejected it or has a newer one in force.
#[test]
fn the_newest_version_is_sent_only_while_it_is_fresh() {
    let mut harness = ControlHarness::new(1, stored_version(1, "one"));
    let gateway = harness.gateway("gw-1");
    let report = |in_force, rejected| Message::VersionReport { in_force, rejected };
    harness.receive(gateway, &report(None, None));
    assert_eq!(harness.take_sent(gateway), [], "not before a read of the register");
    assert_eq!(
        harness.take_register_outputs(),
        [control::Output::ReadRegister],
        "the register is read first"
    );
    harness.answer_read(&history(&["one"]));
    assert_eq!(harness.take_sent(gateway), [newest(1, "one")]);
    harness.receive(gateway, &report(None, None));
    assert_eq!(harness.take_sent(gateway), [], "only once");
    harness.wait(SECOND);
    harness.answer_read(&history(&["one"]));
    harness.wait(SECOND * 2 + MILLI);
    harness.receive(gateway, &report(None, None));
    assert_eq!(harness.take_sent(gateway), [newest(1, "one")], "again after the resend interval");
    let rejected = Rejection { version: version(1, "one"), reason: "port in use".to_string() };
    let other = harness.gateway("gw-2");
    harness.receive(other, &report(None, Some(rejected.clone())));
    let ahead = harness.gateway("gw-3");
    harness.receive(ahead, &report(Some(version(2, "two")), None));
    assert_eq!(
        (harness.take_sent(other), harness.take_sent(ahead)),
        (vec![], vec![]),
        "neither a rejected nor an older version"
    );
    let status = harness.control.status(harness.now);
    let reported: Vec<_> =
        status.gateways.iter().map(|gateway| (gateway.in_force, gateway.rejected.clone())).collect();
    assert_eq!(reported, [(None, None), (None, Some(rejected)), (Some(version(2, "two")), None)]);
    // The control server's process is stopped, and resumed after a minute.
    harness.now += SECOND * 60;
    let late = harness.gateway("gw-4");
    harness.receive(late, &report(None, None));
    assert_eq!(harness.take_sent(late), []);
    assert!(!harness.control.status(harness.now).fresh);
    harness.answer_read(&history(&["one"]));
    assert_eq!(harness.take_sent(late), [newest(1, "one")]);
}

/// Guards against sending a document that could not be stored: the store is retried, and the document is sent after it
/// has succeeded.
#[test]
fn a_document_that_is_not_stored_is_not_sent() {
    let mut harness = ControlHarness::new(2, PersistentState::default());
    harness.connect();
    let peer = harness.connect_as(Identity::ControlServer { name: "ctl-1".to_string() });
    harness.receive(peer, &Message::StoreDocument(b"one"[..].into()));
    assert_eq!(harness.take_sent(peer), [Message::DocumentStored(Digest::of(b"one"))]);
    harness.store.broken = true;
    harness.receive(peer, &Message::StoreDocument(b"two"[..].into()));
    assert_eq!(harness.take_sent(peer), [], "not stored, and not confirmed");
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

/// Guards against an invalid value of the register: the fault is logged once, and no proposal is accepted and no
/// version sent until the value is valid again.
#[test]
fn an_invalid_register_value_blocks_proposals_and_offers() {
    let later = [&[9][..], &history(&["one"]).encode()[1..]].concat();
    let two = history(&["one", "two"]);
    let other = history(&["one", "another"]);
    for (value, word) in
        [(Some(later), "later format"), (None, "gone back"), (Some(other.encode()), "another digest")]
    {
        let mut harness = ControlHarness::new(
            1,
            PersistentState { versions: vec![document(1, "one"), document(2, "two")], pending: vec![] },
        );
        harness.wait(MILLI);
        let command = harness.connect_as(Identity::Command);
        harness.register_event(RegisterEvent::Read { value: value.clone(), started_at: harness.now });
        harness.register_event(RegisterEvent::Read { value, started_at: harness.now });
        assert_eq!(harness.log_lines.len(), 1, "logged once: {:?}", harness.log_lines);
        assert!(harness.log_lines[0].contains(word), "{:?}", harness.log_lines);
        let gateway = harness.gateway("gw-1");
        harness.receive(gateway, &Message::VersionReport { in_force: None, rejected: None });
        assert_eq!(harness.take_sent(gateway), []);
        harness.receive(command, &propose("three"));
        let sent = harness.take_sent(command);
        assert!(
            matches!(&sent[..], [Message::NotAccepted { reason, uncertain: false }] if reason.contains(word)),
            "{sent:?}"
        );
        assert!(!harness.control.status(harness.now).fresh);
        harness.answer_read(&two);
        assert_eq!(harness.take_sent(gateway), [newest(2, "two")]);
    }
}

/// A fleet's only control server, with version "one", that has begun to commit the proposal "two", and the connection
/// of the operator's command.
fn committing() -> (ControlHarness, ConnectionId) {
    let mut harness = ControlHarness::new(1, stored_version(1, "one"));
    harness.answer_read(&history(&["one"]));
    let command = harness.connect_as(Identity::Command);
    harness.take_register_outputs();
    harness.receive(command, &propose("two"));
    assert_eq!(harness.take_register_outputs(), [control::Output::PrepareChange]);
    (harness, command)
}

/// Proposes "two" to the register, which fails without an answer from a majority. Returns the proposed value.
fn propose_without_answer(harness: &mut ControlHarness, value: &VersionHistory) -> Vec<u8> {
    harness.register_event(RegisterEvent::Promised(Some(value.encode())));
    let outputs = harness.take_register_outputs();
    let [control::Output::Propose(value)] = &outputs[..] else { panic!("{outputs:?}") };
    harness.register_event(RegisterEvent::Failed { proposed: true, no_majority: true });
    harness.wait(SECOND);
    harness.answer_read(&VersionHistory::decode(Some(&history(&["one"]).encode())).expect("a valid history"));
    assert!(
        harness.take_register_outputs().contains(&control::Output::PrepareChange),
        "a second change is prepared"
    );
    value.clone()
}

/// Guards against accepting a proposal because of a value that was not chosen: a promise may contain the proposal
/// although only a single voter has accepted it. The value is proposed again unchanged, and the operator is answered
/// once it is chosen.
#[test]
fn a_proposal_in_a_promise_is_chosen_before_it_is_accepted() {
    let (mut harness, command) = committing();
    let value = propose_without_answer(&mut harness, &history(&["one"]));
    harness.register_event(RegisterEvent::Promised(Some(value.clone())));
    assert_eq!(harness.take_sent(command), []);
    assert_eq!(
        harness.take_register_outputs(),
        [control::Output::Propose(value.clone())],
        "the proposal gets no second number"
    );
    harness.register_event(RegisterEvent::Chosen(value));
    assert_eq!(harness.take_sent(command), [Message::Accepted(version(2, "two"))]);
    assert_eq!(harness.store.state.versions, [document(1, "one"), document(2, "two")]);
}

/// Guards against a second number for a proposal with an unknown outcome, if so many versions were chosen since that
/// the history would no longer contain the first one.
#[test]
fn a_proposal_that_left_the_history_is_not_proposed_again() {
    let (mut harness, command) = committing();
    propose_without_answer(&mut harness, &history(&["one"]));
    let names: Vec<String> = (1..=10).map(|number| format!("other {number}")).collect();
    let others = history(&names.iter().map(String::as_str).collect::<Vec<_>>());
    harness.register_event(RegisterEvent::Promised(Some(others.encode())));
    let sent = harness.take_sent(command);
    assert!(
        matches!(&sent[..], [Message::NotAccepted { reason, uncertain: true }]
            if reason.contains("too many other versions")),
        "{sent:?}"
    );
    assert_eq!(harness.take_register_outputs(), [control::Output::AbandonChange]);
}

/// Guards against a version that is chosen between the validation of a document and its commit: the document is
/// validated again, against that version.
#[test]
fn a_document_is_validated_against_the_version_before_it() {
    let (mut harness, command) = committing();
    harness.register_event(RegisterEvent::Promised(Some(history(&["one", "between"]).encode())));
    assert_eq!(harness.take_register_outputs(), [control::Output::AbandonChange]);
    harness.store.state = PersistentState::default();
    harness.wait(MILLI);
    assert_eq!(
        harness.take_register_outputs(),
        [control::Output::ReadRegister],
        "a promised value need not have been chosen"
    );
    harness.answer_read(&history(&["one", "between"]));
    assert_eq!(
        harness.store.validated_against,
        [Some(1), Some(1)],
        "without peers, the document of the version in between cannot be fetched"
    );
    assert_eq!(harness.take_register_outputs(), [control::Output::PrepareChange]);
    harness.register_event(RegisterEvent::Promised(Some(history(&["one", "between"]).encode())));
    let outputs = harness.take_register_outputs();
    let [control::Output::Propose(value)] = &outputs[..] else { panic!("{outputs:?}") };
    let next = VersionHistory::decode(Some(value)).expect("a history");
    assert_eq!(next.newest(), Some(version(3, "two")));
    harness.register_event(RegisterEvent::Chosen(value.clone()));
    assert_eq!(harness.take_sent(command), [Message::Accepted(version(3, "two"))]);
}

/// Guards against a second number for the newest version's document if it is proposed again.
#[test]
fn the_same_document_keeps_its_number() {
    let mut harness = ControlHarness::new(1, stored_version(1, "one"));
    harness.answer_read(&history(&["one"]));
    let command = harness.connect_as(Identity::Command);
    harness.receive(command, &propose("one"));
    let value = history(&["one"]).encode();
    harness.register_event(RegisterEvent::Promised(Some(value.clone())));
    assert_eq!(
        harness.take_register_outputs().last(),
        Some(&control::Output::Propose(value.clone())),
        "the value is unchanged"
    );
    harness.register_event(RegisterEvent::Chosen(value));
    assert_eq!(harness.take_sent(command), [Message::Accepted(version(1, "one"))]);
}

/// Guards the queue of proposals: one is current and a limited number wait; a further one is rejected at once, and each
/// is answered when it times out.
#[test]
fn proposals_wait_in_a_bounded_queue() {
    let mut harness = ControlHarness::new(2, PersistentState::default());
    harness.connect();
    harness.answer_read(&VersionHistory::default());
    let command = harness.connect_as(Identity::Command);
    for index in 0..6 {
        harness.receive(command, &propose(&format!("document {index}")));
    }
    let sent = harness.take_sent(command);
    assert!(
        matches!(&sent[..], [Message::NotAccepted { reason, uncertain: false }] if reason.contains("busy")),
        "{sent:?}"
    );
    harness.wait(SECOND * 6);
    let sent = harness.take_sent(command);
    let [Message::NotAccepted { reason, uncertain: false }, rest @ ..] = &sent[..] else {
        panic!("{sent:?}")
    };
    assert!(reason.contains("no control machine of another zone"), "{reason}");
    assert_eq!(rest.len(), 4);
}

/// Guards the storage on two disks: the register is changed only after a control server of another zone has stored the
/// document.
#[test]
fn a_document_is_committed_once_it_is_on_two_disks() {
    let mut harness = ControlHarness::new(3, PersistentState::default());
    let ids = harness.connection_requests.clone();
    harness.connect();
    harness.answer_read(&VersionHistory::default());
    harness.take_register_outputs();
    let command = harness.connect_as(Identity::Command);
    harness.receive(command, &propose("one"));
    let request = Message::StoreDocument(b"one"[..].into());
    for (id, _) in &ids {
        assert!(harness.take_sent(*id).contains(&request));
    }
    assert_eq!(
        harness.store.state.pending,
        [(Digest::of(b"one"), Arc::from(&b"one"[..]))],
        "first on its own disk"
    );
    harness.receive(ids[0].0, &Message::DocumentStored(Digest::of(b"another")));
    assert_eq!(harness.take_register_outputs(), []);
    harness.receive(ids[0].0, &Message::DocumentStored(Digest::of(b"one")));
    assert_eq!(harness.take_register_outputs(), [control::Output::PrepareChange]);
}

/// Guards the answers to requests for documents: the newest version and the one before it are shown, and another one is
/// reported as not found.
#[test]
fn stored_versions_are_shown() {
    let versions = vec![document(4, "four"), document(5, "five")];
    let mut harness = ControlHarness::new(1, PersistentState { versions, pending: vec![] });
    let command = harness.connect_as(Identity::Command);
    for (number, bytes) in [(None, "five"), (Some(5), "five"), (Some(4), "four")] {
        harness.receive(command, &Message::ShowDocument(number));
        let sent = harness.take_sent(command);
        assert!(
            matches!(&sent[..], [Message::FoundDocument(_, shown)] if shown[..] == *bytes.as_bytes()),
            "{sent:?}"
        );
    }
    harness.receive(command, &Message::ShowDocument(Some(3)));
    assert!(matches!(&harness.take_sent(command)[..], [Message::DocumentNotFound(_)]));
    harness.receive(command, &Message::QueryStatus);
    let sent = harness.take_sent(command);
    let [Message::Status(status)] = &sent[..] else { panic!("{sent:?}") };
    assert_eq!((status.name.as_str(), status.zone.as_str()), ("ctl-0", "zone-0"));
    assert_eq!(
        (status.newest, status.has_document, status.last_read_ms),
        (Some(version(5, "five")), true, None)
    );
}
