//! Connection states against random steps: whatever the cut of the bytes, a client gets one answer
//! a query in order, and a host's answer counts only once it is whole.

use dunemount::attempt::{AttemptProgress, ResponseStatus};
use dunemount::pg::client::{ClientProtocol, ClientRequest, ProtocolHandover};
use dunemount::pg::codec::{self, ReceiveBuffer};
use dunemount::pg::host::{HostEvent, HostProtocol, HostResponse};
use dunemount::pg::statement::{Statement, StatementError};
use dunemount::pg::timed_buffer::{Arrival, TimedReceiveBuffer};
use dunemount::{Micros, Role};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The description of a row of one column.
const DOC: &[u8] = b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01";

fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Default::default() }
}

fn tags(bytes: &[u8]) -> String {
    let mut inbox = ReceiveBuffer::default();
    inbox.push(bytes);
    let mut tags = String::new();
    while let Some(frame) = inbox.next_message().expect("well framed") {
        tags.push(char::from(frame.tag));
    }
    assert!(inbox.is_empty(), "half a message was written");
    tags
}

/// What a client may send, with the tags of what it must get for it.
#[derive(Clone, Debug)]
enum Command {
    Query(u8),
    Empty,
    Extended,
    Sync,
    NotText,
}

fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        4 => (0..3u8).prop_map(Command::Query),
        1 => Just(Command::Empty),
        1 => Just(Command::Extended),
        1 => Just(Command::Sync),
        1 => Just(Command::NotText),
    ]
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Guards the order of answers under pipelining, and that a query is asked for only when the one
    /// before has been answered.
    #[test]
    fn a_client_gets_one_answer_a_query_in_order(
        commands in prop::collection::vec(command(), 0..12),
        chunk in 1..60usize,
    ) {
        let mut bytes = Vec::new();
        codec::write_startup_packet(&mut bytes, "app", "shop");
        let (mut expected, mut queries, mut skipping) = (String::from("RSSSSKZ"), Vec::new(), false);
        for (index, command) in commands.iter().enumerate() {
            match command {
                Command::Query(kind) => {
                    codec::write_query(&mut bytes, &format!("q{index}"));
                    if !skipping {
                        queries.push((format!("q{index}"), *kind));
                        expected.push_str(["TDCZ", "EZ", "EZ"][usize::from(*kind)]);
                    }
                }
                Command::Empty => {
                    codec::write_query(&mut bytes, " ; ");
                    expected.push_str(if skipping { "" } else { "IZ" });
                }
                Command::Extended => {
                    codec::write_message(&mut bytes, b'P', b"\0select\0\0\0");
                    expected.push_str(if skipping { "" } else { "E" });
                    skipping = true;
                }
                Command::Sync => {
                    codec::write_message(&mut bytes, b'S', &[]);
                    expected.push('Z');
                    skipping = false;
                }
                Command::NotText => {
                    codec::write_message(&mut bytes, b'Q', &[0xff, 0]);
                    expected.push_str(if skipping { "" } else { "EZ" });
                }
            }
        }
        let mut rows = Vec::new();
        for tag in [b'T', b'D', b'C'] {
            codec::write_message(&mut rows, tag, &[0, 0]);
        }
        let (mut client, mut asked) = (ClientProtocol::default(), Vec::new());
        for part in bytes.chunks(chunk) {
            client.receive(part, Micros(0));
            while let Some(demand) = client.next_request() {
                let ClientRequest::Query(text, _) = demand else { panic!("closed for {commands:?}") };
                prop_assert!(client.is_busy() && client.next_request().is_none(), "asked while one is owed");
                let kind = queries.get(asked.len()).map_or(9, |(_, kind)| *kind);
                asked.push((text, kind));
                match kind {
                    0 => client.send_rows(&rows),
                    1 => client.reject(Some(Micros(1_500))),
                    _ => client.send_error("58000", "no"),
                }
            }
        }
        prop_assert_eq!(asked, queries);
        prop_assert_eq!(tags(&client.out.bytes), expected);
        prop_assert!(client.wants_read());
    }

    /// Guards against a panic, an endless wait or an endless buffer on bytes that are no protocol.
    #[test]
    fn junk_is_turned_away(junk in prop::collection::vec(any::<u8>(), 0..200), started in any::<bool>()) {
        let (mut client, mut host) = (ClientProtocol::default(), HostProtocol::default());
        if started {
            let mut bytes = Vec::new();
            codec::write_startup_packet(&mut bytes, "app", "shop");
            client.receive(&bytes, Micros(0));
        }
        client.receive(&junk, Micros(0));
        host.receive(&junk);
        while let Some(ClientRequest::Query(..)) = client.next_request() {
            client.reject(None);
        }
        while host.next_event().is_some() {}
        prop_assert!(!host.is_idle() || host.out.is_empty());
    }

    /// Guards the host's side: an answer counts from its last word on and never before, and no request
    /// goes on a connection whose reply is unfinished.
    #[test]
    fn a_hosts_answer_is_whole_or_none(
        kind in 0..4usize,
        value in prop::collection::vec(any::<u8>(), 0..50),
        cut in 0..400usize,
        chunk in 1..40usize,
    ) {
        let mut host = welcomed();
        prop_assert!(host.send_query("q"));
        let (mut bytes, mut told_at) = (Vec::new(), usize::MAX);
        let said = [ResponseStatus::Served, ResponseStatus::Unsuitable, ResponseStatus::Rejected, ResponseStatus::Failed][kind];
        codec::write_message(&mut bytes, b'N', b"SNOTICE\0\0");
        if said == ResponseStatus::Served {
            codec::write_message(&mut bytes, b'T', DOC);
            let mut row = vec![0, 1];
            row.extend_from_slice(&(value.len() as u32).to_be_bytes());
            row.extend_from_slice(&value);
            codec::write_message(&mut bytes, b'D', &row);
            codec::write_message(&mut bytes, b'C', b"SELECT 1\0");
        } else {
            codec::write_error_response(&mut bytes, "ERROR", ["", "25006", "53300", "XX000"][kind], "no", None);
        }
        told_at = told_at.min(bytes.len());
        codec::write_parameter_status(&mut bytes, "part", "replica");
        codec::write_parameter_status(&mut bytes, "caught_up_to", "1767225600123");
        codec::write_ready_for_query(&mut bytes);
        prop_assert_eq!(host.attempt_progress(), AttemptProgress::PartiallyWritten);
        host.out.flush(&mut Vec::new()).expect("written");
        let whole = cut >= bytes.len();
        bytes.truncate(cut);
        let mut turns = Vec::new();
        for part in bytes.chunks(chunk) {
            host.receive(part);
            while let Some(turn) = host.next_event() {
                turns.push(turn);
            }
        }
        prop_assert_eq!(host.is_idle(), whole);
        let reach = if whole { AttemptProgress::NotConnected } else { AttemptProgress::FullyWritten };
        prop_assert_eq!(host.attempt_progress(), reach, "of the request now on the connection");
        if whole {
            let Some(HostEvent::Response(answer)) = turns.pop() else { panic!("no answer") };
            prop_assert_eq!((answer.status, answer.role), (said, Some(Role::Replica)));
            prop_assert_eq!(answer.position, Some(1_767_225_600_123.0));
            prop_assert_eq!(answer.value, (said == ResponseStatus::Served).then_some(value));
            prop_assert_eq!(tags(&answer.rows), if said == ResponseStatus::Served { "TDC" } else { "" });
            prop_assert!(host.handle_end().is_none(), "told twice");
        } else {
            prop_assert!(!host.send_query("next"), "asked into an unfinished reply");
            prop_assert_eq!(host.handle_end().map(|answer| answer.status), (cut >= told_at).then_some(said));
        }
        prop_assert!(turns.is_empty());
    }

    /// Guards that id, key and statement go on unchanged, and only the time left is told anew.
    #[test]
    fn only_the_wait_is_rewritten(key in "[a-z0-9]{1,16}", wait in 1..90_000u64, left in 0..90_000u64) {
        let text = |d: u64| format!("SELECT doc FROM items WHERE id = '{key}' /* id=ab,c=look,d={d},k=5,cluster=2 */");
        let statement = Statement::parse(text(wait)).expect("well formed");
        prop_assert_eq!((statement.wait, statement.group), (Micros::millis(wait), 2));
        prop_assert_eq!(statement.with_wait(Micros::millis(left)), text(left.max(1)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60, rng_seed: RngSeed::Fixed(13), failure_persistence: None, ..Default::default()
    })]

    /// Guards long values: however they are cut, what flows and what is left at the end are the host's
    /// bytes, in order and each once, nothing piles up meanwhile, and an answer that ends early is none.
    #[test]
    fn a_long_answer_flows_as_it_comes(
        length in prop::sample::select(vec![1000usize, 64 * 1024, 64 * 1024 + 1, 300_000, 1 << 20]),
        cuts in prop::collection::vec(1usize..20_000, 1..20),
        lost in prop::option::of(0.0..1.0f64),
    ) {
        let mut host = welcomed();
        prop_assert!(host.send_query("q"));
        host.out.flush(&mut Vec::new()).expect("written");
        let (mut bytes, value) = (Vec::new(), vec![7; length]);
        codec::write_message(&mut bytes, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
        codec::write_message(&mut bytes, b'D', &[&[0, 1][..], &(length as u32).to_be_bytes(), &value].concat());
        codec::write_message(&mut bytes, b'C', b"SELECT 1\0");
        let shown = bytes.len();
        codec::write_parameter_status(&mut bytes, "part", "replica");
        codec::write_ready_for_query(&mut bytes);
        let until = lost.map_or(bytes.len(), |part| (part * shown as f64) as usize);
        let (mut rest, mut seen, mut flowed, mut ended) = (&bytes[..until], Vec::new(), false, None);
        for cut in cuts.iter().cycle() {
            let (part, later) = rest.split_at((*cut).min(rest.len()));
            host.receive(part);
            while let Some(turn) = host.next_event() {
                match turn {
                    HostEvent::StreamingStarted => flowed = true,
                    HostEvent::Response(answer) => ended = Some(answer),
                    other => prop_assert!(false, "{other:?}"),
                }
            }
            let flow = host.take_streamed();
            prop_assert!(flow.len() <= cut + 40 && flow.is_empty() | flowed, "{} held", flow.len());
            seen.extend(flow);
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        match (lost, ended.or_else(|| host.handle_end())) {
            (None, Some(answer)) => {
                prop_assert_eq!((flowed, answer.status), (length > 64 * 1024, ResponseStatus::Served));
                seen.extend(answer.rows);
                prop_assert!(seen == bytes[..shown]);
            }
            (Some(_), None) => prop_assert!(bytes.starts_with(&seen) && seen.len() <= until),
            (lost, ended) => prop_assert!(false, "{lost:?} {:?}", ended.is_some()),
        }
    }
}

/// Messages of a connection, the startup packets first, and where each ends.
fn spoken(encrypted: bool, commands: &[(u8, usize)]) -> (Vec<u8>, Vec<usize>) {
    let (mut bytes, mut ends) = (Vec::new(), Vec::new());
    if encrypted {
        bytes.extend([0, 0, 0, 8, 4, 210, 22, 47]);
        ends.push(bytes.len());
    }
    codec::write_startup_packet(&mut bytes, "app", "shop");
    ends.push(bytes.len());
    for (tag, length) in commands {
        codec::write_message(&mut bytes, *tag, &vec![b'x'; *length]);
        ends.push(bytes.len());
    }
    (bytes, ends)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Default::default()
    })]

    /// Guards the arrival of each message, against a model that stamps each byte, and the bound on what is kept for
    /// it: whatever the pieces and whenever messages are taken out, no more entries than whole messages are held,
    /// nor than times at which any came.
    #[test]
    fn a_message_arrives_with_its_last_byte_and_what_is_kept_is_bounded(
        encrypted in any::<bool>(),
        commands in prop::collection::vec((prop::sample::select(b"QSPX?".to_vec()), 0..40usize), 0..30),
        pieces in prop::collection::vec((1..50usize, 0..3u64, 0..4usize), 1..20),
        single in any::<bool>(),
    ) {
        let (bytes, ends) = spoken(encrypted, &commands);
        let (mut inbox, mut stamps, mut now) = (TimedReceiveBuffer::default(), Vec::new(), Micros(50));
        let (mut taken, mut pieces) = (0, pieces.iter().cycle());
        let startups = 1 + usize::from(encrypted);
        while stamps.len() < bytes.len() || taken < ends.len() {
            let (length, pause, takes) = *pieces.next().expect("without end");
            now = now + Micros(pause);
            let length = if single { 1 } else { length.min(bytes.len() - stamps.len()) };
            if stamps.len() < bytes.len() {
                inbox.push(&bytes[stamps.len()..stamps.len() + length], now);
                stamps.resize(stamps.len() + length, now);
            }
            // All in the end, as many as the case says before.
            let takes = if stamps.len() < bytes.len() { takes } else { ends.len() };
            for _ in 0..takes {
                let arrived = inbox.arrivals().front().map(|first| first.0);
                if taken < startups {
                    match inbox.next_startup_packet().expect("a startup") {
                        Some(_) => prop_assert_eq!(arrived, Some(stamps[ends[taken] - 1])),
                        None => break,
                    }
                } else {
                    match inbox.next_message(1000).expect("framed") {
                        Some((_, arrived)) => prop_assert_eq!(arrived, stamps[ends[taken] - 1]),
                        None => break,
                    }
                }
                taken += 1;
            }
            let whole = ends.iter().skip(taken).filter(|end| **end <= stamps.len()).count();
            let kept = inbox.arrivals();
            prop_assert_eq!(kept.iter().map(|arrival| arrival.1).sum::<usize>(), whole);
            prop_assert!(kept.iter().all(|arrival| arrival.1 > 0), "an entry for nothing");
            prop_assert!(kept.iter().zip(kept.iter().skip(1)).all(|(one, next)| one.0 < next.0));
            prop_assert!(kept.len() <= whole && 5 * kept.len() <= inbox.len());
        }
        prop_assert!(inbox.is_empty() && inbox.arrivals().is_empty());
    }

    /// Guards the same through a client's states and through processes: each query bears the arrival of its last
    /// byte, however long the one before it is owed its answer and however often the client goes over with what it
    /// has unread.
    #[test]
    fn a_query_bears_its_arrival_through_waits_and_hand_overs(
        encrypted in any::<bool>(),
        lengths in prop::collection::vec(1..30usize, 1..20),
        pieces in prop::collection::vec((1..60usize, 0..3u64, any::<bool>(), any::<bool>()), 1..20),
    ) {
        let commands: Vec<(u8, usize)> = lengths.iter().map(|length| (b'Q', *length)).collect();
        let (mut bytes, ends) = spoken(encrypted, &commands);
        let queries = &ends[ends.len() - commands.len()..];
        for end in queries {
            bytes[end - 1] = 0;
        }
        let (mut client, mut stamps, mut now) = (ClientProtocol::default(), Vec::new(), Micros(50));
        let (mut asked, mut pieces) = (0, pieces.iter().cycle());
        while asked < queries.len() || client.is_busy() {
            let (length, pause, answers, goes_over) = *pieces.next().expect("without end");
            now = now + Micros(pause);
            let length = length.min(bytes.len() - stamps.len());
            client.receive(&bytes[stamps.len()..stamps.len() + length], now);
            stamps.resize(stamps.len() + length, now);
            if client.is_busy() && (answers || length == 0) {
                client.reject(None);
            }
            client.out.flush(&mut Vec::new()).expect("written");
            if goes_over {
                if let Some(left) = client.to_handover() {
                    client = ClientProtocol::resume(codec::MAX_MESSAGE, left, now);
                }
            }
            while let Some(demand) = client.next_request() {
                let ClientRequest::Query(text, arrived) = demand else { panic!("closed") };
                // Its body alone: a query of one byte is empty and is answered on the spot.
                while lengths[asked] == 1 {
                    asked += 1;
                }
                prop_assert_eq!(text.len() + 1, lengths[asked]);
                prop_assert_eq!(arrived, stamps[queries[asked] - 1]);
                asked += 1;
                if answers {
                    client.reject(None);
                }
            }
            while asked < lengths.len() && lengths[asked] == 1 && stamps.len() >= queries[asked] {
                asked += 1;
            }
        }
    }
}

