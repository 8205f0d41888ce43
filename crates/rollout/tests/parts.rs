//! A control machine's part and a gateway's part by themselves: what each does with words that a whole fleet seldom says.

use std::sync::Arc;
use std::time::Duration;

use dunemount_rollout::control::{self, Control, Desk, Keeping, Told};
use dunemount_rollout::follower::{self, Follower, Link, Machine, Pace};
use dunemount_rollout::version::{Digest, Document, Ledger, Version};
use dunemount_rollout::wire::*;

const MILLI: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn version(number: u64, document: &str) -> Version {
    Version { number, digest: Digest::of(document.as_bytes()) }
}

fn document(number: u64, bytes: &str) -> Document {
    Document::of(version(number, bytes), bytes.as_bytes().into()).expect("fits")
}

fn newest(number: u64, bytes: &str) -> Message {
    Message::Newest(version(number, bytes), bytes.as_bytes().into())
}

fn put(bytes: &str) -> Message {
    Message::Put(bytes.as_bytes().into())
}

fn machines(count: usize) -> Vec<Machine> {
    (0..count).map(|index| Machine { name: format!("ctl-{index}"), zone: format!("zone-{index}") }).collect()
}

fn messages(bytes: &[u8]) -> Vec<Message> {
    let mut inbox = Inbox::default();
    inbox.push(bytes);
    std::iter::from_fn(|| inbox.next().expect("sense")).collect()
}

/// A ledger of documents, each proposed under its number times ten.
fn ledger(documents: &[&str]) -> Ledger {
    let step = |ledger: Ledger, document: &&str| {
        let number = ledger.newest().map_or(0, |version| version.number) + 1;
        ledger.with(Digest::of(document.as_bytes()), number * 10)
    };
    documents.iter().fold(Ledger::default(), step)
}

// ---- a control machine

#[derive(Default)]
struct Shelf {
    kept: Keeping,
    broken: bool,
    checked: Vec<Option<u64>>,
}

impl Desk for Shelf {
    fn check(&mut self, document: &[u8], before: Option<&Document>) -> Result<(), String> {
        self.checked.push(before.map(|before| before.version().number));
        if document.starts_with(b"bad") {
            Err("line 3: bad".to_string())
        } else {
            Ok(())
        }
    }

    fn store(&mut self, kept: &Keeping) -> bool {
        if !self.broken {
            self.kept = kept.clone();
        }
        !self.broken
    }
}

/// A control machine, what it wants, and its shelf.
struct Harness {
    now: Duration,
    control: Control,
    shelf: Shelf,
    said: Vec<(Link, Message)>,
    closed: Vec<Link>,
    register: Vec<control::Out>,
    notes: Vec<String>,
    connects: Vec<(Link, usize)>,
}

impl Harness {
    fn new(count: usize, kept: Keeping) -> Harness {
        let settings = control::Settings {
            fleet: "test".to_string(),
            name: "ctl-0".to_string(),
            machines: machines(count),
            pace: Pace::default(),
            look: SECOND,
            fresh: SECOND * 3,
            accept: SECOND * 5,
            seed: 1,
        };
        let control = Control::new(settings, kept, Duration::ZERO);
        let mut harness = Harness {
            now: Duration::ZERO,
            control,
            shelf: Shelf::default(),
            said: Vec::new(),
            closed: Vec::new(),
            register: Vec::new(),
            notes: Vec::new(),
            connects: Vec::new(),
        };
        harness.tick();
        harness
    }

    fn tick(&mut self) {
        self.control.tick(self.now);
        self.carry();
    }

    fn carry(&mut self) {
        while let Some(out) = self.control.next() {
            match out {
                control::Out::Connect(link, machine) => self.connects.push((link, machine)),
                control::Out::Send(link, bytes) => {
                    self.said.extend(messages(&bytes).into_iter().map(|message| (link, message)));
                }
                control::Out::Close(link) => self.closed.push(link),
                control::Out::Note(note) => self.notes.push(note),
                ask => self.register.push(ask),
            }
        }
    }

