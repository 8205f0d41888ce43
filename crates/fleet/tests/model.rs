//! The agreement exhaustively: the voters and rounds that ship, with every order of messages, losses and doubles, and
//! a crash of a voter with or without its file.

use std::collections::{BTreeMap, BTreeSet};

use dunemount_fleet::acceptor::{Acceptor, RequestOutcome};
use dunemount_fleet::lease::{next_record, LeaseChange, LeaseRecord};
use dunemount_fleet::messages::*;
use dunemount_fleet::node_id::NodeId;
use dunemount_fleet::proposer::{ProposerRound, RoundEvent, StoreCounts};
use dunemount_fleet::reconfiguration::Reconfiguration;
use dunemount_fleet::register::*;
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};

const VOTERS: u8 = 3;
const KEY: &str = "survey/1";

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Letter {
    Ask { slot: u8, from: usize, call: CallKey },
    Reply { to: usize, reply: ReplyKey },
}

/// Calls and replies have no order of their own; their bytes do.
type CallKey = Vec<u8>;
type ReplyKey = Vec<u8>;

fn pack<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("bytes")
}

fn unpack<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> T {
    postcard::from_bytes(bytes).expect("what was packed")
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Contender {
    round: Option<ProposerRound>,
    begun: u8,
    view: AcceptorSet,
    admission: Option<Reconfiguration>,
    highest: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    voters: Vec<Acceptor>,
    contenders: Vec<Contender>,
    /// Any letter may come never or late, and so many of them again.
    links: BTreeSet<Letter>,
    doubled: u8,
    owners: BTreeMap<u64, BTreeSet<NodeId>>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Begin(usize),
    Deliver(Letter),
    /// Delivers a letter that comes once more.
    Double(Letter),
    Crash {
        slot: u8,
        loses_file: bool,
    },
}

struct Agreement {
    /// Changes that each contender may begin.
    rounds: Vec<u8>,
    crashes: u8,
    loses_file: bool,
    doubles: u8,
    /// A voter comes back from a crash as if the fleet were new.
    forgets: bool,
    /// Contenders take the role whatever the register holds by then.
    blind: bool,
}

fn id(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

impl Agreement {
    fn post(state: &mut State, from: usize, calls: Vec<(AcceptorSlot, AcceptorRequest)>) {
        for (slot, call) in calls {
            state.links.insert(Letter::Ask { slot: slot.0, from, call: pack(&call) });
        }
    }

    fn hear(&self, state: &mut State, to: usize, reply: &AcceptorReply) {
        let contender = &mut state.contenders[to];
        if let Some(admission) = contender.admission.as_mut().filter(|a| a.nonce() == reply.nonce) {
            let over = admission.handle_reply(reply) != RoundEvent::None || admission.is_done();
            contender.view = contender.view.join(admission.acceptors());
            let calls = if over { Vec::new() } else { admission.pending_requests() };
            contender.admission = contender.admission.take().filter(|_| !over);
            return Self::post(state, to, calls);
        }
        let Some(round) = contender.round.as_mut() else { return };
        match round.handle_reply(reply) {
            RoundEvent::Prepared(value) => {
                let known = value
                    .map_or(LeaseRecord::default(), |value| LeaseRecord::decode(&value).expect("a tenure"));
                // Time is left out: whoever tries may have waited for long enough.
                let next = match self.blind {
                    true => {
                        Some(LeaseRecord { epoch: 1, holder: Some(id(to)), renewal: 0, requested_by: None })
                    }
                    false => next_record(LeaseChange::Acquire, id(to), &known, Some(&known)),
                };
                if let Some(next) = next {
                    round.propose(next.encode());
                    let calls = round.pending_requests();
                    Self::post(state, to, calls);
                }
            }
            RoundEvent::Chosen(value) => {
                let tenure = LeaseRecord::decode(&value).expect("a tenure");
                contender.round = None;
                if let Some(owner) = tenure.holder {
                    state.owners.entry(tenure.epoch).or_default().insert(owner);
                }
            }
            RoundEvent::Preempted(by) => (contender.round, contender.highest) = (None, by.counter),
            RoundEvent::NewerAcceptorSet(view) => {
                (contender.round, contender.view) = (None, contender.view.join(&view))
            }
            RoundEvent::UninitializedAcceptor(slot, generation) if contender.admission.is_none() => {
                let nonce = 100 + u64::from(slot.0) + 10 * to as u64;
                let admission = Reconfiguration::new(
                    slot,
                    generation,
                    &contender.view,
                    nonce,
                    VOTERS,
                    StoreCounts::default(),
                );
                let calls = admission.pending_requests();
                contender.admission = Some(admission);
                Self::post(state, to, calls);
            }
            _ => {}
        }
    }
}

impl Model for Agreement {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let contender =
            Contender { round: None, begun: 0, view: AcceptorSet::default(), admission: None, highest: 0 };
        vec![State {
            voters: (0..VOTERS).map(|slot| Acceptor::founding(AcceptorSlot(slot))).collect(),
            contenders: vec![contender; self.rounds.len()],
            links: BTreeSet::new(),
            doubled: 0,
            owners: BTreeMap::new(),
            crashes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (index, contender) in state.contenders.iter().enumerate() {
            if contender.begun < self.rounds[index] {
                actions.push(Action::Begin(index));
            }
        }
        actions.extend(state.links.iter().cloned().map(Action::Deliver));
        if state.doubled < self.doubles {
            actions.extend(state.links.iter().cloned().map(Action::Double));
        }
        if state.crashes < self.crashes {
            let crash = |slot| Action::Crash { slot, loses_file: self.loses_file };
            actions.extend((0..VOTERS).map(crash));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match &action {
            Action::Deliver(letter) => drop(state.links.remove(letter)),
            Action::Double(_) => state.doubled += 1,
            _ => {}
        }
        match action {
            Action::Begin(index) => {
                let contender = &mut state.contenders[index];
                contender.begun += 1;
                contender.highest += 1;
                let ballot = Ballot { counter: contender.highest, proposer: id(index) };
                let nonce = u64::from(contender.begun);
                let round = ProposerRound::change(
                    KEY.into(),
                    ballot,
                    contender.view.clone(),
                    nonce,
                    VOTERS,
                    StoreCounts::default(),
                );
                let calls = round.pending_requests();
                contender.round = Some(round);
                Self::post(&mut state, index, calls);
            }
            Action::Deliver(Letter::Ask { slot, from, call })
            | Action::Double(Letter::Ask { slot, from, call }) => {
                let reply = match state.voters[usize::from(slot)].handle_request(unpack(&call)) {
                    RequestOutcome::Reply(reply) => reply,
                    RequestOutcome::Store(pending) => pending.stored(),
                };
                state.links.insert(Letter::Reply { to: from, reply: pack(&reply) });
            }
            Action::Deliver(Letter::Reply { to, reply }) | Action::Double(Letter::Reply { to, reply }) => {
                self.hear(&mut state, to, &unpack(&reply));
            }
            Action::Crash { slot, loses_file } => {
                state.crashes += 1;
                let voter = &mut state.voters[usize::from(slot)];
                *voter = match voter.file_bytes() {
                    _ if self.forgets => Acceptor::founding(AcceptorSlot(slot)),
                    Some(file) if !loses_file => {
                        Acceptor::from_file(AcceptorSlot(slot), &file).expect("a whole file")
                    }
                    _ => Acceptor::uninitialized(AcceptorSlot(slot), 7),
                };
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("an epoch has one owner", |_, state: &State| {
                state.owners.values().all(|owners| owners.len() == 1)
            }),
            Property::sometimes("somebody holds the role", |_, state: &State| !state.owners.is_empty()),
            Property::sometimes("it passes on", |_, state: &State| state.owners.len() > 1),
        ]
    }
}

fn checked(model: Agreement) -> (usize, usize) {
    let checked = model.checker().threads(4).spawn_bfs().join();
    checked.assert_no_discovery("an epoch has one owner");
    checked.assert_any_discovery("somebody holds the role");
    (checked.unique_state_count(), checked.max_depth())
}

/// Guards the agreement under every order of its messages, to the stated sizes.
#[test]
fn every_order_of_messages() {
    let whole = Agreement {
        rounds: vec![1, 1],
        crashes: 0,
        loses_file: false,
        doubles: 0,
        forgets: false,
        blind: false,
    };
    println!("two contenders: {:?} states and depth", checked(whole));
    let lost =
        Agreement { rounds: vec![1], crashes: 1, loses_file: true, doubles: 1, forgets: false, blind: false };
    println!("one, a file lost, a letter doubled: {:?}", checked(lost));
}

/// Guards the checks: a blind contender is found, and so is a voter that forgets.
#[test]
fn broken_variants_are_found() {
    let blind = Agreement {
        rounds: vec![1, 1],
        crashes: 0,
        loses_file: false,
        doubles: 0,
        forgets: false,
        blind: true,
    };
    let failing = |model: Agreement| {
        let checker = model.checker().finish_when(HasDiscoveries::AnyFailures).target_state_count(20_000_000);
        let found = checker.spawn_simulation(7, UniformChooser).join();
        found.discovery("an epoch has one owner").is_some()
    };
    assert!(failing(blind), "a contender that does not look at what it is told");
    let forgets = Agreement {
        rounds: vec![1, 1],
        crashes: 1,
        loses_file: false,
        doubles: 0,
        forgets: true,
        blind: false,
    };
    assert!(failing(forgets), "a voter that forgets");
}
