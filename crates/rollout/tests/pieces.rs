//! Documents, ledgers, files and frames, with bytes that make no sense.

use std::sync::Arc;

use dunemount_rollout::control::{Keeping, WAITING};
use dunemount_rollout::version::{Digest, Document, Ledger, Version, LONGEST_DOCUMENT, NAMED};
use dunemount_rollout::wire::*;
use proptest::prelude::*;

fn version(number: u64, document: &[u8]) -> Version {
    Version { number, digest: Digest::of(document) }
}

fn document(number: u64, bytes: &[u8]) -> Document {
    Document::of(version(number, bytes), bytes.into()).expect("fits")
}

fn keeping() -> Keeping {
    let waiting: Arc<[u8]> = b"three".to_vec().into();
    Keeping {
        versions: vec![document(1, b"one"), document(2, b"two")],
        waiting: vec![(Digest::of(&waiting), waiting)],
    }
}

/// The value published for "abc" in FIPS 180-4's examples.
#[test]
fn a_digest_is_sha_256() {
    let known = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    let digest = Digest::of(b"abc");
    assert_eq!(digest.0.iter().map(|byte| format!("{byte:02x}")).collect::<String>(), known);
    assert_eq!(digest.to_string(), known[..16]);
}

#[test]
fn a_document_fits_its_version_or_is_none() {
    let bytes: Arc<[u8]> = b"one".to_vec().into();
    assert!(Document::of(version(1, b"one"), bytes.clone()).is_some());
    assert!(Document::of(version(1, b"two"), bytes.clone()).is_none(), "another digest");
    assert!(Document::of(version(0, b"one"), bytes).is_none(), "the first number is 1");
    let long = vec![7; LONGEST_DOCUMENT + 1];
    assert!(Document::of(version(1, &long), long.clone().into()).is_none(), "too long");
    assert!(Document::of(version(1, &long[1..]), long[1..].into()).is_some());
}

/// Guards files: whole, or refused with a reason; a later form is named as such.
#[test]
fn files_are_read_whole_or_not_at_all() {
    let one = document(7, b"listen: 80");
    assert_eq!(Document::read(&one.file()), Ok(one.clone()));
    assert_eq!(Keeping::read(&keeping().file()), Ok(keeping()));
    assert_eq!(Keeping::read(&Keeping::default().file()), Ok(Keeping::default()));
    assert!(Keeping::read(&one.file()).is_err(), "another kind");
    for file in [one.file(), keeping().file()] {
        for length in 0..file.len() {
            assert!(Document::read(&file[..length]).is_err() && Keeping::read(&file[..length]).is_err());
        }
        for at in 0..file.len() {
            let mut spoilt = file.clone();
            spoilt[at] ^= 1;
            assert!(Document::read(&spoilt).is_err() && Keeping::read(&spoilt).is_err(), "byte {at}");
        }
        let mut longer = file.clone();
        longer.push(0);
        assert!(Document::read(&longer).is_err() && Keeping::read(&longer).is_err());
    }
    let mut later = one.file();
    later[7] = 2;
    assert_eq!(Document::read(&later), Err("of form 2, which this program does not know".to_string()));
}

#[test]
fn more_than_is_ever_kept_is_refused() {
    let waiting: Vec<_> = (0..=WAITING as u8).map(|at| (Digest::of(&[at]), Arc::from([at]))).collect();
    assert!(Keeping::read(&Keeping { versions: vec![], waiting: waiting[1..].to_vec() }.file()).is_ok());
    assert!(Keeping::read(&Keeping { versions: vec![], waiting }.file()).is_err());
    let versions = vec![document(2, b"two"), document(1, b"one")];
    assert!(Keeping::read(&Keeping { versions, waiting: vec![] }.file()).is_err(), "the newest is last");
    let versions = (1..4).map(|number| document(number, b"one")).collect();
    assert!(Keeping::read(&Keeping { versions, waiting: vec![] }.file()).is_err(), "three");
}

/// Guards the ledger: numbers rise by one, the last ones are named by proposal, the longest fits into a register, and what
/// cannot be read is no empty ledger.
#[test]
fn a_ledger_numbers_and_names() {
    let mut ledger = Ledger::read(None).expect("empty");
    assert_eq!(ledger.newest(), None);
    for number in 1..=20u64 {
        ledger = ledger.with(Digest::of(&number.to_be_bytes()), number * 100);
        assert_eq!(ledger.newest(), Some(version(number, &number.to_be_bytes())));
        let value = ledger.write();
        assert_eq!(Ledger::read(Some(&value)), Some(ledger.clone()));
    }
    assert_eq!(
        ledger.versions().map(|version| version.number).collect::<Vec<_>>(),
        (13..=20).collect::<Vec<_>>()
    );
    assert_eq!(ledger.of(1_300).map(|version| version.number), Some(13));
    assert_eq!(ledger.of(1_200), None, "{NAMED} others came after it");
    let value = ledger.write();
    assert_eq!(Ledger::read(Some(&[])), None);
    assert_eq!(Ledger::read(Some(&value[..value.len() - 1])), None);
    assert_eq!(Ledger::read(Some(&[&[2], &value[1..]].concat())), None, "a later form");
    assert_eq!(Ledger::read(Some(&[&value[..], &[0]].concat())), None, "more than a ledger");
}