    /// Lets time go on, with all ticks.
    fn wait(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        while self.control.due() <= until {
            self.now = self.now.max(self.control.due());
            self.tick();
        }
        self.now = until;
    }

    fn hear(&mut self, link: Link, message: &Message) {
        self.control.received(self.now, link, &frame(message), &mut self.shelf);
        self.carry();
    }

    fn told(&mut self, told: Told) {
        self.control.told(self.now, told, &mut self.shelf);
        self.carry();
    }

    /// A look tells at once.
    fn holds(&mut self, ledger: &Ledger) {
        let value = ledger.newest().map(|_| ledger.write());
        self.told(Told::Holds(value, self.now));
    }

    fn join(&mut self, who: Who) -> Link {
        let link = self.control.accepted(self.now).expect("let in");
        self.hear(link, &Message::Hello(Hello { form: FORM, fleet: "test".to_string(), who }));
        link
    }

    fn gateway(&mut self, name: &str) -> Link {
        self.join(Who::Gateway { name: name.to_string(), zone: "zone-0".to_string() })
    }

    /// What was said over a connection since it was last asked, without that it is there.
    fn heard(&mut self, link: Link) -> Vec<Message> {
        let said = std::mem::take(&mut self.said);
        let (here, rest): (Vec<_>, Vec<_>) = said.into_iter().partition(|(to, _)| *to == link);
        self.said = rest;
        let alive = |message: &Message| matches!(message, Message::Alive { .. });
        here.into_iter().map(|(_, message)| message).filter(|message| !alive(message)).collect()
    }

    /// What is asked of the register since it was last asked.
    fn asked(&mut self) -> Vec<control::Out> {
        std::mem::take(&mut self.register)
    }

    /// The connections to the other machines come up.
    fn connect(&mut self) {
        for (link, _) in std::mem::take(&mut self.connects) {
            self.control.opened(self.now, link);
        }
        self.carry();
    }
}

fn kept(number: u64, bytes: &str) -> Keeping {
    Keeping { versions: vec![document(number, bytes)], waiting: Vec::new() }
}

/// Guards who is talked to: of this form and fleet, by a name that fits, within its time, and with its own words alone.
#[test]
fn a_control_machine_talks_only_to_whom_it_knows() {
    let mut harness = Harness::new(3, Keeping::default());
    let hello = |form, fleet: &str, who| Message::Hello(Hello { form, fleet: fleet.to_string(), who });
    let control = |name: &str| Who::Control { name: name.to_string() };
    for first in [
        hello(FORM + 1, "test", Who::Tool),
        hello(FORM, "another", Who::Tool),
        hello(FORM, "test", control("ctl-9")),
        hello(FORM, "test", control("ctl-0")),
        Message::Ask,
    ] {
        let link = harness.control.accepted(harness.now).expect("let in");
        harness.hear(link, &first);
        assert_eq!(harness.closed.pop(), Some(link), "{first:?}");
    }
    assert_eq!(harness.notes.len(), 2, "form and fleet are said");
    let gateway = harness.gateway("gw-1");
    harness.hear(gateway, &put("good"));
    assert_eq!(harness.closed.pop(), Some(gateway), "a gateway puts nothing");
    let gateway = harness.gateway("gw-1");
    harness.control.received(harness.now, gateway, &2_000u32.to_be_bytes(), &mut harness.shelf);
    harness.carry();
    assert_eq!(harness.closed.pop(), Some(gateway), "nor does it say much");
    let first = harness.join(control("ctl-1"));
    let second = harness.join(control("ctl-1"));
    assert_eq!(harness.closed.pop(), Some(first), "a new connection says that the one before is lost");
    let silent = harness.control.accepted(harness.now).expect("let in");
    harness.connects.clear();
    harness.wait(SECOND * 3);
    assert!(harness.closed.contains(&silent) && harness.closed.contains(&second));
}

