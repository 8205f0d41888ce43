//! Encoding and decoding of documents, version histories, files and frames, also from invalid bytes.

use std::sync::Arc;

use dunemount_rollout::control::{PersistentState, MAX_PENDING_DOCUMENTS};
use dunemount_rollout::file_format::FileError;
use dunemount_rollout::frame::{encode_frame, FrameError, FrameReader, MAX_FRAME_BYTES};
use dunemount_rollout::history::{UnreadableHistory, VersionHistory, MAX_HISTORY_VERSIONS};
use dunemount_rollout::version::{Digest, Document, Version, MAX_DOCUMENT_BYTES};
use dunemount_rollout::wire::*;
use proptest::prelude::*;

fn version(number: u64, document: &[u8]) -> Version {
    Version { number, digest: Digest::of(document) }
}

fn document(number: u64, bytes: &[u8]) -> Document {
    Document::verify(version(number, bytes), bytes.into()).expect("the digest matches")
}

fn state() -> PersistentState {
    let pending: Arc<[u8]> = b"three".to_vec().into();
    PersistentState {
        versions: vec![document(1, b"one"), document(2, b"two")],
        pending: vec![(Digest::of(&pending), pending)],
    }
}

/// Guards the digest algorithm: the expected value is the one of "abc" in the examples of FIPS 180-4.
#[test]
fn a_digest_is_sha_256() {
    let known = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    let digest = Digest::of(b"abc");
    assert_eq!(digest.0.iter().map(|byte| format!("{byte:02x}")).collect::<String>(), known);
    assert_eq!(digest.to_string(), known[..16]);
}

/// Guards against bytes that do not belong to a version: they need its digest, an allowed length and a number above
/// zero.
#[test]
fn a_document_has_the_digest_of_its_version() {
    let bytes: Arc<[u8]> = b"one".to_vec().into();
    assert!(Document::verify(version(1, b"one"), bytes.clone()).is_some());
    assert!(Document::verify(version(1, b"two"), bytes.clone()).is_none(), "another digest");
    assert!(Document::verify(version(0, b"one"), bytes).is_none(), "the first number is 1");
    let long = vec![7; MAX_DOCUMENT_BYTES + 1];
    assert!(Document::verify(version(1, &long), long.clone().into()).is_none(), "too long");
    assert!(Document::verify(version(1, &long[1..]), long[1..].into()).is_some());
}

/// Guards against files that were truncated, damaged or extended, or are of another kind or a later format: each is
/// rejected, and the error of a later format names its version.
#[test]
fn truncated_damaged_and_foreign_files_are_rejected() {
    let one = document(7, b"listen: 80");
    assert_eq!(Document::from_file(&one.to_file()), Ok(one.clone()));
    assert_eq!(PersistentState::from_file(&state().to_file()), Ok(state()));
    assert_eq!(
        PersistentState::from_file(&PersistentState::default().to_file()),
        Ok(PersistentState::default())
    );
    assert!(PersistentState::from_file(&one.to_file()).is_err(), "another kind");
    for file in [one.to_file(), state().to_file()] {
        for length in 0..file.len() {
            assert!(
                Document::from_file(&file[..length]).is_err()
                    && PersistentState::from_file(&file[..length]).is_err()
            );
        }
        for at in 0..file.len() {
            let mut damaged = file.clone();
            damaged[at] ^= 1;
            assert!(
                Document::from_file(&damaged).is_err() && PersistentState::from_file(&damaged).is_err(),
                "byte {at}"
            );
        }
        let mut longer = file.clone();
        longer.push(0);
        assert!(Document::from_file(&longer).is_err() && PersistentState::from_file(&longer).is_err());
    }
    let mut later = one.to_file();
    later[7] = 2;
    let error = Document::from_file(&later).expect_err("a later format");
    assert_eq!(error, FileError::UnknownFormat(2));
    assert_eq!(error.to_string(), "format version 2 is not supported");
}