/// Guards a client of another process: what that one told no arrival of counts as having arrived now, and nothing as
/// having arrived later, whatever its clock showed.
#[test]
fn what_was_told_no_arrival_of_counts_as_having_arrived_now() {
    let mut bytes = Vec::new();
    for text in ["one", "two", "three"] {
        codec::write_query(&mut bytes, text);
    }
    let now = Micros(1000);
    for (told, arrived) in [
        (vec![], [1000, 1000, 1000]),
        (vec![Arrival(Micros(400), 1), Arrival(Micros(600), 1)], [400, 600, 1000]),
        (vec![Arrival(Micros(400), 2), Arrival(Micros(2000), 1)], [400, 400, 1000]),
        (vec![Arrival(Micros(400), 0), Arrival(Micros(600), 9)], [600, 600, 600]),
    ] {
        let left = ProtocolHandover {
            key: Default::default(),
            greeted: true,
            bytes: bytes.clone(),
            arrivals: told.clone(),
        };
        let mut client = ClientProtocol::resume(codec::MAX_MESSAGE, left, now);
        for (text, arrived) in ["one", "two", "three"].into_iter().zip(arrived) {
            assert_eq!(
                client.next_request(),
                Some(ClientRequest::Query(text.into(), Micros(arrived))),
                "{told:?}"
            );
            client.reject(None);
        }
    }
}

