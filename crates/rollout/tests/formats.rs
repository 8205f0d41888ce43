//! What is stored and sent, byte by byte: each file under `fixtures/` was written by the version that introduced its format.
//! It is read and its meaning checked, and what the program writes today is compared with all of its bytes.

use dunemount_rollout::control::Keeping;
use dunemount_rollout::version::{Digest, Document, Ledger, Version};
use dunemount_rollout::wire::*;

const FIRST: &[u8] = b"[server]\nlisten = \"0.0.0.0:5432\"\n";
const SECOND: &[u8] = b"[server]\nlisten = \"0.0.0.0:5433\"\n";
const THIRD: &[u8] = b"[server]\nlisten = \"0.0.0.0:5434\"\n";

fn version(number: u64, document: &[u8]) -> Version {
    Version { number, digest: Digest::of(document) }
}

fn document(number: u64, bytes: &[u8]) -> Document {
    Document::of(version(number, bytes), bytes.into()).expect("the digest is of these bytes")
}

fn rejection() -> Refusal {
    Refusal { version: version(300, THIRD), why: "line 2: port 5434 is in use".to_string() }
}

fn hello(who: Who) -> Message {
    Message::Hello(Hello { form: 1, fleet: "dune".to_string(), who })
}

fn status() -> Status {
    Status {
        name: "ctl-1".to_string(),
        zone: "zone-a".to_string(),
        newest: Some(version(300, THIRD)),
        has_document: true,
        fresh: true,
        looked_ms: Some(1_250),
        peers: vec!["ctl-2".to_string(), "ctl-3".to_string()],
        gateways: vec![
            Seen {
                name: "gw-1".to_string(),
                zone: "zone-a".to_string(),
                in_force: Some(version(299, SECOND)),
                refused: Some(rejection()),
                silent_ms: 40,
            },
            Seen {
                name: "gw-2".to_string(),
                zone: "zone-b".to_string(),
                in_force: None,
                refused: None,
                silent_ms: 70_000,
            },
        ],
        members: vec!["gw-1".to_string(), "gw-3".to_string()],
    }
}

/// Reads a frame's bytes, which hold one message and nothing more.
fn read_message(bytes: &[u8]) -> Message {
    let mut frames = Inbox::default();
    frames.push(bytes);
    let message = frames.next().expect("a frame").expect("a whole one");
    assert_eq!(frames.next(), Ok(None), "nothing follows");
    message
}

/// Guards the file of what a control server stores: its newest two versions, and documents that may get a number.
#[test]
fn the_file_of_a_control_server_keeps_its_form() {
    let bytes = include_bytes!("fixtures/control-file-v1.bin");
    assert_eq!(bytes[..8], *b"DMKEEP\x00\x01");
    let state = Keeping::read(bytes).expect("readable");
    assert_eq!(state.versions, [document(299, SECOND), document(300, THIRD)]);
    let waiting: Vec<_> = state.waiting.iter().map(|(digest, bytes)| (*digest, &bytes[..])).collect();
    assert_eq!(waiting, [(Digest::of(FIRST), FIRST), (Digest::of(b"\xFF"), b"\xFF")]);
    assert_eq!(state.file(), bytes);
}

/// Guards the file of a control server that has nothing to store yet.
#[test]
fn the_file_of_a_new_control_server_keeps_its_form() {
    let bytes = include_bytes!("fixtures/control-file-empty-v1.bin");
    assert_eq!(Keeping::read(bytes).expect("readable"), Keeping::default());
    assert_eq!(Keeping::default().file(), bytes);
}

/// Guards the file in which a gateway stores the version in force.
#[test]
fn the_file_of_a_version_keeps_its_form() {
    let bytes = include_bytes!("fixtures/version-file-v1.bin");
    assert_eq!(bytes[..8], *b"DMCONF\x00\x01");
    let read = Document::read(bytes).expect("readable");
    assert_eq!((read.version().number, &read.bytes()[..]), (300, THIRD));
    assert_eq!(read.version().digest.to_string(), "b64c42b4624d67e9");
    assert_eq!(read.file(), bytes);
}

