//! One register that many may change, one after the other: looks that tell only what was chosen, and changes that say
//! what becomes of it once a majority has told what it holds.

use std::time::Duration;

use rand_core::RngCore;

use crate::lease::{Electorate, Terms};
use crate::messages::{AcceptorReply, AcceptorRequest};
use crate::node_id::NodeId;
use crate::proposer::{ProposerRound, RoundEvent};
use crate::register::{AcceptorSlot, Ballot, Key, Value};

/// What a look or a change has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The register holds this, and it was chosen: a majority has accepted it under one ballot. Told of a look that began at
    /// that time.
    Holds(Option<Value>, Duration),
    /// A majority has promised a change and tells what it accepted last: propose, or withdraw. That need not be chosen:
    /// whoever is to rely on it proposes it as it is.
    Promised(Option<Value>),
    /// The register holds what was proposed.
    Chosen(Value),
    /// Somebody else came between, or no majority answered in time.
    Failed {
        /// Something had been proposed, which may still be chosen.
        proposed: bool,
        /// No majority answered.
        no_majority: bool,
    },
}

/// What a round is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Aim {
    Look,
    /// A look that began at that time has found a majority that does not agree: what it accepted last is proposed again,
    /// since it may be chosen or not.
    Repair(Duration),
    Change,
}

#[derive(Clone, Debug)]
enum Doing {
    Nothing,
    /// Begins once the rest is over.
    Waiting(Aim),
    Round(ProposerRound, Aim),
}

/// One process's looks at a register, and its changes of it. To be kept as long as the process lives: a new one would use
/// ballots again.
#[derive(Clone, Debug)]
pub struct Record {
    me: NodeId,
    key: Key,
    terms: Terms,
    doing: Doing,
    /// When the round under way began, when its calls are sent again.
    asked: Duration,
    resend: Duration,
    /// The highest ballot heard of.
    highest: u64,
    /// The change under way has proposed.
    proposed: bool,
    /// Nothing begins before.
    rest: Duration,
}

impl Record {
    /// A register of which nothing is known yet.
    pub fn new(me: NodeId, key: Key, terms: Terms) -> Record {
        Record {
            me,
            key,
            terms,
            doing: Doing::Nothing,
            asked: Duration::ZERO,
            resend: Duration::ZERO,
            highest: 0,
            proposed: false,
            rest: Duration::ZERO,
        }
    }

    /// When [`Record::tick`] has something to do next; none while nothing is asked for.
    pub fn due(&self) -> Option<Duration> {
        match &self.doing {
            Doing::Nothing => None,
            Doing::Waiting(_) => Some(self.rest),
            Doing::Round(..) => Some(self.resend.min(self.ends())),
        }
    }

    /// Asks for a look, which begins with the next [`Record::tick`]. Nothing happens while something is under way: a look
    /// tells by itself, and so does a change.
    pub fn look(&mut self) {
        if matches!(self.doing, Doing::Nothing) {
            self.doing = Doing::Waiting(Aim::Look);
        }
    }

    /// Asks for a change, which begins with the next [`Record::tick`]. A look under way is given up and tells nothing.
    pub fn change(&mut self) {
        match &self.doing {
            Doing::Waiting(Aim::Change) | Doing::Round(_, Aim::Change) => {}
            _ => self.doing = Doing::Waiting(Aim::Change),
        }
    }

    /// After [`Outcome::Promised`]: what the register is to hold, or none to leave it as it is.
    pub fn propose(
        &mut self,
        now: Duration,
        value: Option<Value>,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) {
        let Doing::Round(round, Aim::Change) = &mut self.doing else { return };
        match value {
            Some(value) if round.is_prepared() => {
                round.propose(value);
                self.proposed = true;
                self.send(now, out);
            }
            Some(_) => {}
            None => self.doing = Doing::Nothing,
        }
    }

    /// When the round under way is given up.
    fn ends(&self) -> Duration {
        self.asked + self.terms.resend * 4
    }

