//! A role of the fleet and who holds it: at most one process at a time, under an epoch that only rises.
//!
//! The register of a role holds a [`Tenure`]. Time decides only when somebody may *try* to take the role: a contender
//! waits until a beat has stood still for a lease's length by its own clock. What keeps an owner that wakes up
//! late from doing harm is the epoch on whatever it orders ([`crate::fencing`]), never a clock.

use std::time::Duration;

use rand_core::RngCore;
use serde::{Deserialize, Serialize};

use crate::messages::{AcceptorReply, AcceptorRequest};
use crate::node_id::NodeId;
use crate::proposer::{ProposerRound, RoundEvent, StoreCounts};
use crate::register::{AcceptorSet, AcceptorSlot, Ballot, Key, Value};

/// What the register of a role holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tenure {
    /// Rises with each change of the owner, and never falls.
    pub epoch: u64,
    /// Who holds the role; nobody after it was given back.
    pub owner: Option<NodeId>,
    /// Rises with each renewal.
    pub beat: u64,
    /// Who has asked the owner to hand it over.
    pub wanted: Option<NodeId>,
}

impl Tenure {
    /// What the register holds; an unreadable value, of a later version say, is nobody's and its epoch unknown.
    pub fn read(value: &[u8]) -> Option<Tenure> {
        postcard::from_bytes(value).ok()
    }

    /// The order of tenures: a renewal that only some voters have accepted is told by some majorities and not by
    /// others, and must not look like one new beat after the other.
    fn age(&self) -> (u64, u64) {
        (self.epoch, self.beat)
    }

    /// What the register is to hold.
    pub fn write(&self) -> Value {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// How long a lease lasts, and how far clocks may run apart.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// From the moment before a renewal was asked for.
    pub length: Duration,
    /// The most by which two monotonic clocks run at different speeds, as a part.
    pub drift: f64,
    /// Calls without an answer are sent again after this; a round ends after four times as long.
    pub resend: Duration,
}

impl Terms {
    fn held(&self) -> Duration {
        self.length.mul_f64(1.0 - self.drift)
    }

    fn waited(&self) -> Duration {
        self.length.mul_f64(1.0 + self.drift)
    }
}

/// For so many leases a process has to be the first candidate before it asks for a role that another has.
const SETTLED: u32 = 4;

/// What all seats of a process share about the voters.
#[derive(Clone, Debug, Default)]
pub struct Electorate {
    /// Number of places.
    pub voters: u8,
    /// The newest view heard of.
    pub view: AcceptorSet,
    /// How often each has stored.
    pub stamps: StoreCounts,
    /// Places whose voter goes by an older view.
    pub older: Vec<AcceptorSlot>,
    /// Voters that have lost their file and want to be let in.
    pub blank: Vec<(AcceptorSlot, u64)>,
    /// Replies of voters that came back with an older copy or cannot store.
    pub unfit: u64,
    nonce: u64,
}

impl Electorate {
    /// Voters in so many places. `salt` is drawn at random, so that no reply to an earlier start of this process is
    /// taken for one to this.
    pub fn of(voters: u8, salt: u64) -> Electorate {
        Electorate { voters, nonce: salt, ..Electorate::default() }
    }

    /// A number that no other round of this process has.
    pub fn nonce(&mut self) -> u64 {
        self.nonce = self.nonce.wrapping_add(1);
        self.nonce
    }

    /// Notes what an event says of the voters.
    pub fn note(&mut self, event: &RoundEvent) {
        match event {
            RoundEvent::NewerAcceptorSet(view) => self.view = self.view.join(view),
            RoundEvent::OutdatedAcceptor(slot) if !self.older.contains(slot) => self.older.push(*slot),
            RoundEvent::UninitializedAcceptor(slot, generation)
                if !self.blank.contains(&(*slot, *generation)) =>
            {
                self.blank.retain(|(at, _)| at != slot);
                self.blank.push((*slot, *generation));
            }
            RoundEvent::UnfitAcceptor(_) => self.unfit += 1,
            _ => {}
        }
    }
}

/// Why a role ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// No majority has renewed it in time.
    NotRenewed,
    /// Somebody else has it.
    Taken,
    /// It was given back, or handed over.
    GivenBack,
}