/// Guards memory against a client that sends a byte at a time behind a query that is out: nothing is kept for the
/// pieces of a message, and one entry for each that is whole.
#[test]
fn pieces_of_a_byte_each_leave_nothing_but_whole_messages() {
    let mut inbox = TimedReceiveBuffer::resume(true, &[], &[], Micros(0));
    let mut bytes = Vec::new();
    codec::write_query(&mut bytes, &"x".repeat(100_000));
    for round in 1..=2 {
        for (at, byte) in bytes.iter().enumerate() {
            assert_eq!(inbox.arrivals().len(), round - 1, "{at}");
            inbox.push(&[*byte], Micros((round * bytes.len() + at) as u64));
        }
        assert_eq!(inbox.arrivals().len(), round);
    }
}

/// Guards against rows that only claim to be long: what does not fit, or is longer than any, does not flow.
#[test]
fn a_long_row_that_does_not_fit_is_nonsense() {
    for (row, value) in [(100_010u32, 100_001u32), (0x7fff_ffff, 0x7fff_fff9), (u32::MAX, u32::MAX - 6)] {
        let mut host = welcomed();
        assert!(host.send_query("q"));
        let mut bytes = Vec::new();
        codec::write_message(&mut bytes, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
        bytes.push(b'D');
        bytes.extend([&row.to_be_bytes()[..], &[0, 1], &value.to_be_bytes(), &[7; 100]].concat());
        host.receive(&bytes);
        assert_eq!(host.next_event(), Some(HostEvent::ProtocolViolation), "{row}");
        assert!(host.take_streamed().is_empty());
    }
}

fn welcomed() -> HostProtocol {
    let (mut host, mut bytes) = (HostProtocol::default(), Vec::new());
    codec::write_message(&mut bytes, b'R', &[0; 4]);
    codec::write_parameter_status(&mut bytes, "server_version", "15");
    codec::write_ready_for_query(&mut bytes);
    host.receive(&bytes);
    assert!(!host.send_query("before the startup is written"));
    assert_eq!(host.next_event(), Some(HostEvent::Ready));
    host.out.flush(&mut Vec::new()).expect("written");
    host
}

/// Guards against waiting for bytes that a length only claims, and against reading it as negative.
#[test]
fn lengths_that_cannot_be_close_the_connection() {
    for length in [u32::MAX, 0, 3, codec::MAX_MESSAGE as u32 + 1] {
        let (mut client, mut bytes) = (ClientProtocol::default(), Vec::new());
        codec::write_startup_packet(&mut bytes, "app", "shop");
        bytes.push(b'Q');
        bytes.extend_from_slice(&length.to_be_bytes());
        client.receive(&bytes, Micros(0));
        assert_eq!(client.next_request(), Some(ClientRequest::Close));
        assert!(tags(&client.out.bytes).ends_with('E'));
        client.receive(&[0; 64], Micros(0));
        assert!(client.next_request().is_none() && !client.wants_read());
    }
}

/// Guards the advice on when to come back: whole milliseconds in field D, never rounded to nothing.
#[test]
fn a_refusal_tells_when_to_come_back() {
    let mut client = ClientProtocol::default();
    client.reject(Some(Micros(1_500)));
    let mut inbox = ReceiveBuffer::default();
    inbox.push(&client.out.bytes);
    let refusal = inbox.next_message().expect("framed").expect("whole");
    assert_eq!(codec::error_field(&refusal.body, b'C'), Some("53300"));
    assert_eq!(codec::error_field(&refusal.body, b'D'), Some("2"));
}

/// Guards the greeting: a host that has no room says so before any request is out.
#[test]
fn a_host_may_turn_the_connection_away() {
    let (mut host, mut bytes) = (HostProtocol::default(), Vec::new());
    codec::write_error_response(&mut bytes, "FATAL", "53300", "too many connections", None);
    host.receive(&bytes);
    assert_eq!(host.next_event(), Some(HostEvent::StartupRejected("53300".into())));
    assert!(!host.send_query("q") && host.handle_end().is_none());
}

/// Guards against taking an answer that nobody asked for as that of the next request.
#[test]
fn an_answer_without_a_question_is_nonsense() {
    let (mut host, mut bytes) = (welcomed(), Vec::new());
    codec::write_message(&mut bytes, b'C', b"SELECT 1\0");
    host.receive(&bytes);
    assert_eq!(host.next_event(), Some(HostEvent::ProtocolViolation));
    assert!(!host.is_idle());
}

/// Guards against a second run: nonsense in place of an answer does not prove that nothing ran.
#[test]
fn nonsense_for_an_answer_may_have_run() {
    let (mut host, mut bytes) = (welcomed(), Vec::new());
    assert!(host.send_query("q"));
    host.out.flush(&mut Vec::new()).expect("written");
    codec::write_message(&mut bytes, b'?', &[]);
    host.receive(&bytes);
    assert_eq!(host.next_event(), Some(HostEvent::ProtocolViolation));
    assert_eq!(host.attempt_progress(), AttemptProgress::FullyWritten);
}

/// Guards against statements that cannot be routed: each is told what is wrong with it.
#[test]
fn malformed_statements_are_told_apart() {
    let parse = |comment: &str| Statement::parse(format!("SELECT doc FROM items WHERE id = 'k' {comment}"));
    assert_eq!(parse("").unwrap_err(), StatementError::NoComment);
    assert_eq!(parse("*/ /*").unwrap_err(), StatementError::NoComment);
    assert_eq!(parse("/* c=a,d=5,cluster=1 */").unwrap_err(), StatementError::MissingField("id"));
    assert_eq!(parse("/* id=1,d=5,cluster=1 */").unwrap_err(), StatementError::MissingField("c"));
    assert_eq!(parse("/* id=1,c=a,cluster=1 */").unwrap_err(), StatementError::MissingField("d"));
    assert_eq!(parse("/* id=1,c=a,d=5 */").unwrap_err(), StatementError::MissingField("cluster"));
    assert_eq!(parse("/* id=1,c=a,d=-5,cluster=1 */").unwrap_err(), StatementError::InvalidField("d"));
    assert_eq!(parse("/* id=1,c=a,d=NaN,cluster=1 */").unwrap_err(), StatementError::InvalidField("d"));
    assert_eq!(parse("/* id=1,c=a,d=5,cluster=x */").unwrap_err(), StatementError::InvalidField("cluster"));
    let no_key = Statement::parse("SELECT 1 /* id=1,c=a,d=5,cluster=1 */".into());
    assert_eq!(no_key.unwrap_err(), StatementError::NoKey);
    for bad in ["id=1,id=2", "id=a'b", "id=1,k=", "id=1,d=5,d=6", "id=1,d=inf", "id=1,d=700000", "id=1,d=x"] {
        let text = format!("/* {bad},c=a,cluster=1 */");
        assert!(matches!(parse(&text), Err(StatementError::InvalidField(_))), "{bad}");
    }
    assert_eq!(parse("/* id=1,c=a,d=5,cluster=1 */ AND more").unwrap_err(), StatementError::NoComment);
    for text in
        ["GRANT 'k' /* id=1,c=a,d=5,cluster=1 */", "SELECT '\u{1}' /* id=1,c=a,d=5,cluster=1 */", "\u{e9}"]
    {
        assert_eq!(Statement::parse(text.into()).unwrap_err(), StatementError::NoStatement);
    }
    assert!(parse("/* id=1, c=a , d= 5 ,cluster=1 */;").is_ok());
    assert_eq!(StatementError::MissingField("c").to_string(), "the comment lacks c");
}

/// Guards the reading of load reports: their positions are in seconds, where answers have milliseconds,
/// and taken for those they would lie before all time. They say nothing of a field that they lack.
#[test]
fn load_reports_tell_role_and_position() {
    use dunemount::pg::load_report::parse as report;
    assert_eq!(report(b"x0=1767225600.125,x1=1"), (Some(Role::Primary), Some(1_767_225_600_125.0)));
    assert_eq!(report(b"x1=0"), (Some(Role::Replica), None));
    assert_eq!(report(&[0xff]), (None, None));
}

/// Guards the rows of one request from reaching another: each answer starts blank.
#[test]
fn answers_do_not_run_into_each_other() {
    let mut host = welcomed();
    for round in 0..2u8 {
        assert!(host.send_query("q"));
        host.out.flush(&mut Vec::new()).expect("written");
        host.receive(&answer(&[
            (b'T', DOC),
            (b'D', &[0, 1, 0, 0, 0, 1, round]),
            (b'C', b"SELECT 1\0"),
            READY,
        ]));
        let Some(HostEvent::Response(HostResponse { rows, value, position, .. })) = host.next_event() else {
            panic!("none")
        };
        assert_eq!((tags(&rows).as_str(), value, position), ("TDC", Some(vec![round]), None));
    }
}

type Part<'a> = (u8, &'a [u8]);
const READY: Part = (b'Z', b"I");