/// Guards what connections may cost: so many and no more, and of the operators' tool fewer.
#[test]
fn connections_and_gateways_are_bounded() {
    let mut harness = Harness::new(1, Keeping::default());
    let tools: Vec<Link> = (0..9).map(|_| harness.join(Who::Tool)).collect();
    assert_eq!(harness.closed, [tools[8]]);
    let mut links = Vec::new();
    for index in 0..MOST_GATEWAYS + 10 {
        harness.now += MILLI;
        links.push(harness.gateway(&format!("gw-{index}")));
    }
    let status = harness.control.status(harness.now);
    assert_eq!(status.gateways.len(), MOST_GATEWAYS);
    assert!(status.gateways.iter().all(|seen| seen.name != "gw-0"), "the one silent for longest goes");
    while harness.control.accepted(harness.now).is_some() {
        links.push(0);
    }
    assert!(links.len() + 8 <= MOST_GATEWAYS + 64, "{}", links.len());
    harness.control.closed(harness.now, links[5]);
    assert!(harness.control.accepted(harness.now).is_some(), "room again");
    harness.control.members(vec!["x".repeat(100); 2_000]);
    let status = harness.control.status(harness.now);
    assert!(status.members.len() == MOST_GATEWAYS && status.members[0].len() == LONGEST_NAME);
}

/// Guards when a version is given out: once a look has told that it is the newest, for as long as that counts, once for each
/// connection, and not what was refused; one that is only older is told of nothing else.
#[test]
fn the_newest_is_given_out_only_while_it_is_known_to_be() {
    let mut harness = Harness::new(1, kept(1, "one"));
    let gateway = harness.gateway("gw-1");
    let has = |version, refused| Message::InForce { version, refused };
    harness.hear(gateway, &has(None, None));
    assert_eq!(harness.heard(gateway), [], "not before the register has told");
    assert_eq!(harness.asked(), [control::Out::Look], "which is asked first");
    harness.holds(&ledger(&["one"]));
    assert_eq!(harness.heard(gateway), [newest(1, "one")]);
    harness.hear(gateway, &has(None, None));
    assert_eq!(harness.heard(gateway), [], "once");
    harness.wait(SECOND);
    harness.holds(&ledger(&["one"]));
    harness.wait(SECOND * 2 + MILLI);
    harness.hear(gateway, &has(None, None));
    assert_eq!(harness.heard(gateway), [newest(1, "one")], "again after a while");
    let refused = Refusal { version: version(1, "one"), why: "port in use".to_string() };
    let other = harness.gateway("gw-2");
    harness.hear(other, &has(None, Some(refused.clone())));
    let ahead = harness.gateway("gw-3");
    harness.hear(ahead, &has(Some(version(2, "two")), None));
    assert_eq!(
        (harness.heard(other), harness.heard(ahead)),
        (vec![], vec![]),
        "neither what it refused nor what is older"
    );
    let status = harness.control.status(harness.now);
    let seen: Vec<_> = status.gateways.iter().map(|seen| (seen.in_force, seen.refused.clone())).collect();
    assert_eq!(seen, [(None, None), (None, Some(refused)), (Some(version(2, "two")), None)]);
    // It sleeps, and wakes up late.
    harness.now += SECOND * 60;
    let late = harness.gateway("gw-4");
    harness.hear(late, &has(None, None));
    assert_eq!(harness.heard(late), []);
    assert!(!harness.control.status(harness.now).fresh);
    harness.holds(&ledger(&["one"]));
    assert_eq!(harness.heard(late), [newest(1, "one")]);
}

/// Guards what is not on its disk: it is not given out, and is stored once that can be done.
#[test]
fn what_is_not_stored_is_not_given_out() {
    let mut harness = Harness::new(2, Keeping::default());
    harness.connect();
    let peer = harness.join(Who::Control { name: "ctl-1".to_string() });
    harness.hear(peer, &Message::Keep(b"one"[..].into()));
    assert_eq!(harness.heard(peer), [Message::Kept(Digest::of(b"one"))]);
    harness.shelf.broken = true;
    harness.hear(peer, &Message::Keep(b"two"[..].into()));
    assert_eq!(harness.heard(peer), [], "not kept, not said to be");
    harness.hear(peer, &Message::Chosen(version(1, "one")));
    harness.holds(&ledger(&["one"]));
    let gateway = harness.gateway("gw-1");
    harness.hear(gateway, &Message::InForce { version: None, refused: None });
    assert_eq!(harness.heard(gateway), []);
    assert!(!harness.control.status(harness.now).has_document);
    harness.shelf.broken = false;
    harness.wait(SECOND);
    harness.holds(&ledger(&["one"]));
    assert_eq!(harness.heard(gateway), [newest(1, "one")]);
    assert_eq!(harness.shelf.kept, kept(1, "one"));
}