/// Guards the limits of a control server's file: pending documents, versions, and their order.
#[test]
fn a_state_that_exceeds_its_limits_is_rejected() {
    let pending: Vec<_> =
        (0..=MAX_PENDING_DOCUMENTS as u8).map(|at| (Digest::of(&[at]), Arc::from([at]))).collect();
    assert!(PersistentState::from_file(
        &PersistentState { versions: vec![], pending: pending[1..].to_vec() }.to_file()
    )
    .is_ok());
    assert!(PersistentState::from_file(&PersistentState { versions: vec![], pending }.to_file()).is_err());
    let versions = vec![document(2, b"two"), document(1, b"one")];
    assert!(
        PersistentState::from_file(&PersistentState { versions, pending: vec![] }.to_file()).is_err(),
        "the newest is last"
    );
    let versions = (1..4).map(|number| document(number, b"one")).collect();
    assert!(
        PersistentState::from_file(&PersistentState { versions, pending: vec![] }.to_file()).is_err(),
        "three"
    );
}

/// Guards the history: numbers rise by one, recent versions are found by the id of their proposal, and an unreadable
/// value is an error rather than an empty history.
#[test]
fn a_history_numbers_versions_and_finds_proposals() {
    let mut history = VersionHistory::decode(None).expect("empty");
    assert_eq!(history.newest(), None);
    for number in 1..=20u64 {
        history = history.with_next(Digest::of(&number.to_be_bytes()), number * 100);
        assert_eq!(history.newest(), Some(version(number, &number.to_be_bytes())));
        let value = history.encode();
        assert_eq!(VersionHistory::decode(Some(&value)), Ok(history.clone()));
    }
    assert_eq!(
        history.versions().map(|version| version.number).collect::<Vec<_>>(),
        (13..=20).collect::<Vec<_>>()
    );
    assert_eq!(history.version_of(1_300).map(|version| version.number), Some(13));
    assert_eq!(history.version_of(1_200), None, "{MAX_HISTORY_VERSIONS} newer versions");
    let value = history.encode();
    assert_eq!(VersionHistory::decode(Some(&[])), Err(UnreadableHistory));
    assert_eq!(VersionHistory::decode(Some(&value[..value.len() - 1])), Err(UnreadableHistory));
    assert_eq!(
        VersionHistory::decode(Some(&[&[2], &value[1..]].concat())),
        Err(UnreadableHistory),
        "a later format"
    );
    assert_eq!(
        VersionHistory::decode(Some(&[&value[..], &[0]].concat())),
        Err(UnreadableHistory),
        "a byte after the history"
    );
}

