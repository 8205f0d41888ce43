//! Model checking of the agreement: the acceptors and proposers of this crate under every order of messages, with lost
//! and duplicated messages, and a crash of an acceptor with or without loss of its file.

use std::collections::{BTreeMap, BTreeSet};

use dunemount_fleet::acceptor::{Acceptor, RequestOutcome};
use dunemount_fleet::lease::{next_record, LeaseChange, LeaseRecord};
use dunemount_fleet::messages::*;
use dunemount_fleet::node_id::NodeId;
use dunemount_fleet::proposer::{ProposerRound, RoundEvent, StoreCounts};
use dunemount_fleet::reconfiguration::Reconfiguration;
use dunemount_fleet::register::*;
use stateright::{Checker, HasDiscoveries, Model, Property, UniformChooser};

const ACCEPTORS: u8 = 3;
const KEY: &str = "survey/1";

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { slot: u8, from: usize, request: RequestBytes },
    Reply { to: usize, reply: ReplyBytes },
}

/// Requests and replies do not implement `Ord`, so the set of messages holds their bytes.
type RequestBytes = Vec<u8>;
type ReplyBytes = Vec<u8>;

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("bytes")
}

fn decode<'a, T: serde::Deserialize<'a>>(bytes: &'a [u8]) -> T {
    postcard::from_bytes(bytes).expect("an encoded message")
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    round: Option<ProposerRound>,
    rounds_started: u8,
    known_acceptors: AcceptorSet,
    reconfiguration: Option<Reconfiguration>,
    highest_counter: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    acceptors: Vec<Acceptor>,
    processes: Vec<Process>,
    /// Each message may arrive late or never, and some arrive more than once.
    in_transit: BTreeSet<Message>,
    duplicated: u8,
    holders: BTreeMap<u64, BTreeSet<NodeId>>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    StartRound(usize),
    Deliver(Message),
    /// Delivers a message that stays in transit.
    DeliverCopy(Message),
    Crash {
        slot: u8,
        file_is_lost: bool,
    },
}

struct Agreement {
    /// The number of changes that each process may start.
    rounds_by_process: Vec<u8>,
    max_crashes: u8,
    file_is_lost: bool,
    max_duplicates: u8,
    /// Injected bug: an acceptor restarts after a crash as if the fleet were new.
    acceptors_forget: bool,
    /// Injected bug: processes acquire the lease regardless of the register's current value.
    ignores_current_record: bool,
}