fn answer(parts: &[Part]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (tag, body) in parts {
        codec::write_message(&mut bytes, *tag, body);
    }
    bytes
}

/// Guards clients against spoilt answers: parts that are missing, doubled or out of order, rows and
/// lengths that do not fit, errors without a code. All is nonsense at its first wrong message, and
/// nothing of it is an answer, also when the connection ends right behind it.
#[test]
fn a_spoilt_answer_is_no_answer() {
    let (t, d, c): (Part, Part, Part) = ((b'T', DOC), (b'D', &[0, 1, 0, 0, 0, 1, 9]), (b'C', b"SELECT 1\0"));
    let spoilt: &[&[Part]] = &[
        &[d, c, READY],
        &[t, c, READY],
        &[t, t, d, c, READY],
        &[t, d, d, c, READY],
        &[t, (b'D', &[0, 2, 0, 0, 0, 1, 9]), c],
        &[t, (b'D', &[0, 1, 0, 0, 0, 2, 9]), c],
        &[t, (b'D', &[0, 1, 0xc0, 0, 0, 0, 9]), c],
        &[(b'T', b"\0\x02doc\0"), d, c],
        &[t, d, (b'C', b"SELECT 1"), READY],
        &[t, d, (b'C', &[0xff, 0]), READY],
        &[t, d, c, (b'Z', b"?")],
        &[t, d, c, (b'E', b"SERROR\0CXX000\0\0")],
        &[(b'E', b"SERROR\0Mno code\0\0"), READY],
        &[(b'E', b"CXX000"), READY],
        &[t, (b'!', b"")],
    ];
    for parts in spoilt {
        let mut host = welcomed();
        assert!(host.send_query("q"));
        host.out.flush(&mut Vec::new()).expect("written");
        host.receive(&answer(parts));
        assert_eq!(host.next_event(), Some(HostEvent::ProtocolViolation), "{parts:?}");
        assert_eq!(
            (host.attempt_progress(), host.handle_end()),
            (AttemptProgress::FullyWritten, None),
            "{parts:?}"
        );
    }
    // A value that claims 3 GB, and noise, are told at once: nothing more is waited for.
    for bytes in [b"T\0\0\0\x1d".to_vec(), b"D\xc0\0\0\0".to_vec(), b"C\0\0\x7f\xff".to_vec(), vec![7]] {
        let mut host = welcomed();
        assert!(host.send_query("q"));
        host.receive(&bytes);
        let whole_is_awaited = bytes[0] == b'T';
        assert_eq!(host.next_event().is_none(), whole_is_awaited, "{bytes:?}");
        assert_eq!(host.has_partial_response(), whole_is_awaited);
    }
}