/// Guards a register's value that makes no sense here: nothing is accepted or given out, that is said, and it ends once the
/// value does.
#[test]
fn a_register_that_makes_no_sense_stops_all() {
    let later = [&[9][..], &ledger(&["one"]).write()[1..]].concat();
    let two = ledger(&["one", "two"]);
    let other = ledger(&["one", "another"]);
    for (value, word) in
        [(Some(later), "later form"), (None, "gone back"), (Some(other.write()), "another digest")]
    {
        let mut harness = Harness::new(
            1,
            Keeping { versions: vec![document(1, "one"), document(2, "two")], waiting: vec![] },
        );
        harness.wait(MILLI);
        let tool = harness.join(Who::Tool);
        harness.told(Told::Holds(value.clone(), harness.now));
        harness.told(Told::Holds(value, harness.now));
        assert_eq!(harness.notes.len(), 1, "once: {:?}", harness.notes);
        assert!(harness.notes[0].contains(word), "{:?}", harness.notes);
        let gateway = harness.gateway("gw-1");
        harness.hear(gateway, &Message::InForce { version: None, refused: None });
        assert_eq!(harness.heard(gateway), []);
        harness.hear(tool, &put("three"));
        let said = harness.heard(tool);
        assert!(
            matches!(&said[..], [Message::NotAccepted { why, uncertain: false }] if why.contains(word)),
            "{said:?}"
        );
        assert!(!harness.control.status(harness.now).fresh);
        harness.holds(&two);
        assert_eq!(harness.heard(gateway), [newest(2, "two")]);
    }
}

/// A machine alone that has looked, and has begun to number "two" after "one".
fn numbering() -> (Harness, Link) {
    let mut harness = Harness::new(1, kept(1, "one"));
    harness.holds(&ledger(&["one"]));
    let tool = harness.join(Who::Tool);
    harness.asked();
    harness.hear(tool, &put("two"));
    assert_eq!(harness.asked(), [control::Out::Change]);
    (harness, tool)
}

/// Proposes "two", whose fate stays open; the value that was proposed.
fn proposed(harness: &mut Harness, value: &Ledger) -> Vec<u8> {
    harness.told(Told::Promised(Some(value.write())));
    let asked = harness.asked();
    let [control::Out::Propose(value)] = &asked[..] else { panic!("{asked:?}") };
    harness.told(Told::Failed { proposed: true, no_majority: true });
    harness.wait(SECOND);
    harness.holds(&Ledger::read(Some(&ledger(&["one"]).write())).expect("one"));
    assert!(harness.asked().contains(&control::Out::Change), "again");
    value.clone()
}

/// Guards an answer that rests on what was not chosen: a promise that names the proposal tells what one voter may have
/// accepted alone, so that it is proposed as it is, and the operator hears of it once it is chosen.
#[test]
fn a_proposal_that_is_found_is_chosen_before_it_is_answered_for() {
    let (mut harness, tool) = numbering();
    let value = proposed(&mut harness, &ledger(&["one"]));
    harness.told(Told::Promised(Some(value.clone())));
    assert_eq!(harness.heard(tool), []);
    assert_eq!(harness.asked(), [control::Out::Propose(value.clone())], "no second number");
    harness.told(Told::Chosen(value));
    assert_eq!(harness.heard(tool), [Message::Accepted(version(2, "two"))]);
    assert_eq!(harness.shelf.kept.versions, [document(1, "one"), document(2, "two")]);
}

