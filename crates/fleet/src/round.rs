//! One change of a register, as a proposer drives it: promises of a majority, then acceptance by one.
//!
//! A round is a value without timers: whoever owns it sends [`Round::calls`] again while it lasts, and gives it up
//! when its time is over. A round that was given up may still take effect later; only the next one tells.

use std::collections::{BTreeMap, BTreeSet};

use crate::register::*;

/// What voters have been heard to say of themselves, to know one that has come back with an older copy of its file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Stamps(BTreeMap<(Slot, u64), u64>);

impl Stamps {
    /// The highest stamp heard of a voter's file.
    pub fn of(&self, slot: Slot, generation: u64) -> u64 {
        self.0.get(&(slot, generation)).copied().unwrap_or_default()
    }

    /// Books what a voter says. Files that the view has no place for any more are forgotten.
    pub fn book(&mut self, view: &View, reply: &Reply) {
        let stamp = self.0.entry((reply.slot, reply.generation)).or_default();
        *stamp = reply.stamp.max(*stamp);
        self.0.retain(|(slot, generation), _| view.generation(*slot) == *generation);
    }
}

/// How far a round has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// A look: what each has accepted, and no promise.
    Reading(BTreeMap<Slot, (Ballot, Option<Value>)>),
    Preparing(BTreeMap<Slot, (Ballot, Option<Value>)>),
    /// A majority has promised; the owner is to say what the value becomes.
    Asking,
    Accepting(Value, BTreeSet<Slot>),
    Over,
}

/// What a reply brought about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Nothing yet.
    None,
    /// What a majority has accepted last, in a look.
    Read {
        /// The ballot of the value.
        ballot: Ballot,
        /// The latest that any of the majority has accepted.
        value: Option<Value>,
        /// All of the majority have accepted just this, so that it was chosen; else it need not be.
        agreed: bool,
    },
    /// A majority has promised, and this is the register's value: call [`Round::propose`].
    Prepared(Option<Value>),
    /// The register holds the proposed value.
    Chosen(Value),
    /// Somebody proposes under a higher ballot. What this round proposed may have been chosen or not.
    Outbid(Ballot),
    /// A voter's view knows of files that this round's does not: it has to start anew under both joined.
    Newer(View),
    /// A voter's view lacks files that this round's has: it has to be told of it.
    Older(Slot),
    /// A voter that has lost its file asks to be let in under this number.
    Blank(Slot, u64),
    /// A voter has come back with an older copy of its file, or cannot store: it does not count.
    Unfit(Slot),
}

/// A change of one register under one ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    key: Key,
    ballot: Ballot,
    view: View,
    nonce: u64,
    voters: u8,
    /// What was known of each voter's file when the round began; a reply to it cannot know less.
    stamps: Stamps,
    phase: Phase,
}

impl Round {
    /// Begins a round. `nonce` must differ from those of all other rounds of this process.
    pub fn begin(key: Key, ballot: Ballot, view: View, nonce: u64, voters: u8, stamps: Stamps) -> Round {
        Round { key, ballot, view, nonce, voters, stamps, phase: Phase::Preparing(BTreeMap::new()) }
    }

    /// Begins a look, which promises and changes nothing.
    pub fn look(key: Key, view: View, nonce: u64, voters: u8, stamps: Stamps) -> Round {
        let ballot = Ballot::default();
        Round { key, ballot, view, nonce, voters, stamps, phase: Phase::Reading(BTreeMap::new()) }
    }

