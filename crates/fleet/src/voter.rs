//! A voter: keeps promises and accepted values, and answers only after they are stored.
//!
//! It does not store by itself. [`Voter::ask`] gives either a reply or a [`Pending`] step with the bytes to be
//! stored; the reply of a step exists only after [`Pending::stored`], so that no driver can send it before.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::register::*;

/// First bytes of a voter's file: what it is, and the version of its form.
const MAGIC: &[u8; 8] = b"DMVOTE\x00\x01";

/// All that a voter must remember across a crash.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Memory {
    generation: u64,
    stamp: u64,
    view: View,
    registers: BTreeMap<Key, Cell>,
}

/// Why a voter's file cannot be used. A voter whose file cannot be used starts blank, under a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadFile {
    /// Shorter than what must be there.
    Short,
    /// It is no voter's file, or of a form that this program does not know.
    Form,
    /// The checksum does not fit what it is for.
    Checksum,
    /// The checksum fits, what is inside cannot be read.
    Inside,
}

impl std::fmt::Display for BadFile {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            BadFile::Short => "cut off",
            BadFile::Form => "not a voter's file of this form",
            BadFile::Checksum => "the checksum does not fit",
            BadFile::Inside => "what is inside cannot be read",
        })
    }
}

impl std::error::Error for BadFile {}

/// A voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    slot: Slot,
    generation: u64,
    /// For the number of a file to be laid out.
    salt: u32,
    memory: Option<Memory>,
    /// What has come of the registers that a blank voter takes over.
    arriving: Arriving,
}

/// The registers that a blank voter takes over, as far as they have come: of one admission under one view. Parts of two
/// would add up to the number of one and lack some of its registers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Arriving {
    nonce: u64,
    view: View,
    registers: BTreeMap<Key, Cell>,
}

/// What comes of a call.
#[must_use]
pub enum Step<'a> {
    /// Nothing has to be stored.
    Reply(Reply),
    /// The reply may go out once this is stored.
    Store(Pending<'a>),
}

/// A step that has to be stored before anybody hears of it.
#[must_use]
pub struct Pending<'a> {
    voter: &'a mut Voter,
    next: Memory,
    nonce: u64,
    answer: Answer,
}

impl Pending<'_> {
    /// What the file must hold, whole, before the reply may go out.
    pub fn bytes(&self) -> Vec<u8> {
        encode(&self.next)
    }

    /// It is stored, and stays so whatever happens to the machine.
    pub fn stored(self) -> Reply {
        self.voter.memory = Some(self.next);
        self.voter.arriving = Default::default();
        self.voter.reply(self.nonce, self.answer)
    }

    /// It may be stored or not. The file holds this step or what was stored before, and nobody hears of this step: a voter
    /// that is started on either keeps all that it has answered. The next step is stored whole, over what may be there.
    pub fn failed(self) -> Reply {
        self.voter.reply(self.nonce, Answer::Refused(Refusal::Broken))
    }
}

fn encode(memory: &Memory) -> Vec<u8> {
    // Writing into a vector cannot fail.
    let body = postcard::to_stdvec(memory).unwrap_or_default();
    let mut file = MAGIC.to_vec();
    file.extend_from_slice(&(body.len() as u32).to_le_bytes());
    file.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    file.extend_from_slice(&body);
    file
}

fn decode(file: &[u8]) -> Result<Memory, BadFile> {
    let (head, body) = file.split_at_checked(MAGIC.len() + 8).ok_or(BadFile::Short)?;
    let (magic, numbers) = head.split_at(MAGIC.len());
    if magic != MAGIC {
        return Err(BadFile::Form);
    }
    let number =
        |at: usize| u32::from_le_bytes([numbers[at], numbers[at + 1], numbers[at + 2], numbers[at + 3]]);
    if body.len() < number(0) as usize {
        return Err(BadFile::Short);
    }
    if body.len() > number(0) as usize || crc32fast::hash(body) != number(4) {
        return Err(BadFile::Checksum);
    }
    postcard::from_bytes(body).map_err(|_| BadFile::Inside)
}

impl Voter {
    /// A voter of a fleet that starts for the first time: it counts at once. Its file has to be stored before it answers
    /// anything; only for fleets that the operator has said to be new, since two files numbered 0 in one place
    /// cannot be told apart.
    pub fn founding(slot: Slot) -> Voter {
        let memory = Memory { generation: 0, stamp: 0, view: View::default(), registers: BTreeMap::new() };
        Voter { slot, generation: 0, salt: 0, memory: Some(memory), arriving: Default::default() }
    }

    /// A voter without a file: it answers nothing until the others have let it in. `salt` is drawn at random, so
    /// that its file is not taken for another one.
    pub fn blank(slot: Slot, salt: u32) -> Voter {
        let generation = View::default().next_generation(slot, salt);
        Voter { slot, generation, salt, memory: None, arriving: Default::default() }
    }

    /// A voter that goes on from its file.
    ///
    /// # Errors
    /// Why the file cannot be used.
    pub fn resume(slot: Slot, file: &[u8]) -> Result<Voter, BadFile> {
        let memory = decode(file)?;
        Ok(Voter {
            slot,
            generation: memory.generation,
            salt: 0,
            memory: Some(memory),
            arriving: Default::default(),
        })
    }

    /// What the file has to hold before this voter answers anything; nothing for a blank one.
    pub fn file(&self) -> Option<Vec<u8>> {
        self.memory.as_ref().map(encode)
    }

    /// Its place.
    pub fn slot(&self) -> Slot {
        self.slot
    }