/// Guards a proposal whose fate is open while others come between: it is not numbered a second time over them.
#[test]
fn a_proposal_that_nothing_tells_of_any_more_is_not_made_again() {
    let (mut harness, tool) = numbering();
    proposed(&mut harness, &ledger(&["one"]));
    let names: Vec<String> = (1..=10).map(|number| format!("other {number}")).collect();
    let others = ledger(&names.iter().map(String::as_str).collect::<Vec<_>>());
    harness.told(Told::Promised(Some(others.write())));
    let said = harness.heard(tool);
    assert!(
        matches!(&said[..], [Message::NotAccepted { why, uncertain: true }] if why.contains("others")),
        "{said:?}"
    );
    assert_eq!(harness.asked(), [control::Out::Withdraw]);
}

/// Guards a version that comes between the check and the number: the document is checked again, against that one.
#[test]
fn a_document_is_checked_against_what_it_follows() {
    let (mut harness, tool) = numbering();
    harness.told(Told::Promised(Some(ledger(&["one", "between"]).write())));
    assert_eq!(harness.asked(), [control::Out::Withdraw]);
    harness.shelf.kept = Keeping::default();
    harness.wait(MILLI);
    assert_eq!(harness.asked(), [control::Out::Look], "what was promised need not be chosen");
    harness.holds(&ledger(&["one", "between"]));
    assert_eq!(harness.shelf.checked, [Some(1), Some(1)], "alone, it cannot have the one between");
    assert_eq!(harness.asked(), [control::Out::Change]);
    harness.told(Told::Promised(Some(ledger(&["one", "between"]).write())));
    let asked = harness.asked();
    let [control::Out::Propose(value)] = &asked[..] else { panic!("{asked:?}") };
    let next = Ledger::read(Some(value)).expect("a ledger");
    assert_eq!(next.newest(), Some(version(3, "two")));
    harness.told(Told::Chosen(value.clone()));
    assert_eq!(harness.heard(tool), [Message::Accepted(version(3, "two"))]);
}

/// Guards the same document again: the number that it has, and none new.
#[test]
fn the_same_document_keeps_its_number() {
    let mut harness = Harness::new(1, kept(1, "one"));
    harness.holds(&ledger(&["one"]));
    let tool = harness.join(Who::Tool);
    harness.hear(tool, &put("one"));
    let value = ledger(&["one"]).write();
    harness.told(Told::Promised(Some(value.clone())));
    assert_eq!(harness.asked().last(), Some(&control::Out::Propose(value.clone())), "as it is");
    harness.told(Told::Chosen(value));
    assert_eq!(harness.heard(tool), [Message::Accepted(version(1, "one"))]);
}

/// Guards the operators' wait: one document at a time, a few wait, one more is refused at once, and each is told when its
/// time is over.
#[test]
fn documents_wait_in_a_bounded_line() {
    let mut harness = Harness::new(2, Keeping::default());
    harness.connect();
    harness.holds(&Ledger::default());
    let tool = harness.join(Who::Tool);
    for index in 0..6 {
        harness.hear(tool, &put(&format!("document {index}")));
    }
    let said = harness.heard(tool);
    assert!(
        matches!(&said[..], [Message::NotAccepted { why, uncertain: false }] if why.contains("busy")),
        "{said:?}"
    );
    harness.wait(SECOND * 6);
    let said = harness.heard(tool);
    let [Message::NotAccepted { why, uncertain: false }, rest @ ..] = &said[..] else { panic!("{said:?}") };
    assert!(why.contains("no control machine of another zone"), "{why}");
    assert_eq!(rest.len(), 4);
}

/// Guards the two disks: the number is asked for once a machine of another zone has the document on its disk, and not before.
#[test]
fn a_number_is_asked_for_once_two_disks_have_the_document() {
    let mut harness = Harness::new(3, Keeping::default());
    let links = harness.connects.clone();
    harness.connect();
    harness.holds(&Ledger::default());
    harness.asked();
    let tool = harness.join(Who::Tool);
    harness.hear(tool, &put("one"));
    let keep = Message::Keep(b"one"[..].into());
    for (link, _) in &links {
        assert!(harness.heard(*link).contains(&keep));
    }
    assert_eq!(
        harness.shelf.kept.waiting,
        [(Digest::of(b"one"), Arc::from(&b"one"[..]))],
        "on its own first"
    );
    harness.hear(links[0].0, &Message::Kept(Digest::of(b"another")));
    assert_eq!(harness.asked(), []);
    harness.hear(links[0].0, &Message::Kept(Digest::of(b"one")));
    assert_eq!(harness.asked(), [control::Out::Change]);
}