/// Guards the bound: the longest ledger has 418 bytes, under the 1,024 of a register's value.
#[test]
fn the_longest_ledger_fits_into_a_register() {
    // The form, one entry, the highest number that is read but one, the digest, and the proposal.
    let mut value = vec![1, 1];
    value.extend([0xf0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
    value.extend([9; 32]);
    value.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
    let mut ledger = Ledger::read(Some(&value)).expect("one");
    for _ in 0..NAMED {
        ledger = ledger.with(Digest([8; 32]), u64::MAX);
    }
    assert_eq!(ledger.write().len(), 418);
}

fn refusal() -> Refusal {
    Refusal { version: version(3, b"three"), why: "w".repeat(LONGEST_WHY) }
}

fn messages() -> Vec<Message> {
    let bytes: Arc<[u8]> = b"one".to_vec().into();
    let name = || "n".repeat(LONGEST_NAME);
    let hello = |who| Message::Hello(Hello { form: FORM, fleet: name(), who });
    let seen = Seen {
        name: name(),
        zone: name(),
        in_force: Some(version(u64::MAX, b"")),
        refused: Some(refusal()),
        silent_ms: u64::MAX,
    };
    let status = Status {
        name: name(),
        zone: name(),
        newest: Some(version(1, b"one")),
        has_document: true,
        fresh: true,
        looked_ms: Some(u64::MAX),
        peers: vec![name(); 8],
        gateways: vec![seen; MOST_GATEWAYS],
        members: vec![name(); MOST_GATEWAYS],
    };
    vec![
        hello(Who::Gateway { name: name(), zone: name() }),
        hello(Who::Control { name: name() }),
        hello(Who::Tool),
        Message::InForce { version: None, refused: None },
        Message::InForce { version: Some(version(1, b"one")), refused: Some(refusal()) },
        Message::Alive { fresh: true, newest: Some(version(1, b"one")) },
        Message::Newest(version(1, b"one"), bytes.clone()),
        Message::Keep(vec![1; LONGEST_DOCUMENT].into()),
        Message::Kept(Digest::of(b"one")),
        Message::Chosen(version(1, b"one")),
        Message::Want(version(1, b"one")),
        Message::Given(version(1, b"one"), bytes.clone()),
        Message::Put(bytes),
        Message::Accepted(version(1, b"one")),
        Message::NotAccepted { why: "w".repeat(LONGEST_ANSWER), uncertain: true },
        Message::Show(None),
        Message::Show(Some(7)),
        Message::NotShown(String::new()),
        Message::Ask,
        Message::Status(status),
    ]
}

/// Guards frames: all messages, the longest ones too, come out as they went in, in whatever pieces they come.
#[test]
fn frames_come_out_as_they_went_in() {
    let stream: Vec<u8> = messages().iter().flat_map(|message| frame(message).to_vec()).collect();
    for piece in [1, 7, 4_096, stream.len()] {
        let (mut inbox, mut out) = (Inbox::default(), Vec::new());
        for bytes in stream.chunks(piece) {
            inbox.push(bytes);
            while let Some(message) = inbox.next().expect("sense") {
                out.push(message);
            }
        }
        assert!(out == messages(), "pieces of {piece}");
    }
}

/// Guards what a connection may cost: a length beyond the bound is refused before the bytes come, and so is anything in a
/// message that is longer than it may be.
#[test]
fn what_is_too_long_is_refused() {
    let next = |longest: usize, bytes: &[u8]| {
        let mut inbox = Inbox::of(longest);
        inbox.push(bytes);
        inbox.next()
    };
    assert_eq!(next(LONGEST, &(LONGEST as u32 + 1).to_be_bytes()), Err(Bad::TooLong));
    assert_eq!(
        next(LONGEST * 2, &(LONGEST as u32 + 1).to_be_bytes()),
        Err(Bad::TooLong),
        "whatever is asked for"
    );
    assert_eq!(next(LONGEST, &(LONGEST as u32).to_be_bytes()), Ok(None));
    assert_eq!(next(10, &11u32.to_be_bytes()), Err(Bad::TooLong));
    assert_eq!(next(LONGEST, &[0, 0, 0, 0]), Err(Bad::Senseless), "an empty one");
    assert_eq!(
        next(LONGEST, &[&frame(&Message::Ask)[..3], &[2], &frame(&Message::Ask)[4..], &[0]].concat()),
        Err(Bad::Senseless)
    );
    let long = |length: usize| "x".repeat(length + 1);
    let version = version(1, b"one");
    for message in [
        Message::Hello(Hello { form: FORM, fleet: long(LONGEST_NAME), who: Who::Tool }),
        Message::Hello(Hello {
            form: FORM,
            fleet: String::new(),
            who: Who::Control { name: long(LONGEST_NAME) },
        }),
        Message::InForce { version: None, refused: Some(Refusal { version, why: long(LONGEST_WHY) }) },
        Message::Put(vec![1; LONGEST_DOCUMENT + 1].into()),
        Message::NotShown(long(LONGEST_ANSWER)),
        Message::Status(Status { members: vec![String::new(); MOST_GATEWAYS + 1], ..Status::default() }),
        Message::Status(Status { peers: vec![long(LONGEST_NAME)], ..Status::default() }),
    ] {
        assert_eq!(next(LONGEST, &frame(&message)), Err(Bad::Senseless), "{message:?}");
    }
}

/// Guards the form: the bytes of the page's examples (`docs/formats/rollout.md`). Another form needs another number.
#[test]
fn the_page_s_examples_are_what_is_written() {
    const DIGEST: &str = "159c83c155070f3cbe2c2fb9e27638f844cbf62b4357c0081189c7c58be3aa14";
    const BYTES: &str = "0c6c697374656e203d2038300a";
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let one = document(1, b"listen = 80\n");
    let (version, bytes) = (one.version(), one.bytes().clone());
    assert_eq!(hex(&version.digest.0), DIGEST);
    let who = Who::Gateway { name: "gw-1".to_string(), zone: "a".to_string() };
    let refused = Some(Refusal { version, why: "no".to_string() });
    let frames = [
        (
            Message::Hello(Hello { form: FORM, fleet: "f".to_string(), who }),
            "0000000c 00 01 0166 00 0467772d31 0161".to_string(),
        ),
        (Message::InForce { version: None, refused: None }, "00000003 01 00 00".to_string()),
        (Message::InForce { version: None, refused }, format!("00000027 01 00 01 01 {DIGEST} 026e6f")),
        (Message::Alive { fresh: true, newest: Some(version) }, format!("00000024 02 01 01 01 {DIGEST}")),
        (Message::Newest(version, bytes.clone()), format!("0000002f 03 01 {DIGEST} {BYTES}")),
        (Message::Put(bytes), format!("0000000e 09 {BYTES}")),
        (Message::Accepted(version), format!("00000022 0a 01 {DIGEST}")),
    ];
    for (message, bytes) in frames {
        assert_eq!(hex(&frame(&message)), bytes.replace(' ', ""), "{message:?}");
    }
    let ledger = Ledger::default().with(version.digest, 300).write();
    assert_eq!(hex(&ledger), format!("01 01 01 {DIGEST} ac02").replace(' ', ""));
    let sum = "73e2bf791de81e5ab1ccbb72ae02cd6a2f37d27d04abc33b026e6ac2b22f4865";
    let file = format!("444d434f4e460001 0000002e {sum} 01 {DIGEST} {BYTES}");
    assert_eq!(hex(&one.file()), file.replace(' ', ""));
    let sum = "1dec7835d7b9ed94567ae6072644c3f99f66faef70151c92cc04fa034cbb4834";
    let file = format!("444d4b4545500001 00000030 {sum} 01 01 {DIGEST} {BYTES} 00");
    assert_eq!(hex(&Keeping { versions: vec![one], waiting: vec![] }.file()), file.replace(' ', ""));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against any bytes: nothing panics, and what is read is within its bounds.
    #[test]
    fn no_bytes_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = Document::read(&bytes);
        let _ = Keeping::read(&bytes);
        if let Some(ledger) = Ledger::read(Some(&bytes)) {
            prop_assert!(ledger.versions().count() <= NAMED);
        }
        let mut inbox = Inbox::default();
        inbox.push(&bytes);
        while let Ok(Some(_)) = inbox.next() {}
        // As the one message of a frame.
        let mut inbox = Inbox::default();
        inbox.push(&[&(bytes.len() as u32).to_be_bytes()[..], &bytes].concat());
        let _ = inbox.next();
    }

    /// Guards against messages that were changed on their way.
    #[test]
    fn changed_messages_do_no_harm(which in 0usize..19, at in any::<proptest::sample::Index>(), by in 1u8..) {
        let mut bytes = frame(&messages()[which]).to_vec();
        let at = at.index(bytes.len().min(200));
        bytes[at] ^= by;
        let mut inbox = Inbox::default();
        inbox.push(&bytes);
        while let Ok(Some(_)) = inbox.next() {}
    }
}