    /// Lets time act.
    pub fn tick(
        &mut self,
        now: Duration,
        electorate: &mut Electorate,
        dice: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) -> Option<Outcome> {
        match &self.doing {
            Doing::Waiting(aim) if now >= self.rest => {
                let aim = *aim;
                self.begin(now, aim, electorate, dice, out);
                None
            }
            Doing::Round(round, _) if now >= self.ends() => {
                // Whoever was promised and has not proposed has had its majority.
                let no_majority = !round.is_prepared();
                Some(self.fail(now, no_majority, dice))
            }
            Doing::Round(..) if now >= self.resend => {
                self.send(now, out);
                None
            }
            _ => None,
        }
    }

    fn begin(
        &mut self,
        now: Duration,
        aim: Aim,
        electorate: &mut Electorate,
        dice: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) {
        (self.asked, self.proposed) = (now, false);
        let (key, nonce, voters) = (self.key.clone(), electorate.nonce(), electorate.voters);
        let (view, stamps) = (electorate.view.clone(), electorate.stamps.clone());
        let round = match aim {
            Aim::Look => ProposerRound::read(key, view, nonce, voters, stamps),
            Aim::Repair(_) | Aim::Change => {
                self.highest += 1 + u64::from(dice.next_u32() % 2);
                let ballot = Ballot { counter: self.highest, proposer: self.me };
                ProposerRound::change(key, ballot, view, nonce, voters, stamps)
            }
        };
        self.doing = Doing::Round(round, aim);
        self.send(now, out);
    }

    fn send(&mut self, now: Duration, out: &mut Vec<(AcceptorSlot, AcceptorRequest)>) {
        self.resend = now + self.terms.resend;
        if let Doing::Round(round, _) = &self.doing {
            out.extend(round.pending_requests());
        }
    }

    /// Ends what is under way, and rests for a drawn while, so that two that outbid each other do not do so for ever.
    fn fail(&mut self, now: Duration, no_majority: bool, dice: &mut impl RngCore) -> Outcome {
        self.doing = Doing::Nothing;
        let part = f64::from(dice.next_u32()) / f64::from(u32::MAX);
        self.rest = now + self.terms.resend.mul_f64(0.25 + part);
        Outcome::Failed { proposed: std::mem::take(&mut self.proposed), no_majority }
    }

    /// Takes a voter's reply.
    pub fn hear(
        &mut self,
        now: Duration,
        reply: &AcceptorReply,
        electorate: &mut Electorate,
        dice: &mut impl RngCore,
        out: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) -> Option<Outcome> {
        let Doing::Round(round, aim) = &mut self.doing else { return None };
        if reply.nonce != round.nonce() {
            return None;
        }
        let (event, aim) = (round.handle_reply(reply), *aim);
        electorate.note(&event);
        electorate.stamps.record(&electorate.view, reply);
        match (event, aim) {
            (RoundEvent::Read { ballot, value, unanimous }, _) => {
                self.highest = self.highest.max(ballot.counter);
                if unanimous {
                    self.doing = Doing::Nothing;
                    return Some(Outcome::Holds(value, self.asked));
                }
                self.begin(now, Aim::Repair(self.asked), electorate, dice, out);
                None
            }
            (RoundEvent::Prepared(value), Aim::Change) => Some(Outcome::Promised(value)),
            (RoundEvent::Prepared(Some(value)), Aim::Repair(_)) => {
                if let Doing::Round(round, _) = &mut self.doing {
                    round.propose(value);
                }
                self.send(now, out);
                None
            }
            // A whole majority has accepted nothing.
            (RoundEvent::Prepared(None), Aim::Repair(began)) => {
                self.doing = Doing::Nothing;
                Some(Outcome::Holds(None, began))
            }
            (RoundEvent::Chosen(value), Aim::Repair(began)) => {
                self.doing = Doing::Nothing;
                Some(Outcome::Holds(Some(value), began))
            }
            (RoundEvent::Chosen(value), _) => {
                self.doing = Doing::Nothing;
                Some(Outcome::Chosen(value))
            }
            (RoundEvent::Preempted(by), _) => {
                self.highest = self.highest.max(by.counter);
                Some(self.fail(now, false, dice))
            }
            (RoundEvent::NewerAcceptorSet(_), _) => Some(self.fail(now, false, dice)),
            _ => None,
        }
    }
}