/// Guards what operators are shown: the newest, the one before, and why another one is not.
#[test]
fn what_is_kept_is_shown() {
    let versions = vec![document(4, "four"), document(5, "five")];
    let mut harness = Harness::new(1, Keeping { versions, waiting: vec![] });
    let tool = harness.join(Who::Tool);
    for (number, bytes) in [(None, "five"), (Some(5), "five"), (Some(4), "four")] {
        harness.hear(tool, &Message::Show(number));
        let said = harness.heard(tool);
        assert!(
            matches!(&said[..], [Message::Given(_, shown)] if shown[..] == *bytes.as_bytes()),
            "{said:?}"
        );
    }
    harness.hear(tool, &Message::Show(Some(3)));
    assert!(matches!(&harness.heard(tool)[..], [Message::NotShown(_)]));
    harness.hear(tool, &Message::Ask);
    let said = harness.heard(tool);
    let [Message::Status(status)] = &said[..] else { panic!("{said:?}") };
    assert_eq!((status.name.as_str(), status.zone.as_str()), ("ctl-0", "zone-0"));
    assert_eq!(
        (status.newest, status.has_document, status.looked_ms),
        (Some(version(5, "five")), true, None)
    );
}

// ---- a gateway

struct Gate {
    now: Duration,
    follower: Follower,
    connects: Vec<(Link, usize)>,
    open: Vec<Link>,
    said: Vec<Message>,
    takes: Vec<Document>,
    most: usize,
}

impl Gate {
    fn new(zone: &str, count: usize, in_force: Option<Version>) -> Gate {
        let settings = follower::Settings {
            fleet: "test".to_string(),
            name: "gw-1".to_string(),
            zone: zone.to_string(),
            machines: machines(count),
            pace: Pace::default(),
            seed: 3,
        };
        let follower = Follower::new(settings, in_force, Duration::ZERO);
        let mut gate = Gate {
            now: Duration::ZERO,
            follower,
            connects: vec![],
            open: vec![],
            said: vec![],
            takes: vec![],
            most: 0,
        };
        gate.tick();
        gate
    }

    fn tick(&mut self) {
        self.follower.tick(self.now);
        self.carry();
    }

    fn carry(&mut self) {
        while let Some(out) = self.follower.next() {
            match out {
                follower::Out::Connect(link, machine) => {
                    self.connects.push((link, machine));
                    self.open.push(link);
                }
                follower::Out::Send(_, bytes) => self.said.extend(messages(&bytes)),
                follower::Out::Close(link) => self.open.retain(|open| *open != link),
                follower::Out::Take(document) => self.takes.push(document),
            }
            self.most = self.most.max(self.open.len());
        }
    }

    fn wait(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        while self.follower.due() <= until {
            self.now = self.now.max(self.follower.due());
            self.tick();
        }
        self.now = until;
    }

    fn hear(&mut self, link: Link, message: &Message) {
        self.follower.received(self.now, link, &frame(message));
        self.carry();
    }

    /// The connection asked for last comes up, and says that it is fresh.
    fn meet(&mut self) -> Link {
        let (link, _) = *self.connects.last().expect("one");
        self.follower.opened(self.now, link);
        self.hear(link, &Message::Alive { fresh: true, newest: None });
        link
    }

    fn taken(&mut self, result: Result<(), String>) {
        let version = self.takes.last().expect("one").version();
        self.follower.taken(self.now, version, result);
        self.carry();
    }
}