/// A change that whoever has the seat hears of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This process holds the role from now on.
    Took {
        /// Under this epoch.
        epoch: u64,
    },
    /// It does not any more.
    Ended {
        /// The epoch that is over.
        epoch: u64,
        /// Why.
        why: Ended,
    },
}

/// What a change of a role's register is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Purpose {
    /// To hold the role under a new epoch.
    Take,
    /// To hold it longer.
    Renew,
    /// To leave it to others.
    GiveBack,
    /// To ask its owner for it.
    Want,
}

/// What the register is to hold, if the change still makes sense now that a majority has told what it holds. `seen` is
/// the tenure that stood still for a lease's length. The one place where an epoch rises.
pub fn proposal(purpose: Purpose, me: NodeId, known: &Tenure, seen: Option<&Tenure>) -> Option<Tenure> {
    let mine = known.owner == Some(me);
    match purpose {
        Purpose::Take if mine => Some(Tenure { beat: known.beat + 1, ..known.clone() }),
        // Only if no later beat than the one seen is there: any shows an owner that lives.
        Purpose::Take if known.owner.is_none() || seen.is_some_and(|seen| known.age() <= seen.age()) => {
            Some(Tenure { epoch: known.epoch + 1, owner: Some(me), beat: 0, wanted: None })
        }
        Purpose::Renew if mine && known.wanted.is_some_and(|by| by != me) => {
            Some(Tenure { owner: None, beat: known.beat + 1, ..known.clone() })
        }
        Purpose::Renew if mine => Some(Tenure { beat: known.beat + 1, ..known.clone() }),
        Purpose::GiveBack if mine => Some(Tenure { owner: None, beat: known.beat + 1, ..known.clone() }),
        Purpose::Want if known.owner.is_some() && !mine && known.wanted.is_none() => {
            Some(Tenure { wanted: Some(me), ..known.clone() })
        }
        _ => None,
    }
}

#[derive(Clone, Debug)]
enum Doing {
    Nothing,
    /// A change for a purpose, or a look for none.
    Round(ProposerRound, Option<Purpose>),
}

/// One process's part in one role.
#[derive(Clone, Debug)]
pub struct Seat {
    me: NodeId,
    key: Key,
    terms: Terms,
    doing: Doing,
    /// When the round or look under way began, when its calls are sent again.
    asked: Duration,
    resend: Duration,
    /// The highest ballot heard of.
    highest: u64,
    /// The tenure seen last, and since when it has stood like this.
    seen: Option<(Tenure, Duration)>,
    /// The epoch held, and until when.
    held: Option<(u64, Duration)>,
    next: Duration,
    /// It gives the role back at the next occasion.
    leaving: bool,
    /// Since when this process is the first candidate.
    first: Option<Duration>,
}

impl Seat {
    /// A seat that knows nothing yet.
    pub fn new(me: NodeId, key: Key, terms: Terms) -> Seat {
        Seat {
            me,
            key,
            terms,
            doing: Doing::Nothing,
            asked: Duration::ZERO,
            resend: Duration::ZERO,
            highest: 0,
            seen: None,
            held: None,
            next: Duration::ZERO,
            leaving: false,
            first: None,
        }
    }

    /// The highest round of a ballot that it has used or heard of.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// A seat that goes on above a round: one that begins anew in the same process would use its ballots again.
    #[must_use]
    pub fn above(self, highest: u64) -> Seat {
        Seat { highest, ..self }
    }

    /// The epoch under which this process may order at this moment. To be asked right before each order, and
    /// again after whatever may have taken time.
    pub fn order(&self, now: Duration) -> Option<u64> {
        self.held.filter(|(_, until)| now < *until && !self.leaving).map(|(epoch, _)| epoch)
    }

    /// Whether the role is held, or was until just now.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// The tenure seen last: the owner may have changed since.
    pub fn seen(&self) -> Option<&Tenure> {
        self.seen.as_ref().map(|(tenure, _)| tenure)
    }

    /// Gives the role back; nothing is ordered any more from now on.
    pub fn give_back(&mut self) {
        self.leaving = self.held.is_some();
        self.next = Duration::ZERO;
    }

    /// When [`Seat::tick`] has something to do next.
    pub fn due(&self) -> Duration {
        let round = match self.doing {
            Doing::Nothing => self.next,
            _ => self.resend,
        };
        self.held.map_or(round, |(_, until)| round.min(until))
    }

