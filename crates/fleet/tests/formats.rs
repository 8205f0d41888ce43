//! The formats on disk and on the wire, byte by byte: the program still writes the same bytes as its first version, and
//! still reads them. The files under `tests/fixtures/` never change.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dunemount_fleet::acceptor::{Acceptor, RequestOutcome};
use dunemount_fleet::frame::{self, MessageKind};
use dunemount_fleet::lease::{LeaseRecord, LeaseSettings};
use dunemount_fleet::membership::{MemberIdentity, Membership, MembershipChange, MembershipTimeouts};
use dunemount_fleet::messages::*;
use dunemount_fleet::node::{AcceptorStorage, Node, NodeEvent, NodeSettings};
use dunemount_fleet::node_id::NodeId;
use dunemount_fleet::register::*;
use serde::{de::DeserializeOwned, Serialize};

const FLEET: &str = "formats";
const ROLE: &str = "survey/1";
const CONFIGURATION: &str = "config/version";
/// Generation of the file that was admitted in slot 2.
const OTHER_GENERATION: u64 = 0x0000_0001_8000_0007;

fn fixture(name: &str) -> Vec<u8> {
    let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read(&path).unwrap_or_else(|e| panic!("{path}: {e}"))
}

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, index + 1], 7400))
}

fn identity(index: u8, start: u64) -> MemberIdentity {
    MemberIdentity { name: format!("gw-{index}"), start, incarnation: 0, address: address(index) }
}

fn ballot(counter: u64, proposer: u64) -> Ballot {
    Ballot { counter, proposer: NodeId(proposer) }
}

fn acceptors() -> AcceptorSet {
    AcceptorSet::default().with(AcceptorSlot(2), OTHER_GENERATION)
}

fn held_lease() -> LeaseRecord {
    LeaseRecord {
        epoch: 300,
        holder: Some(NodeId(0xfeed_0001)),
        renewal: 70_000,
        requested_by: Some(NodeId(5)),
    }
}

fn registers() -> BTreeMap<Key, RegisterState> {
    let chosen = RegisterState {
        promised: ballot(5, 9),
        accepted: ballot(4, 0xfeed_0001),
        value: Some(held_lease().encode()),
    };
    let promised = RegisterState { promised: ballot(200, 3), accepted: Ballot::default(), value: None };
    BTreeMap::from([(CONFIGURATION.to_string(), promised), (ROLE.to_string(), chosen)])
}

fn handle_request(acceptor: &mut Acceptor, request: AcceptorRequest) -> AcceptorReply {
    match acceptor.handle_request(request) {
        RequestOutcome::Reply(reply) => reply,
        RequestOutcome::Store(pending) => pending.stored(),
    }
}

/// The acceptor in slot 1, which keeps two registers and whose acceptor set contains an admitted file in slot 2.
fn acceptor() -> Acceptor {
    let mut acceptor = Acceptor::founding(AcceptorSlot(1));
    let role = || ROLE.to_string();
    let operations = [
        Operation::Reconfigure { after: Key::new() },
        Operation::Prepare { key: role(), ballot: ballot(4, 0xfeed_0001) },
        Operation::Accept { key: role(), ballot: ballot(4, 0xfeed_0001), value: held_lease().encode() },
        Operation::Prepare { key: role(), ballot: ballot(5, 9) },
        Operation::Prepare { key: CONFIGURATION.to_string(), ballot: ballot(200, 3) },
    ];
    for operation in operations {
        let reply =
            handle_request(&mut acceptor, AcceptorRequest { acceptors: acceptors(), nonce: 1, operation });
        assert!(!matches!(reply.answer, Answer::Rejected(_)), "{reply:?}");
    }
    acceptor
}

/// Guards an acceptor's promises across versions: its file from the first version is decoded to the same state, and
/// encoded to the same bytes.
#[test]
fn an_acceptors_file() {
    let fixture_bytes = fixture("voter-file-v1.bin");
    assert_eq!(acceptor().file_bytes().expect("a state"), fixture_bytes);
    let mut resumed = Acceptor::from_file(AcceptorSlot(1), &fixture_bytes).expect("a complete file");
    assert_eq!(resumed.file_bytes().expect("a state"), fixture_bytes);
    assert_eq!(
        resumed,
        Acceptor::from_file(AcceptorSlot(1), &acceptor().file_bytes().expect("a state"))
            .expect("a complete file")
    );
    assert!(!resumed.is_uninitialized());
    assert_eq!((resumed.generation(), resumed.register_count()), (0, 2));
    assert_eq!(resumed.acceptors(), Some(&acceptors()));
    let all = Operation::Reconfigure { after: Key::new() };
    let reply =
        handle_request(&mut resumed, AcceptorRequest { acceptors: acceptors(), nonce: 6, operation: all });
    let answer = Answer::Reconfigured { after: Key::new(), registers: registers(), more: false };
    assert_eq!(
        reply,
        AcceptorReply { nonce: 6, slot: AcceptorSlot(1), generation: 0, store_count: 5, answer }
    );
}