/// Guards the way back: what is older is counted, one number with two digests is counted once and told, and neither is taken.
#[test]
fn a_gateway_takes_nothing_older_and_no_second_digest() {
    let mut gate = Gate::new("zone-0", 3, Some(version(5, "five")));
    let link = gate.meet();
    gate.said.clear();
    gate.hear(link, &newest(4, "four"));
    gate.hear(link, &newest(5, "five"));
    for _ in 0..3 {
        gate.hear(link, &newest(5, "other"));
        gate.hear(link, &Message::Alive { fresh: true, newest: Some(version(5, "other")) });
    }
    let standing = gate.follower.standing(gate.now);
    assert_eq!((standing.older, standing.conflicts, gate.takes.len()), (1, 1, 0));
    let [Message::InForce { version: told, refused: Some(refused) }] = &gate.said[..] else {
        panic!("{:?}", gate.said)
    };
    assert_eq!((*told, refused.version), (Some(version(5, "five")), version(5, "other")));
    assert!(refused.why.contains("two digests"), "{}", refused.why);
    gate.hear(link, &newest(6, "six"));
    gate.taken(Ok(()));
    let standing = gate.follower.standing(gate.now);
    assert_eq!((standing.in_force, standing.refused), (Some(version(6, "six")), None));
}

/// Guards takes: one at a time, the newest of those that come meanwhile after it, and none that was refused.
#[test]
fn a_gateway_takes_one_at_a_time_and_the_newest_next() {
    let mut gate = Gate::new("zone-0", 3, None);
    let link = gate.meet();
    gate.hear(link, &newest(1, "one"));
    for (number, bytes) in [(2, "two"), (4, "four"), (3, "three"), (1, "one")] {
        gate.hear(link, &newest(number, bytes));
    }
    assert_eq!(gate.takes, [document(1, "one")]);
    gate.follower.taken(gate.now, version(4, "four"), Ok(()));
    assert_eq!(gate.follower.standing(gate.now).in_force, None, "nobody asked");
    gate.taken(Err("é".repeat(200)));
    assert_eq!(gate.takes, [document(1, "one"), document(4, "four")]);
    let refused = gate.follower.standing(gate.now).refused.expect("one");
    assert!(refused.version == version(1, "one") && refused.why.len() == LONGEST_WHY);
    gate.taken(Err("full".to_string()));
    gate.hear(link, &newest(4, "four"));
    gate.hear(link, &newest(1, "one"));
    assert_eq!(gate.takes.len(), 2, "not what was refused");
    gate.hear(link, &newest(5, "five"));
    gate.taken(Ok(()));
    assert_eq!(gate.follower.standing(gate.now).refused, None);
}

/// Guards against a machine whose words make no sense or whose bytes do not fit: it is left, and nothing is taken.
#[test]
fn a_machine_that_makes_no_sense_is_left() {
    for message in [
        Message::Newest(version(1, "one"), b"another"[..].into()),
        Message::Newest(Version { number: 0, ..version(0, "one") }, b"one"[..].into()),
        Message::Ask,
    ] {
        let mut gate = Gate::new("zone-1", 3, None);
        let link = gate.meet();
        gate.hear(link, &message);
        assert_eq!((gate.open.len(), gate.takes.len()), (0, 0), "{message:?}");
        gate.wait(MILLI);
        assert_eq!(gate.connects.iter().map(|(_, machine)| *machine).collect::<Vec<_>>(), [1, 2]);
    }
}