fn node_id(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

impl Agreement {
    fn send(state: &mut State, from: usize, requests: Vec<(AcceptorSlot, AcceptorRequest)>) {
        for (slot, request) in requests {
            state.in_transit.insert(Message::Request { slot: slot.0, from, request: encode(&request) });
        }
    }

    fn handle_reply(&self, state: &mut State, to: usize, reply: &AcceptorReply) {
        let process = &mut state.processes[to];
        if let Some(reconfiguration) =
            process.reconfiguration.as_mut().filter(|active| active.nonce() == reply.nonce)
        {
            let is_over =
                reconfiguration.handle_reply(reply) != RoundEvent::None || reconfiguration.is_done();
            process.known_acceptors = process.known_acceptors.join(reconfiguration.acceptors());
            let requests = if is_over { Vec::new() } else { reconfiguration.pending_requests() };
            process.reconfiguration = process.reconfiguration.take().filter(|_| !is_over);
            return Self::send(state, to, requests);
        }
        let Some(round) = process.round.as_mut() else { return };
        match round.handle_reply(reply) {
            RoundEvent::Prepared(value) => {
                let known = value.map_or(LeaseRecord::default(), |value| {
                    LeaseRecord::decode(&value).expect("a lease record")
                });
                // The model has no time: any process may have waited for long enough.
                let next = match self.ignores_current_record {
                    true => Some(LeaseRecord {
                        epoch: 1,
                        holder: Some(node_id(to)),
                        renewal: 0,
                        requested_by: None,
                    }),
                    false => next_record(LeaseChange::Acquire, node_id(to), &known, Some(&known)),
                };
                if let Some(next) = next {
                    round.propose(next.encode());
                    let requests = round.pending_requests();
                    Self::send(state, to, requests);
                }
            }
            RoundEvent::Chosen(value) => {
                let record = LeaseRecord::decode(&value).expect("a lease record");
                process.round = None;
                if let Some(holder) = record.holder {
                    state.holders.entry(record.epoch).or_default().insert(holder);
                }
            }
            RoundEvent::Preempted(by) => (process.round, process.highest_counter) = (None, by.counter),
            RoundEvent::NewerAcceptorSet(set) => {
                (process.round, process.known_acceptors) = (None, process.known_acceptors.join(&set));
            }
            RoundEvent::UninitializedAcceptor(slot, generation) if process.reconfiguration.is_none() => {
                let nonce = 100 + u64::from(slot.0) + 10 * to as u64;
                let reconfiguration = Reconfiguration::new(
                    slot,
                    generation,
                    &process.known_acceptors,
                    nonce,
                    ACCEPTORS,
                    StoreCounts::default(),
                );
                let requests = reconfiguration.pending_requests();
                process.reconfiguration = Some(reconfiguration);
                Self::send(state, to, requests);
            }
            _ => {}
        }
    }
}

impl Model for Agreement {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let process = Process {
            round: None,
            rounds_started: 0,
            known_acceptors: AcceptorSet::default(),
            reconfiguration: None,
            highest_counter: 0,
        };
        vec![State {
            acceptors: (0..ACCEPTORS).map(|slot| Acceptor::founding(AcceptorSlot(slot))).collect(),
            processes: vec![process; self.rounds_by_process.len()],
            in_transit: BTreeSet::new(),
            duplicated: 0,
            holders: BTreeMap::new(),
            crashes: 0,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for (index, process) in state.processes.iter().enumerate() {
            if process.rounds_started < self.rounds_by_process[index] {
                actions.push(Action::StartRound(index));
            }
        }
        actions.extend(state.in_transit.iter().cloned().map(Action::Deliver));
        if state.duplicated < self.max_duplicates {
            actions.extend(state.in_transit.iter().cloned().map(Action::DeliverCopy));
        }
        if state.crashes < self.max_crashes {
            let crash = |slot| Action::Crash { slot, file_is_lost: self.file_is_lost };
            actions.extend((0..ACCEPTORS).map(crash));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match &action {
            Action::Deliver(message) => drop(state.in_transit.remove(message)),
            Action::DeliverCopy(_) => state.duplicated += 1,
            _ => {}
        }
        match action {
            Action::StartRound(index) => {
                let process = &mut state.processes[index];
                process.rounds_started += 1;
                process.highest_counter += 1;
                let ballot = Ballot { counter: process.highest_counter, proposer: node_id(index) };
                let nonce = u64::from(process.rounds_started);
                let round = ProposerRound::change(
                    KEY.into(),
                    ballot,
                    process.known_acceptors.clone(),
                    nonce,
                    ACCEPTORS,
                    StoreCounts::default(),
                );
                let requests = round.pending_requests();
                process.round = Some(round);
                Self::send(&mut state, index, requests);
            }
            Action::Deliver(Message::Request { slot, from, request })
            | Action::DeliverCopy(Message::Request { slot, from, request }) => {
                let reply = match state.acceptors[usize::from(slot)].handle_request(decode(&request)) {
                    RequestOutcome::Reply(reply) => reply,
                    RequestOutcome::Store(pending) => pending.stored(),
                };
                state.in_transit.insert(Message::Reply { to: from, reply: encode(&reply) });
            }
            Action::Deliver(Message::Reply { to, reply })
            | Action::DeliverCopy(Message::Reply { to, reply }) => {
                self.handle_reply(&mut state, to, &decode(&reply));
            }
            Action::Crash { slot, file_is_lost } => {
                state.crashes += 1;
                let acceptor = &mut state.acceptors[usize::from(slot)];
                *acceptor = match acceptor.file_bytes() {
                    _ if self.acceptors_forget => Acceptor::founding(AcceptorSlot(slot)),
                    Some(file) if !file_is_lost => {
                        Acceptor::from_file(AcceptorSlot(slot), &file).expect("a complete file")
                    }
                    _ => Acceptor::uninitialized(AcceptorSlot(slot), 7),
                };
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("an epoch has one holder", |_, state: &State| {
                state.holders.values().all(|holders| holders.len() == 1)
            }),
            Property::sometimes("somebody holds the lease", |_, state: &State| !state.holders.is_empty()),
            Property::sometimes("the holder changes", |_, state: &State| state.holders.len() > 1),
        ]
    }
}

/// Explores all states. Returns their number and the maximum depth.
fn check_all(model: Agreement) -> (usize, usize) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    checker.assert_no_discovery("an epoch has one holder");
    checker.assert_any_discovery("somebody holds the lease");
    (checker.unique_state_count(), checker.max_depth())
}

/// Guards the agreement under every order of its messages: two processes without faults, and one process with the loss
/// of an acceptor's file and a duplicate.
#[test]
fn every_order_of_messages() {
    let two_processes = Agreement {
        rounds_by_process: vec![1, 1],
        max_crashes: 0,
        file_is_lost: false,
        max_duplicates: 0,
        acceptors_forget: false,
        ignores_current_record: false,
    };
    println!("two processes: {:?} states and depth", check_all(two_processes));
    let lost_file = Agreement {
        rounds_by_process: vec![1],
        max_crashes: 1,
        file_is_lost: true,
        max_duplicates: 1,
        acceptors_forget: false,
        ignores_current_record: false,
    };
    println!("one process, a lost file, a duplicate: {:?}", check_all(lost_file));
}

/// Guards the checks themselves: they find each injected bug.
#[test]
fn injected_bugs_are_found() {
    let ignores_current_record = Agreement {
        rounds_by_process: vec![1, 1],
        max_crashes: 0,
        file_is_lost: false,
        max_duplicates: 0,
        acceptors_forget: false,
        ignores_current_record: true,
    };
    let fails = |model: Agreement| {
        let checker = model.checker().finish_when(HasDiscoveries::AnyFailures).target_state_count(20_000_000);
        let finished = checker.spawn_simulation(7, UniformChooser).join();
        finished.discovery("an epoch has one holder").is_some()
    };
    assert!(fails(ignores_current_record), "a process that ignores the current record");
    let acceptors_forget = Agreement {
        rounds_by_process: vec![1, 1],
        max_crashes: 1,
        file_is_lost: false,
        max_duplicates: 0,
        acceptors_forget: true,
        ignores_current_record: false,
    };
    assert!(fails(acceptors_forget), "an acceptor that forgets");
}