/// Guards the register's value: the versions that it names, each with the number of its proposal.
#[test]
fn the_value_of_the_register_keeps_its_form() {
    let bytes = include_bytes!("fixtures/register-value-v1.bin");
    assert_eq!(bytes[0], 1);
    let history = Ledger::read(Some(bytes)).expect("readable");
    let versions: Vec<Version> = history.versions().collect();
    assert_eq!(versions, [version(1, FIRST), version(2, SECOND), version(3, THIRD)]);
    assert_eq!(history.newest(), Some(version(3, THIRD)));
    for (proposal, number) in [(7, Some(1)), (300, Some(2)), (u64::MAX, Some(3)), (8, None)] {
        assert_eq!(history.of(proposal).map(|version| version.number), number, "proposal {proposal}");
    }
    assert_eq!(history.write(), bytes);
    let written = Ledger::default()
        .with(Digest::of(FIRST), 7)
        .with(Digest::of(SECOND), 300)
        .with(Digest::of(THIRD), u64::MAX);
    assert_eq!(written, history);
}

macro_rules! frames {
    ($($name:ident, $file:literal, $message:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let bytes = include_bytes!(concat!("fixtures/", $file));
                let message = $message;
                assert_eq!(bytes[..4], ((bytes.len() - 4) as u32).to_be_bytes(), "the length in front");
                assert_eq!(read_message(bytes), message);
                assert_eq!(&frame(&message)[..], bytes);
            }
        )*
    };
}

// Each kind of message, and each kind of process that begins a connection.
frames! {
    frame_of_hello_from_a_gateway, "frame-hello-gateway-v1.bin",
        hello(Who::Gateway { name: "gw-1".to_string(), zone: "zone-a".to_string() });
    frame_of_hello_from_a_control_server, "frame-hello-control-v1.bin",
        hello(Who::Control { name: "ctl-2".to_string() });
    frame_of_hello_from_the_command, "frame-hello-tool-v1.bin", hello(Who::Tool);
    frame_of_in_force, "frame-in-force-v1.bin",
        Message::InForce { version: Some(version(299, SECOND)), refused: Some(rejection()) };
    frame_of_nothing_in_force, "frame-in-force-none-v1.bin",
        Message::InForce { version: None, refused: None };
    frame_of_alive, "frame-alive-v1.bin",
        Message::Alive { fresh: true, newest: Some(version(300, THIRD)) };
    frame_of_newest, "frame-newest-v1.bin", Message::Newest(version(300, THIRD), THIRD.into());
    frame_of_keep, "frame-keep-v1.bin", Message::Keep(THIRD.into());
    frame_of_kept, "frame-kept-v1.bin", Message::Kept(Digest::of(THIRD));
    frame_of_chosen, "frame-chosen-v1.bin", Message::Chosen(version(300, THIRD));
    frame_of_want, "frame-want-v1.bin", Message::Want(version(300, THIRD));
    frame_of_given, "frame-given-v1.bin", Message::Given(version(300, THIRD), THIRD.into());
    frame_of_put, "frame-put-v1.bin", Message::Put(THIRD.into());
    frame_of_accepted, "frame-accepted-v1.bin", Message::Accepted(version(300, THIRD));
    frame_of_not_accepted, "frame-not-accepted-v1.bin",
        Message::NotAccepted { why: "line 2: no such key".to_string(), uncertain: true };
    frame_of_show, "frame-show-v1.bin", Message::Show(Some(299));
    frame_of_show_newest, "frame-show-newest-v1.bin", Message::Show(None);
    frame_of_not_shown, "frame-not-shown-v1.bin", Message::NotShown("not here".to_string());
    frame_of_ask, "frame-ask-v1.bin", Message::Ask;
    frame_of_status, "frame-status-v1.bin", Message::Status(status());
}