    /// Lets time act. `rank` is this process's place among the candidates for the role, none if it is no candidate;
    /// those behind try later, so that they need not outbid each other.
    pub fn tick(
        &mut self,
        now: Duration,
        rank: Option<u32>,
        electorate: &mut Electorate,
        dice: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) -> Option<Change> {
        let mut change = None;
        self.first = self.first.or(Some(now)).filter(|_| rank == Some(0));
        if let Some((epoch, until)) = self.held {
            if now >= until {
                (self.held, self.leaving) = (None, false);
                change = Some(Change::Ended { epoch, why: Ended::NotRenewed });
            }
        }
        if !matches!(self.doing, Doing::Nothing) && now >= self.asked + self.terms.resend * 4 {
            self.stop(now, dice);
        }
        match &self.doing {
            Doing::Nothing if now >= self.next => self.begin(now, rank, electorate, dice, out),
            Doing::Nothing => {}
            _ if now >= self.resend => self.send(now, out),
            _ => {}
        }
        change
    }

    /// Ends what is under way, and rests for a drawn while.
    fn stop(&mut self, now: Duration, dice: &mut impl RngCore) {
        self.doing = Doing::Nothing;
        let part = f64::from(dice.next_u32()) / f64::from(u32::MAX);
        self.next = now + self.terms.resend.mul_f64(0.25 + part);
    }

    fn begin(
        &mut self,
        now: Duration,
        rank: Option<u32>,
        electorate: &mut Electorate,
        dice: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) {
        let purpose = match (&self.held, &self.seen, rank) {
            (Some(_), ..) if self.leaving => Some(Purpose::GiveBack),
            (Some(_), ..) => Some(Purpose::Renew),
            (None, Some((tenure, since)), Some(rank)) if self.may_take(now, tenure, *since, rank) => {
                Some(Purpose::Take)
            }
            (None, Some((tenure, _)), Some(0)) if self.may_want(now, tenure) => {
                self.first = Some(now);
                Some(Purpose::Want)
            }
            _ => None,
        };
        self.asked = now;
        let (key, nonce, voters) = (self.key.clone(), electorate.nonce(), electorate.voters);
        let (view, stamps) = (electorate.view.clone(), electorate.stamps.clone());
        let round = match purpose {
            None => ProposerRound::read(key, view, nonce, voters, stamps),
            Some(_) => {
                self.highest += 1 + u64::from(dice.next_u32() % 2);
                let ballot = Ballot { counter: self.highest, proposer: self.me };
                ProposerRound::change(key, ballot, view, nonce, voters, stamps)
            }
        };
        self.doing = Doing::Round(round, purpose);
        self.send(now, out);
    }

    /// Whether the owner is to be asked to hand over: this process has been the first candidate for long enough, so that
    /// a member which comes and goes moves no roles.
    fn may_want(&self, now: Duration, tenure: &Tenure) -> bool {
        let settled = self.first.is_some_and(|since| now >= since + self.terms.length * SETTLED);
        settled && tenure.owner.is_some() && tenure.wanted.is_none()
    }

    /// Whether a tenure is free, or has stood still for a lease's length.
    fn may_take(&self, now: Duration, tenure: &Tenure, since: Duration, rank: u32) -> bool {
        let behind = self.terms.length.mul_f64(0.1) * rank.min(8);
        match (tenure.owner, tenure.wanted) {
            (Some(owner), _) if owner == self.me => true,
            (Some(_), _) => now >= since + self.terms.waited() + behind,
            (None, Some(wanted)) if wanted == self.me => true,
            (None, Some(_)) => now >= since + self.terms.length / 2 + behind,
            (None, None) => now >= since + behind,
        }
    }

    fn send(&mut self, now: Duration, out: &mut Vec<(AcceptorSlot, AcceptorRequest)>) {
        self.resend = now + self.terms.resend;
        if let Doing::Round(round, _) = &self.doing {
            out.extend(round.pending_requests());
        }
    }