    /// The round's number.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    fn majority(&self) -> usize {
        usize::from(self.voters) / 2 + 1
    }

    /// The calls that are not answered yet, to be sent now and from time to time again.
    pub fn calls(&self) -> Vec<(Slot, Call)> {
        let (key, ballot) = (self.key.clone(), self.ballot);
        let (request, heard): (Request, BTreeSet<Slot>) = match &self.phase {
            Phase::Reading(told) => (Request::Read { key }, told.keys().copied().collect()),
            Phase::Preparing(told) => (Request::Prepare { key, ballot }, told.keys().copied().collect()),
            Phase::Accepting(value, accepted) => {
                (Request::Accept { key, ballot, value: value.clone() }, accepted.clone())
            }
            Phase::Asking | Phase::Over => return Vec::new(),
        };
        let call = Call { view: self.view.clone(), nonce: self.nonce, request };
        let slots = (0..self.voters).map(Slot).filter(|slot| !heard.contains(slot));
        slots.map(|slot| (slot, call.clone())).collect()
    }

    /// Whether a majority has promised, and [`Round::propose`] is waited for.
    pub fn is_prepared(&self) -> bool {
        self.phase == Phase::Asking
    }

    /// Says what the register is to hold, after [`Event::Prepared`].
    pub fn propose(&mut self, value: Value) {
        if self.phase == Phase::Asking {
            self.phase = Phase::Accepting(value, BTreeSet::new());
        }
    }

    /// Takes a reply.
    pub fn hear(&mut self, reply: &Reply) -> Event {
        if reply.nonce != self.nonce || reply.slot.0 >= self.voters || self.phase == Phase::Over {
            return Event::None;
        }
        let counts = reply.generation == self.view.generation(reply.slot);
        match &reply.answer {
            Answer::Refused(Refusal::Blank) => return Event::Blank(reply.slot, reply.generation),
            Answer::Refused(Refusal::Broken | Refusal::Bounds) => return Event::Unfit(reply.slot),
            Answer::Refused(Refusal::View(view)) if self.view.join(view) != self.view => {
                self.phase = Phase::Over;
                return Event::Newer(view.clone());
            }
            Answer::Refused(Refusal::View(_)) if counts => return Event::Older(reply.slot),
            _ if !counts => return Event::None,
            _ if reply.stamp < self.stamps.of(reply.slot, reply.generation) => {
                return Event::Unfit(reply.slot)
            }
            Answer::Refused(Refusal::Promised(by)) if *by > self.ballot => {
                self.phase = Phase::Over;
                return Event::Outbid(*by);
            }
            _ => {}
        }
        let majority = self.majority();
        match (&mut self.phase, &reply.answer) {
            (Phase::Reading(told) | Phase::Preparing(told), Answer::Promise { accepted, value }) => {
                told.insert(reply.slot, (*accepted, value.clone()));
                if told.len() < majority {
                    return Event::None;
                }
                let latest = told.values().max_by_key(|(accepted, _)| *accepted).cloned();
                let agreed =
                    told.values().all(|told| latest.as_ref().is_some_and(|(ballot, _)| told.0 == *ballot));
                let (ballot, value) = latest.unwrap_or_default();
                match std::mem::replace(&mut self.phase, Phase::Asking) {
                    Phase::Reading(_) => {
                        self.phase = Phase::Over;
                        Event::Read { ballot, value, agreed }
                    }
                    _ => Event::Prepared(value),
                }
            }
            (Phase::Accepting(value, accepted), Answer::Accepted) => {
                accepted.insert(reply.slot);
                if accepted.len() < majority {
                    return Event::None;
                }
                let value = std::mem::take(value);
                self.phase = Phase::Over;
                Event::Chosen(value)
            }
            _ => Event::None,
        }
    }
}

/// What one of the others has told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Account {
    /// The number of the file that it told from.
    generation: u64,
    registers: BTreeMap<Key, Cell>,
    /// It has told all.
    whole: bool,
}

impl Account {
    /// The last name told so far.
    fn last(&self) -> Key {
        self.registers.keys().next_back().cloned().unwrap_or_default()
    }
}

/// Lets a voter in that has lost its file: a majority of the others goes by a view in which its new file counts, and
/// tells all that it knows; then the voter takes that over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Admission {
    slot: Slot,
    generation: u64,
    view: View,
    nonce: u64,
    voters: u8,
    stamps: Stamps,
    /// What each of the others told.
    told: BTreeMap<Slot, Account>,
    installed: bool,
}