    /// The number of its file.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether it has to be let in.
    pub fn is_blank(&self) -> bool {
        self.memory.is_none()
    }

    /// The voters that it goes by; a blank one knows none.
    pub fn view(&self) -> Option<&View> {
        self.memory.as_ref().map(|memory| &memory.view)
    }

    /// Registers that it keeps.
    pub fn registers(&self) -> usize {
        self.memory.as_ref().map_or(0, |memory| memory.registers.len())
    }

    fn reply(&self, nonce: u64, answer: Answer) -> Reply {
        let stamp = self.memory.as_ref().map_or(0, |memory| memory.stamp);
        Reply { nonce, slot: self.slot, generation: self.generation, stamp, answer }
    }

    /// Takes a call.
    pub fn ask(&mut self, call: Call) -> Step<'_> {
        if self.is_blank() && call.view.is_sound() && call.view.generation(self.slot) > self.generation {
            // A file of this place has been let in before, or was to be.
            self.generation = call.view.next_generation(self.slot, self.salt);
        }
        if let (Request::Install { registers, .. }, true) = (&call.request, self.is_blank()) {
            self.collect(call.nonce, &call.view, registers);
        }
        match self.decide(call.view, call.request) {
            Ok((next, answer)) if self.memory.as_ref() == Some(&next) => {
                Step::Reply(self.reply(call.nonce, answer))
            }
            Ok((next, answer)) => {
                let next = Memory { stamp: next.stamp + 1, ..next };
                Step::Store(Pending { voter: self, next, nonce: call.nonce, answer })
            }
            Err(why) => Step::Reply(self.reply(call.nonce, Answer::Refused(why))),
        }
    }

    /// What it would know after the request, and what it answers.
    fn decide(&self, view: View, request: Request) -> Result<(Memory, Answer), Refusal> {
        if !view.is_sound() {
            return Err(Refusal::Bounds);
        }
        if let Request::Install { total, .. } = request {
            return self.install(view, total);
        }
        let mut next = self.memory.clone().ok_or(Refusal::Blank)?;
        if let Request::Admit { after } = request {
            let joined = next.view.join(&view);
            if joined.generation(self.slot) != self.generation {
                // Another file has been let in here: this voter does not speak for the others any more.
                return Err(Refusal::View(joined));
            }
            next.view = joined;
            let rest = next.registers.iter().filter(|(key, _)| **key > after);
            let (registers, more) = page(rest);
            return Ok((next, Answer::Admitted { after, registers, more }));
        }
        if view != next.view {
            return Err(Refusal::View(next.view));
        }
        let answer = match request {
            Request::Prepare { key, ballot } => {
                let cell = cell(&mut next.registers, key)?;
                // The same ballot again is the same proposer's, whose reply was lost.
                if ballot < cell.promised {
                    return Err(Refusal::Promised(cell.promised));
                }
                cell.promised = ballot;
                Answer::Promise { accepted: cell.accepted, value: cell.value.clone() }
            }
            Request::Accept { key, ballot, value } => {
                if value.len() > MAX_VALUE_BYTES {
                    return Err(Refusal::Bounds);
                }
                let cell = cell(&mut next.registers, key)?;
                if ballot < cell.promised {
                    return Err(Refusal::Promised(cell.promised));
                }
                *cell = Cell { promised: ballot, accepted: ballot, value: Some(value) };
                Answer::Accepted
            }
            Request::Read { key } => {
                let cell = next.registers.get(&key).cloned().unwrap_or_default();
                Answer::Promise { accepted: cell.accepted, value: cell.value }
            }
            Request::Admit { .. } | Request::Install { .. } => return Err(Refusal::View(next.view)),
        };
        Ok((next, answer))
    }

    /// Collects a part of what the others knew. Nothing of it counts before all has come.
    fn collect(&mut self, nonce: u64, view: &View, registers: &BTreeMap<Key, Cell>) {
        if view.generation(self.slot) != self.generation || !view.is_sound() {
            return;
        }
        if self.arriving.nonce != nonce || self.arriving.view != *view {
            self.arriving = Arriving { nonce, view: view.clone(), registers: BTreeMap::new() };
        }
        for (key, cell) in registers {
            let arrived = &mut self.arriving.registers;
            if key.len() <= MAX_KEY_BYTES && (arrived.len() < MAX_REGISTERS || arrived.contains_key(key)) {
                arrived.insert(key.clone(), cell.clone());
            }
        }
    }

    /// A blank voter takes over what the others knew; one that is in has no use for it.
    fn install(&self, view: View, total: u32) -> Result<(Memory, Answer), Refusal> {
        if view.generation(self.slot) != self.generation {
            return Err(Refusal::Blank);
        }
        match &self.memory {
            // It has taken over already, perhaps from somebody else.
            Some(memory) => Ok((memory.clone(), Answer::Installed)),
            None if (self.arriving.registers.len() as u32) < total => {
                Err(Refusal::Arrived(self.arriving.registers.len() as u32))
            }
            None => {
                let registers = self.arriving.registers.clone();
                let memory = Memory { generation: self.generation, stamp: 0, view, registers };
                Ok((memory, Answer::Installed))
            }
        }
    }
}

fn cell(registers: &mut BTreeMap<Key, Cell>, key: Key) -> Result<&mut Cell, Refusal> {
    let known = registers.contains_key(&key);
    if key.len() > MAX_KEY_BYTES || !known && registers.len() >= MAX_REGISTERS {
        return Err(Refusal::Bounds);
    }
    Ok(registers.entry(key).or_default())
}

#[cfg(test)]
mod tests;