    /// Takes a voter's reply.
    pub fn hear(
        &mut self,
        now: Duration,
        reply: &AcceptorReply,
        electorate: &mut Electorate,
        dice: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) -> Option<Change> {
        let Doing::Round(round, purpose) = &mut self.doing else { return None };
        if reply.nonce != round.nonce() {
            return None;
        }
        let (event, purpose) = (round.handle_reply(reply), *purpose);
        electorate.note(&event);
        electorate.stamps.record(&electorate.view, reply);
        match (event, purpose) {
            (RoundEvent::Read { ballot, value, .. }, _) => self.looked(now, ballot, value.as_deref()),
            (RoundEvent::Prepared(value), Some(purpose)) => self.prepared(now, value, purpose, dice, out),
            (RoundEvent::Chosen(value), Some(purpose)) => self.chosen(now, &value, purpose),
            (RoundEvent::Preempted(by), _) => {
                self.highest = self.highest.max(by.counter);
                self.stop(now, dice);
                None
            }
            (RoundEvent::NewerAcceptorSet(_), _) => {
                self.stop(now, dice);
                None
            }
            _ => None,
        }
    }

    /// A look has ended. The latest that a majority has accepted need not be chosen; to see that nobody renews, it does.
    fn looked(&mut self, now: Duration, ballot: Ballot, value: Option<&[u8]>) -> Option<Change> {
        self.highest = self.highest.max(ballot.counter);
        self.doing = Doing::Nothing;
        self.next = now + self.terms.length / 6;
        let tenure = value.map_or(Some(Tenure::default()), Tenure::read)?;
        if tenure.owner.is_none() {
            self.next = now + self.terms.resend / 4;
        } else if tenure.wanted == Some(self.me) {
            // Its owner hands it over at its next renewal, and nobody has it until this process takes it.
            self.next = now + self.terms.resend / 2;
        }
        self.saw(now, tenure);
        None
    }

    /// Books a tenure that was seen. Only a later one begins the wait anew.
    fn saw(&mut self, now: Duration, tenure: Tenure) {
        let since = match &self.seen {
            Some((known, _)) if tenure.age() < known.age() => return,
            Some((known, since)) if tenure.age() == known.age() => *since,
            _ => now,
        };
        self.seen = Some((tenure, since));
    }

    /// A majority has promised: what the register becomes, or that this process has no business with it.
    fn prepared(
        &mut self,
        now: Duration,
        value: Option<Value>,
        purpose: Purpose,
        dice: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) -> Option<Change> {
        let known = match value.as_deref().map_or(Some(Tenure::default()), Tenure::read) {
            Some(known) => known,
            // Not this version's to read, and not to be written over.
            None => {
                self.stop(now, dice);
                return None;
            }
        };
        let mine = known.owner == Some(self.me);
        let next = proposal(purpose, self.me, &known, self.seen());
        // An owner that is asked to hand over orders nothing more from here on.
        self.leaving |= purpose == Purpose::Renew && next.as_ref().is_some_and(|next| next.owner.is_none());
        match next {
            Some(tenure) => {
                if let Doing::Round(round, _) = &mut self.doing {
                    round.propose(tenure.write());
                }
                self.send(now, out);
                None
            }
            None => {
                // What was prepared stands; whoever holds it writes under a higher ballot.
                self.saw(now, known);
                self.stop(now, dice);
                let over = self.held.take().filter(|_| !mine);
                self.leaving &= over.is_none();
                over.map(|(epoch, _)| Change::Ended { epoch, why: Ended::Taken })
            }
        }
    }

    /// The register holds what this process proposed.
    fn chosen(&mut self, now: Duration, value: &[u8], purpose: Purpose) -> Option<Change> {
        self.doing = Doing::Nothing;
        let tenure = Tenure::read(value)?;
        let mine = tenure.owner == Some(self.me);
        let epoch = tenure.epoch;
        self.saw(now, tenure);
        if mine {
            let before = self.held.replace((epoch, self.asked + self.terms.held()));
            self.leaving &= purpose != Purpose::Take;
            // Whoever was told to give the role back while it was renewed does so at once.
            self.next = if self.leaving { now } else { self.asked + self.terms.length / 3 };
            return before.is_none().then_some(Change::Took { epoch });
        }
        self.next = now + self.terms.resend;
        let over = self.held.take();
        self.leaving = false;
        over.map(|(epoch, _)| Change::Ended { epoch, why: Ended::GivenBack })
    }
}