/// Guards a role's epoch across versions: its lease record is decoded to the same values, and encoded to the same
/// bytes.
#[test]
fn the_value_of_a_roles_register() {
    for (name, record) in
        [("role-register-owned-v1.bin", held_lease()), ("role-register-free-v1.bin", released_lease())]
    {
        let fixture_bytes = fixture(name);
        assert_eq!(LeaseRecord::decode(&fixture_bytes), Some(record.clone()), "{name}");
        assert_eq!(record.encode(), fixture_bytes, "{name}");
    }
}

fn released_lease() -> LeaseRecord {
    LeaseRecord { epoch: 2, holder: None, renewal: 3, requested_by: None }
}

fn requests() -> Vec<(&'static str, AcceptorRequest)> {
    let role = || ROLE.to_string();
    let operations = [
        ("call-prepare", Operation::Prepare { key: role(), ballot: ballot(4, 0xfeed_0001) }),
        (
            "call-accept",
            Operation::Accept { key: role(), ballot: ballot(4, 0xfeed_0001), value: held_lease().encode() },
        ),
        ("call-read", Operation::Read { key: role() }),
        ("call-admit", Operation::Reconfigure { after: CONFIGURATION.to_string() }),
        ("call-install", Operation::InstallState { registers: registers(), total: 2 }),
    ];
    let request = |operation| AcceptorRequest { acceptors: acceptors(), nonce: 0x0102_0304_0506, operation };
    operations.map(|(name, operation)| (name, request(operation))).into()
}

fn replies() -> Vec<(&'static str, AcceptorReply)> {
    let answers = [
        (
            "reply-promise",
            Answer::Promise { accepted: ballot(4, 0xfeed_0001), value: Some(held_lease().encode()) },
        ),
        ("reply-promise-empty", Answer::Promise { accepted: Ballot::default(), value: None }),
        ("reply-accepted", Answer::Accepted),
        (
            "reply-admitted",
            Answer::Reconfigured { after: CONFIGURATION.to_string(), registers: registers(), more: true },
        ),
        ("reply-installed", Answer::StateInstalled),
        ("reply-refused-promised", Answer::Rejected(Rejection::HigherPromise(ballot(200, 3)))),
        ("reply-refused-view", Answer::Rejected(Rejection::AcceptorSetMismatch(acceptors()))),
        ("reply-refused-blank", Answer::Rejected(Rejection::Uninitialized)),
        ("reply-refused-arrived", Answer::Rejected(Rejection::InstallIncomplete(7))),
        ("reply-refused-broken", Answer::Rejected(Rejection::StoreFailed)),
        ("reply-refused-bounds", Answer::Rejected(Rejection::LimitExceeded)),
    ];
    let reply = |answer| AcceptorReply {
        nonce: 0x0102_0304_0506,
        slot: AcceptorSlot(2),
        generation: OTHER_GENERATION,
        store_count: 300,
        answer,
    };
    answers.map(|(name, answer)| (name, reply(answer))).into()
}

fn order() -> Order {
    Order { role: ROLE.to_string(), epoch: 300, from: NodeId(0xfeed_0001), body: b"drain gw-7".to_vec() }
}

fn datagram<T: Serialize>(kind: MessageKind, message: &T) -> Vec<u8> {
    let message = postcard::to_stdvec(message).expect("bytes");
    frame::encode(frame::fleet_tag(FLEET), kind, &message).expect("short enough")
}

/// Checks that the fixture of this name decodes to this message, and that the message encodes to the fixture's bytes.
fn check<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
    name: &str,
    kind: MessageKind,
    message: &T,
) {
    let fixture_bytes = fixture(&format!("datagram-{name}-v1.bin"));
    let (read, bytes) =
        frame::decode(frame::fleet_tag(FLEET), &fixture_bytes).expect("a datagram of this fleet");
    assert_eq!(read, kind, "{name}");
    assert_eq!(postcard::from_bytes::<T>(bytes).expect("a message"), *message, "{name}");
    assert_eq!(datagram(kind, message), fixture_bytes, "{name}");
}

