//! The formats of stored files and of messages. Each file under `fixtures/` was written by the version that introduced
//! its format. The tests decode it, check the decoded values, and compare today's encoding of them with all bytes of
//! the file.

use dunemount_rollout::control::PersistentState;
use dunemount_rollout::frame::{encode_frame, FrameReader};
use dunemount_rollout::history::VersionHistory;
use dunemount_rollout::version::{Digest, Document, Version};
use dunemount_rollout::wire::*;

const FIRST: &[u8] = b"[server]\nlisten = \"0.0.0.0:5432\"\n";
const SECOND: &[u8] = b"[server]\nlisten = \"0.0.0.0:5433\"\n";
const THIRD: &[u8] = b"[server]\nlisten = \"0.0.0.0:5434\"\n";

fn version(number: u64, document: &[u8]) -> Version {
    Version { number, digest: Digest::of(document) }
}

fn document(number: u64, bytes: &[u8]) -> Document {
    Document::verify(version(number, bytes), bytes.into()).expect("the digest matches")
}

fn rejection() -> Rejection {
    Rejection { version: version(300, THIRD), reason: "line 2: port 5434 is in use".to_string() }
}

fn hello(identity: Identity) -> Message {
    Message::Hello(Hello { protocol_version: 1, fleet: "dune".to_string(), identity })
}

fn status() -> ControlServerStatus {
    ControlServerStatus {
        name: "ctl-1".to_string(),
        zone: "zone-a".to_string(),
        newest: Some(version(300, THIRD)),
        has_document: true,
        fresh: true,
        last_read_ms: Some(1_250),
        peers: vec!["ctl-2".to_string(), "ctl-3".to_string()],
        gateways: vec![
            GatewayStatus {
                name: "gw-1".to_string(),
                zone: "zone-a".to_string(),
                in_force: Some(version(299, SECOND)),
                rejected: Some(rejection()),
                silent_ms: 40,
            },
            GatewayStatus {
                name: "gw-2".to_string(),
                zone: "zone-b".to_string(),
                in_force: None,
                rejected: None,
                silent_ms: 70_000,
            },
        ],
        members: vec!["gw-1".to_string(), "gw-3".to_string()],
    }
}

/// Decodes bytes that contain exactly one frame.
fn read_message(bytes: &[u8]) -> Message {
    let mut frames = FrameReader::default();
    frames.push(bytes);
    let message = frames.next_message().expect("a valid frame").expect("a complete frame");
    assert_eq!(frames.next_message(), Ok(None), "one frame only");
    message
}

/// Guards the format of a control server's file: its two newest versions, and documents that may get a version number.
#[test]
fn the_control_server_file_keeps_its_format() {
    let bytes = include_bytes!("fixtures/control-file-v1.bin");
    assert_eq!(bytes[..8], *b"DMKEEP\x00\x01");
    let state = PersistentState::from_file(bytes).expect("readable");
    assert_eq!(state.versions, [document(299, SECOND), document(300, THIRD)]);
    let pending: Vec<_> = state.pending.iter().map(|(digest, bytes)| (*digest, &bytes[..])).collect();
    assert_eq!(pending, [(Digest::of(FIRST), FIRST), (Digest::of(b"\xFF"), b"\xFF")]);
    assert_eq!(state.to_file(), bytes);
}

/// Guards the format of the file of a control server that knows no version and no document yet.
#[test]
fn the_file_of_a_new_control_server_keeps_its_format() {
    let bytes = include_bytes!("fixtures/control-file-empty-v1.bin");
    assert_eq!(PersistentState::from_file(bytes).expect("readable"), PersistentState::default());
    assert_eq!(PersistentState::default().to_file(), bytes);
}

/// Guards the format of the file in which a gateway stores the version in force.
#[test]
fn the_version_file_keeps_its_format() {
    let bytes = include_bytes!("fixtures/version-file-v1.bin");
    assert_eq!(bytes[..8], *b"DMCONF\x00\x01");
    let read = Document::from_file(bytes).expect("readable");
    assert_eq!((read.version().number, &read.bytes()[..]), (300, THIRD));
    assert_eq!(read.version().digest.to_string(), "b64c42b4624d67e9");
    assert_eq!(read.to_file(), bytes);
}