impl Admission {
    /// Begins to let a voter in whose new file has this number, under the view that follows the one known. The number
    /// has to be above the one known: a blank voter takes such a one as soon as it hears of the view.
    pub fn begin(
        slot: Slot,
        generation: u64,
        known: &View,
        nonce: u64,
        voters: u8,
        stamps: Stamps,
    ) -> Admission {
        let view = known.with(slot, generation);
        Admission { slot, generation, view, nonce, voters, stamps, told: BTreeMap::new(), installed: false }
    }

    /// Its number.
    pub fn nonce(&self) -> u64 {
        self.nonce
    }

    /// The view that it makes.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Whether the voter is in.
    pub fn is_done(&self) -> bool {
        self.installed
    }

    /// A majority of all must be there among the others: any that ever chose a value or promised has one of them.
    fn is_told(&self) -> bool {
        self.told.values().filter(|account| account.whole).count() > usize::from(self.voters) / 2
    }

    /// The calls that are not answered yet.
    pub fn calls(&self) -> Vec<(Slot, Call)> {
        let call = |request| Call { view: self.view.clone(), nonce: self.nonce, request };
        if self.installed {
            return Vec::new();
        }
        if self.is_told() {
            let merged = self.merged();
            let (mut rest, mut calls) = (merged.iter(), Vec::new());
            let total = merged.len() as u32;
            loop {
                let (registers, more) = page(rest.clone());
                rest.by_ref().take(registers.len()).for_each(drop);
                calls.push((self.slot, call(Request::Install { registers, total })));
                if !more {
                    return calls;
                }
            }
        }
        let ask = |slot: Slot| {
            let account = self.told.get(&slot);
            let after = account.map(Account::last).unwrap_or_default();
            account.is_none_or(|account| !account.whole).then(|| (slot, call(Request::Admit { after })))
        };
        (0..self.voters).map(Slot).filter(|slot| *slot != self.slot).filter_map(ask).collect()
    }

    /// Of each register the value accepted last and the highest promise.
    fn merged(&self) -> BTreeMap<Key, Cell> {
        let mut merged: BTreeMap<Key, Cell> = BTreeMap::new();
        for (key, cell) in self.told.values().filter(|account| account.whole).flat_map(|a| &a.registers) {
            let known = merged.entry(key.clone()).or_default();
            known.promised = known.promised.max(cell.promised);
            if cell.accepted > known.accepted {
                (known.accepted, known.value) = (cell.accepted, cell.value.clone());
            }
        }
        merged
    }

    /// Takes a reply. [`Event::Newer`] says that somebody else's admission came first, [`Event::Blank`] that the
    /// voter has another file by now: in both cases this admission is over.
    pub fn hear(&mut self, reply: &Reply) -> Event {
        if reply.nonce != self.nonce || reply.slot.0 >= self.voters {
            return Event::None;
        }
        match &reply.answer {
            Answer::Refused(Refusal::View(view)) => {
                self.view = self.view.join(view);
                // What a file told that does not count any more need not be all that a majority knew.
                let view = &self.view;
                self.told.retain(|slot, account| view.generation(*slot) == account.generation);
                if self.view.generation(self.slot) != self.generation {
                    return Event::Newer(self.view.clone());
                }
            }
            // It has been started anew meanwhile, and what was begun for the file before is of no use.
            Answer::Refused(Refusal::Blank) if reply.slot == self.slot => {
                return if reply.generation == self.generation {
                    Event::None
                } else {
                    Event::Blank(reply.slot, reply.generation)
                };
            }
            Answer::Installed if reply.slot == self.slot => self.installed = true,
            Answer::Admitted { after, registers, more }
                if reply.slot != self.slot
                    && reply.generation == self.view.generation(reply.slot)
                    && reply.stamp >= self.stamps.of(reply.slot, reply.generation) =>
            {
                let generation = reply.generation;
                let new = Account { generation, registers: BTreeMap::new(), whole: false };
                let account = self.told.entry(reply.slot).or_insert(new);
                // Parts that come again, or for an account that was begun anew since, are none of the next.
                if *after == account.last() && !account.whole {
                    account.registers.extend(registers.clone());
                    account.whole = !more;
                }
            }
            _ => {}
        }
        Event::None
    }
}