/// Guards messages between versions: each request, reply and order is decoded to the same message, and encoded to the
/// same bytes.
#[test]
fn datagrams_of_acceptors_and_orders() {
    requests().iter().for_each(|(name, request)| check(name, MessageKind::AcceptorRequest, request));
    replies().iter().for_each(|(name, reply)| check(name, MessageKind::AcceptorReply, reply));
    check("order", MessageKind::Order, &order());
}

/// A storage that discards the file.
struct NullStorage;

impl AcceptorStorage for NullStorage {
    fn store(&mut self, _: &[u8]) -> bool {
        true
    }
}

fn timeouts() -> MembershipTimeouts {
    MembershipTimeouts {
        probe_interval: Duration::from_millis(500),
        probe_timeout: Duration::from_millis(150),
        suspicion_timeout: Duration::from_millis(1_500),
        down_retention: Duration::from_secs(60),
    }
}

fn node(acceptor: Option<Acceptor>) -> Node {
    let acceptors: Vec<MemberIdentity> =
        (0..3).map(|index| MemberIdentity::with_address(&identity(index, 0).name, address(index))).collect();
    let settings = NodeSettings {
        fleet: FLEET.into(),
        local: identity(1, 7),
        seeds: acceptors.clone(),
        acceptors,
        fleet_size: 3,
        roles: Vec::new(),
        lease: LeaseSettings {
            duration: Duration::from_secs(3),
            max_clock_drift: 0.05,
            resend_interval: Duration::from_millis(150),
        },
        membership: timeouts(),
        rng_seed: 1,
    };
    Node::new(settings, acceptor)
}

/// Guards the formats in a whole node: requests of the first version get the replies of the first version, and its
/// order is carried out.
#[test]
fn a_node_handles_kept_datagrams_and_replies_with_kept_ones() {
    let mut node = node(Some(
        Acceptor::from_file(AcceptorSlot(1), &fixture("voter-file-v1.bin")).expect("a complete file"),
    ));
    for name in ["read", "prepare", "accept"] {
        let request = fixture(&format!("datagram-call-{name}-v1.bin"));
        node.handle_datagram(Duration::ZERO, address(2), &request, &mut NullStorage)
            .expect("a datagram of this fleet");
        let answer = fixture(&format!("datagram-node-answers-{name}-v1.bin"));
        assert_eq!(node.next_datagram(), Some((address(2), answer)), "{name}");
    }
    let fixture_bytes = fixture("datagram-order-v1.bin");
    node.handle_datagram(Duration::ZERO, address(0), &fixture_bytes, &mut NullStorage)
        .expect("a datagram of this fleet");
    assert_eq!(node.next_event(), Some(NodeEvent::Order { order: order(), is_first_of_epoch: true }));
}

/// Guards membership between versions: the announcement of a process, and the notice of a later start.
#[test]
fn datagrams_of_membership() {
    let announce = fixture("datagram-membership-announce-v1.bin");
    // The first datagram of a process without an acceptor is its announcement.
    let mut announcing = node(None);
    announcing.tick(Duration::ZERO);
    assert_eq!(announcing.next_datagram(), Some((address(0), announce.clone())));
    let (kind, message) =
        frame::decode(frame::fleet_tag(FLEET), &announce).expect("a datagram of this fleet");
    assert_eq!(kind, MessageKind::Membership);
    let mut seed = Membership::new(identity(0, 3), Vec::new(), 3, timeouts(), 2);
    seed.handle_message(Duration::ZERO, message);
    assert_eq!(seed.next_change(), Some(MembershipChange::Up(identity(1, 7))));

    // A process with the same name that has started later sends it a notice.
    let later = fixture("datagram-membership-later-start-v1.bin");
    let mut namesake =
        Membership::new(MemberIdentity { incarnation: 4, ..identity(1, 8) }, Vec::new(), 3, timeouts(), 3);
    namesake.handle_message(Duration::ZERO, message);
    let (to, notice) = namesake.next_message().expect("a notice");
    assert_eq!(
        (to, frame::encode(frame::fleet_tag(FLEET), MessageKind::Membership, &notice)),
        (address(1), Some(later.clone()))
    );
    let (_, message) = frame::decode(frame::fleet_tag(FLEET), &later).expect("a datagram of this fleet");
    let namesake: MemberIdentity = postcard::from_bytes(&message[1..]).expect("a member");
    assert_eq!((message[0], namesake), (1, MemberIdentity { incarnation: 4, ..identity(1, 8) }));
    announcing
        .handle_datagram(Duration::ZERO, address(1), &later, &mut NullStorage)
        .expect("a datagram of this fleet");
    assert_eq!(announcing.next_event(), Some(NodeEvent::Membership(MembershipChange::Superseded)));
}