/// Guards the size limit of a register's value, 1,024 bytes: the longest history has 418.
#[test]
fn the_longest_history_fits_into_a_register() {
    // The format version, the number of entries, and one entry: a version number of ten bytes, which is low enough for
    // `MAX_HISTORY_VERSIONS` more, its digest, and the proposal id.
    let mut value = vec![1, 1];
    value.extend([0xf0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
    value.extend([9; 32]);
    value.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
    let mut history = VersionHistory::decode(Some(&value)).expect("a valid history");
    for _ in 0..MAX_HISTORY_VERSIONS {
        history = history.with_next(Digest([8; 32]), u64::MAX);
    }
    assert_eq!(history.encode().len(), 418);
}

fn rejection() -> Rejection {
    Rejection { version: version(3, b"three"), reason: "w".repeat(MAX_REJECTION_BYTES) }
}

fn messages() -> Vec<Message> {
    let bytes: Arc<[u8]> = b"one".to_vec().into();
    let name = || "n".repeat(MAX_NAME_BYTES);
    let hello =
        |identity| Message::Hello(Hello { protocol_version: PROTOCOL_VERSION, fleet: name(), identity });
    let gateway = GatewayStatus {
        name: name(),
        zone: name(),
        in_force: Some(version(u64::MAX, b"")),
        rejected: Some(rejection()),
        silent_ms: u64::MAX,
    };
    let status = ControlServerStatus {
        name: name(),
        zone: name(),
        newest: Some(version(1, b"one")),
        has_document: true,
        fresh: true,
        last_read_ms: Some(u64::MAX),
        peers: vec![name(); 8],
        gateways: vec![gateway; MAX_GATEWAYS],
        members: vec![name(); MAX_GATEWAYS],
    };
    vec![
        hello(Identity::Gateway { name: name(), zone: name() }),
        hello(Identity::ControlServer { name: name() }),
        hello(Identity::Command),
        Message::VersionReport { in_force: None, rejected: None },
        Message::VersionReport { in_force: Some(version(1, b"one")), rejected: Some(rejection()) },
        Message::Heartbeat { fresh: true, newest: Some(version(1, b"one")) },
        Message::Newest(version(1, b"one"), bytes.clone()),
        Message::StoreDocument(vec![1; MAX_DOCUMENT_BYTES].into()),
        Message::DocumentStored(Digest::of(b"one")),
        Message::Chosen(version(1, b"one")),
        Message::FetchDocument(version(1, b"one")),
        Message::FoundDocument(version(1, b"one"), bytes.clone()),
        Message::Propose(bytes),
        Message::Accepted(version(1, b"one")),
        Message::NotAccepted { reason: "w".repeat(MAX_ANSWER_BYTES), uncertain: true },
        Message::ShowDocument(None),
        Message::ShowDocument(Some(7)),
        Message::DocumentNotFound(String::new()),
        Message::QueryStatus,
        Message::Status(status),
    ]
}

/// Guards frames: all messages, including the longest, are decoded unchanged for any split of the received bytes.
#[test]
fn frames_are_decoded_as_they_were_encoded() {
    let stream: Vec<u8> = messages().iter().flat_map(|message| encode_frame(message).to_vec()).collect();
    for piece in [1, 7, 4_096, stream.len()] {
        let (mut frames, mut out) = (FrameReader::default(), Vec::new());
        for bytes in stream.chunks(piece) {
            frames.push(bytes);
            while let Some(message) = frames.next_message().expect("valid frames") {
                out.push(message);
            }
        }
        assert!(out == messages(), "pieces of {piece}");
    }
}

/// Guards the memory that a connection may use: a frame longer than the limit is rejected before its bytes are
/// received, and so is a message that contains a name, text, document or list longer than its limit.
#[test]
fn frames_and_messages_above_their_limits_are_rejected() {
    let next = |max_bytes: usize, bytes: &[u8]| {
        let mut frames = FrameReader::new(max_bytes);
        frames.push(bytes);
        frames.next_message()
    };
    assert_eq!(next(MAX_FRAME_BYTES, &(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()), Err(FrameError::TooLong));
    assert_eq!(
        next(MAX_FRAME_BYTES * 2, &(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()),
        Err(FrameError::TooLong),
        "the limit cannot be raised above the maximum"
    );
    assert_eq!(next(MAX_FRAME_BYTES, &(MAX_FRAME_BYTES as u32).to_be_bytes()), Ok(None));
    assert_eq!(next(10, &11u32.to_be_bytes()), Err(FrameError::TooLong));
    assert_eq!(next(MAX_FRAME_BYTES, &[0, 0, 0, 0]), Err(FrameError::InvalidMessage), "an empty frame");
    assert_eq!(
        next(
            MAX_FRAME_BYTES,
            &[
                &encode_frame(&Message::QueryStatus)[..3],
                &[2],
                &encode_frame(&Message::QueryStatus)[4..],
                &[0]
            ]
            .concat()
        ),
        Err(FrameError::InvalidMessage)
    );
    let long = |length: usize| "x".repeat(length + 1);
    let version = version(1, b"one");
    for message in [
        Message::Hello(Hello {
            protocol_version: PROTOCOL_VERSION,
            fleet: long(MAX_NAME_BYTES),
            identity: Identity::Command,
        }),
        Message::Hello(Hello {
            protocol_version: PROTOCOL_VERSION,
            fleet: String::new(),
            identity: Identity::ControlServer { name: long(MAX_NAME_BYTES) },
        }),
        Message::VersionReport {
            in_force: None,
            rejected: Some(Rejection { version, reason: long(MAX_REJECTION_BYTES) }),
        },
        Message::Propose(vec![1; MAX_DOCUMENT_BYTES + 1].into()),
        Message::DocumentNotFound(long(MAX_ANSWER_BYTES)),
        Message::Status(ControlServerStatus {
            members: vec![String::new(); MAX_GATEWAYS + 1],
            ..ControlServerStatus::default()
        }),
        Message::Status(ControlServerStatus {
            peers: vec![long(MAX_NAME_BYTES)],
            ..ControlServerStatus::default()
        }),
    ] {
        assert_eq!(
            next(MAX_FRAME_BYTES, &encode_frame(&message)),
            Err(FrameError::InvalidMessage),
            "{message:?}"
        );
    }
}

/// Guards the documented format: these are the bytes of the examples in `docs/formats/rollout.md`. Another format needs
/// another format version.
#[test]
fn the_documented_examples_are_encoded_as_documented() {
    const DIGEST: &str = "159c83c155070f3cbe2c2fb9e27638f844cbf62b4357c0081189c7c58be3aa14";
    const BYTES: &str = "0c6c697374656e203d2038300a";
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let one = document(1, b"listen = 80\n");
    let (version, bytes) = (one.version(), one.bytes().clone());
    assert_eq!(hex(&version.digest.0), DIGEST);
    let identity = Identity::Gateway { name: "gw-1".to_string(), zone: "a".to_string() };
    let rejected = Some(Rejection { version, reason: "no".to_string() });
    let frames = [
        (
            Message::Hello(Hello { protocol_version: PROTOCOL_VERSION, fleet: "f".to_string(), identity }),
            "0000000c 00 01 0166 00 0467772d31 0161".to_string(),
        ),
        (Message::VersionReport { in_force: None, rejected: None }, "00000003 01 00 00".to_string()),
        (
            Message::VersionReport { in_force: None, rejected },
            format!("00000027 01 00 01 01 {DIGEST} 026e6f"),
        ),
        (Message::Heartbeat { fresh: true, newest: Some(version) }, format!("00000024 02 01 01 01 {DIGEST}")),
        (Message::Newest(version, bytes.clone()), format!("0000002f 03 01 {DIGEST} {BYTES}")),
        (Message::Propose(bytes), format!("0000000e 09 {BYTES}")),
        (Message::Accepted(version), format!("00000022 0a 01 {DIGEST}")),
    ];
    for (message, bytes) in frames {
        assert_eq!(hex(&encode_frame(&message)), bytes.replace(' ', ""), "{message:?}");
    }
    let history = VersionHistory::default().with_next(version.digest, 300).encode();
    assert_eq!(hex(&history), format!("01 01 01 {DIGEST} ac02").replace(' ', ""));
    let sum = "73e2bf791de81e5ab1ccbb72ae02cd6a2f37d27d04abc33b026e6ac2b22f4865";
    let file = format!("444d434f4e460001 0000002e {sum} 01 {DIGEST} {BYTES}");
    assert_eq!(hex(&one.to_file()), file.replace(' ', ""));
    let sum = "1dec7835d7b9ed94567ae6072644c3f99f66faef70151c92cc04fa034cbb4834";
    let file = format!("444d4b4545500001 00000030 {sum} 01 01 {DIGEST} {BYTES} 00");
    assert_eq!(
        hex(&PersistentState { versions: vec![one], pending: vec![] }.to_file()),
        file.replace(' ', "")
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against arbitrary bytes: decoding does not panic, and a decoded history is within its limits.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = Document::from_file(&bytes);
        let _ = PersistentState::from_file(&bytes);
        if let Ok(history) = VersionHistory::decode(Some(&bytes)) {
            prop_assert!(history.versions().count() <= MAX_HISTORY_VERSIONS);
        }
        let mut frames = FrameReader::default();
        frames.push(&bytes);
        while let Ok(Some(_)) = frames.next_message() {}
        // The same bytes as the only message of a frame.
        let mut frames = FrameReader::default();
        frames.push(&[&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat());
        let _ = frames.next_message();
    }

    /// Guards against messages that were corrupted in transit: decoding does not panic.
    #[test]
    fn corrupted_messages_do_not_panic(which in 0usize..19, at in any::<proptest::sample::Index>(), by in 1u8..) {
        let mut bytes = encode_frame(&messages()[which]).to_vec();
        let at = at.index(bytes.len().min(200));
        bytes[at] ^= by;
        let mut frames = FrameReader::default();
        frames.push(&bytes);
        while let Ok(Some(_)) = frames.next_message() {}
    }
}