/// Guards the format of the register's value: the versions in the history, each with the id of its proposal.
#[test]
fn the_register_value_keeps_its_format() {
    let bytes = include_bytes!("fixtures/register-value-v1.bin");
    assert_eq!(bytes[0], 1);
    let history = VersionHistory::decode(Some(bytes)).expect("readable");
    let versions: Vec<Version> = history.versions().collect();
    assert_eq!(versions, [version(1, FIRST), version(2, SECOND), version(3, THIRD)]);
    assert_eq!(history.newest(), Some(version(3, THIRD)));
    for (proposal, number) in [(7, Some(1)), (300, Some(2)), (u64::MAX, Some(3)), (8, None)] {
        assert_eq!(history.version_of(proposal).map(|version| version.number), number, "proposal {proposal}");
    }
    assert_eq!(history.encode(), bytes);
    let written = VersionHistory::default()
        .with_next(Digest::of(FIRST), 7)
        .with_next(Digest::of(SECOND), 300)
        .with_next(Digest::of(THIRD), u64::MAX);
    assert_eq!(written, history);
}

macro_rules! frames {
    ($($name:ident, $file:literal, $message:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let bytes = include_bytes!(concat!("fixtures/", $file));
                let message = $message;
                assert_eq!(bytes[..4], ((bytes.len() - 4) as u32).to_be_bytes(), "the length prefix");
                assert_eq!(read_message(bytes), message);
                assert_eq!(&encode_frame(&message)[..], bytes);
            }
        )*
    };
}

// Each kind of message, and a `Hello` from each kind of process.
frames! {
    frame_of_hello_from_a_gateway, "frame-hello-gateway-v1.bin",
        hello(Identity::Gateway { name: "gw-1".to_string(), zone: "zone-a".to_string() });
    frame_of_hello_from_a_control_server, "frame-hello-control-v1.bin",
        hello(Identity::ControlServer { name: "ctl-2".to_string() });
    frame_of_hello_from_the_command, "frame-hello-tool-v1.bin", hello(Identity::Command);
    frame_of_version_report, "frame-in-force-v1.bin",
        Message::VersionReport { in_force: Some(version(299, SECOND)), rejected: Some(rejection()) };
    frame_of_version_report_without_a_version, "frame-in-force-none-v1.bin",
        Message::VersionReport { in_force: None, rejected: None };
    frame_of_heartbeat, "frame-alive-v1.bin",
        Message::Heartbeat { fresh: true, newest: Some(version(300, THIRD)) };
    frame_of_newest, "frame-newest-v1.bin", Message::Newest(version(300, THIRD), THIRD.into());
    frame_of_store_document, "frame-keep-v1.bin", Message::StoreDocument(THIRD.into());
    frame_of_document_stored, "frame-kept-v1.bin", Message::DocumentStored(Digest::of(THIRD));
    frame_of_chosen, "frame-chosen-v1.bin", Message::Chosen(version(300, THIRD));
    frame_of_fetch_document, "frame-want-v1.bin", Message::FetchDocument(version(300, THIRD));
    frame_of_found_document, "frame-given-v1.bin", Message::FoundDocument(version(300, THIRD), THIRD.into());
    frame_of_propose, "frame-put-v1.bin", Message::Propose(THIRD.into());
    frame_of_accepted, "frame-accepted-v1.bin", Message::Accepted(version(300, THIRD));
    frame_of_not_accepted, "frame-not-accepted-v1.bin",
        Message::NotAccepted { reason: "line 2: no such key".to_string(), uncertain: true };
    frame_of_show_document, "frame-show-v1.bin", Message::ShowDocument(Some(299));
    frame_of_show_newest_document, "frame-show-newest-v1.bin", Message::ShowDocument(None);
    frame_of_document_not_found, "frame-not-shown-v1.bin", Message::DocumentNotFound("not here".to_string());
    frame_of_query_status, "frame-ask-v1.bin", Message::QueryStatus;
    frame_of_status, "frame-status-v1.bin", Message::Status(status());
}