/// Guards what is believed of a host: where its word on itself is spoilt none of it counts, or a
/// replica that lags would look current, while the value beside it is good.
#[test]
fn a_spoilt_report_says_nothing() {
    use dunemount::pg::load_report::parse as report;
    for text in
        ["x0=inf,x1=0", "x0=NaN,x1=0", "x0=-5,x1=0", "x0=1e99,x1=0", "x0=5,x1=7", "x0=5,x1", "x0=5;x1=0"]
    {
        assert_eq!(report(text.as_bytes()), (None, None), "{text}");
    }
    for note in [&b"caught_up_to\0inf\0"[..], b"caught_up_to\x0099", b"part\0mast\0", b"\xff\0\0"] {
        let mut host = welcomed();
        assert!(host.send_query("q"));
        host.receive(&answer(&[
            (b'T', DOC),
            (b'D', &[0, 1, 0, 0, 0, 0]),
            (b'C', b"SELECT 1\0"),
            (b'S', b"part\0replica\0"),
            (b'S', b"caught_up_to\x001767225600123\0"),
            (b'S', note),
            READY,
        ]));
        let Some(HostEvent::Response(answer)) = host.next_event() else {
            panic!("no answer beside {note:?}")
        };
        assert_eq!(
            (answer.status, answer.role, answer.position),
            (ResponseStatus::Served, None, None),
            "{note:?}"
        );
    }
}