/// Guards the ring: its own zone's first, then those behind it; each is left once it is silent, does not come up or is not
/// fresh; and after a vain turn the pauses grow, so that an hour in vain costs few connections.
#[test]
fn machines_are_tried_around_the_ring_with_growing_pauses() {
    let mut gate = Gate::new("zone-1", 3, None);
    let silent = Pace::default().silent;
    gate.wait(silent - MILLI);
    assert_eq!(gate.connects.len(), 1);
    gate.wait(MILLI);
    assert_eq!(
        gate.connects.last().map(|(_, machine)| *machine),
        Some(2),
        "one that does not come up is left"
    );
    let (link, _) = gate.connects[1];
    gate.follower.opened(gate.now, link);
    for _ in 0..6 {
        gate.wait(MILLI * 100);
        gate.hear(link, &Message::Alive { fresh: false, newest: None });
    }
    assert_eq!(gate.connects.last().map(|(_, machine)| *machine), Some(0), "and one that is not fresh");
    assert!(gate.follower.standing(gate.now).cut_off > silent * 2);
    gate.wait(SECOND * 3_600);
    let count = gate.connects.len();
    println!("{count} connections in an hour in vain");
    assert!((1_000..3_000).contains(&count), "{count}: three each turn, and up to five seconds between");
    assert_eq!(gate.most, 1);
    // Each is refused at once.
    let mut gate = Gate::new("zone-1", 3, None);
    while gate.now < SECOND * 60 {
        if let Some(link) = gate.open.pop() {
            gate.follower.closed(gate.now, link);
            gate.carry();
        }
        gate.wait(MILLI);
    }
    assert!(gate.connects.len() < 100, "{}", gate.connects.len());
    // Each says that it is fresh and is gone.
    let mut gate = Gate::new("zone-1", 3, None);
    while gate.now < SECOND * 60 {
        if let Some(link) = gate.open.pop() {
            gate.follower.opened(gate.now, link);
            gate.hear(link, &Message::Alive { fresh: true, newest: None });
            gate.follower.closed(gate.now, link);
            gate.carry();
        }
        gate.wait(MILLI);
    }
    assert!(gate.connects.len() < 100, "{}", gate.connects.len());
}

/// Guards the way home: beside the present connection, within its time, never more than two, and the other one is closed
/// once its own zone's machine is fresh; one that is not fresh is no home.
#[test]
fn a_gateway_comes_home_beside_its_connection() {
    let mut gate = Gate::new("zone-1", 3, None);
    let (first, _) = gate.connects[0];
    gate.follower.closed(gate.now, first);
    gate.open.clear();
    gate.tick();
    let away = gate.meet();
    let started = gate.now;
    let alive = |fresh| Message::Alive { fresh, newest: None };
    let mut tries = 0;
    let mut home = None;
    while home.is_none() {
        gate.wait(MILLI * 100);
        gate.hear(away, &alive(true));
        assert!(gate.now < started + SECOND * 70, "within its time, and again");
        let Some((link, 1)) = gate.connects.last().copied().filter(|(link, _)| gate.open.contains(link))
        else {
            continue;
        };
        if gate.follower.standing(gate.now).machine != Some(2) {
            panic!("it stays where it is meanwhile");
        }
        gate.follower.opened(gate.now, link);
        gate.hear(link, &alive(tries > 0));
        tries += 1;
        if tries > 1 {
            home = Some(link);
        } else {
            for _ in 0..6 {
                gate.wait(MILLI * 100);
                gate.hear(away, &alive(true));
                gate.hear(link, &alive(false));
            }
            assert!(!gate.open.contains(&link), "not fresh, no home");
        }
    }
    assert_eq!(gate.open, home.into_iter().collect::<Vec<_>>());
    assert_eq!((gate.most, gate.follower.standing(gate.now).machine), (2, Some(1)));
    gate.wait(MILLI * 400);
    gate.hear(home.expect("one"), &alive(true));
    assert_eq!(gate.open.len(), 1);
}

/// Guards a gateway that wakes up late: what lies in its socket is not read, since it may be what was the newest.
#[test]
fn a_gateway_that_wakes_up_late_reads_nothing_old() {
    let mut gate = Gate::new("zone-1", 3, None);
    let link = gate.meet();
    gate.now += SECOND;
    gate.hear(link, &newest(1, "one"));
    assert_eq!((gate.open.len(), gate.takes.len()), (0, 0));
}

/// Guards a zone without a machine, and settings without any: others serve it, and it has no home to come to.
#[test]
fn a_zone_without_a_machine_is_served_by_others() {
    let mut gate = Gate::new("nowhere", 3, None);
    let link = gate.meet();
    for _ in 0..400 {
        gate.wait(MILLI * 100);
        gate.hear(link, &Message::Alive { fresh: true, newest: None });
    }
    assert_eq!(gate.connects.len(), 1);
    let mut gate = Gate::new("zone-1", 0, None);
    gate.wait(SECOND * 10);
    assert_eq!(gate.connects, []);
}
