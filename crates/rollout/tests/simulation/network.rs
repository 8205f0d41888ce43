//! The connections between processes: messages are delayed, and wait while zones cannot reach each other.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use dunemount_rollout::connection::ConnectionId;
use dunemount_rollout::frame::{encode_frame, FrameReader};
use dunemount_rollout::version::Version;
use dunemount_rollout::wire::{Hello, Identity, Message};

use super::Process::{self, Command, ControlServer as Server, Gateway};
use super::{ControlServerRun, Simulation, State, Variant};

pub(super) enum Item {
    /// A connection is opened; whether the kernel of a stopped process has accepted it.
    Syn(bool),
    Opened,
    Bytes(Arc<[u8]>),
    Fin,
}

pub(super) struct End {
    pub(super) who: Process,
    pub(super) start: u64,
    pub(super) connection_id: Option<ConnectionId>,
    pub(super) closed: bool,
}

pub(super) struct SimulatedConnection {
    pub(super) ends: [End; 2],
    /// What is on its way to each end.
    pub(super) in_flight: [VecDeque<(Duration, Item)>; 2],
}

impl Simulation {
    pub(super) fn connect(&mut self, from: Process, connection_id: ConnectionId, server: usize) {
        self.last_serial += 1;
        let start = self.start_of(from);
        let ends = [
            End { who: from, start, connection_id: Some(connection_id), closed: false },
            End { who: Server(server), start: 0, connection_id: None, closed: false },
        ];
        let serial = self.last_serial;
        self.connections.insert(serial, SimulatedConnection { ends, in_flight: Default::default() });
        self.enqueue(serial, 1, Item::Syn(false));
        if matches!(from, Gateway(_)) {
            *self.connection_attempts.entry((server, self.now.as_secs())).or_default() += 1;
        }
    }

    /// Sends something to an end of a connection.
    pub(super) fn enqueue(&mut self, serial: u64, side: usize, item: Item) {
        self.enqueue_after(serial, side, item, Duration::ZERO);
    }

    fn enqueue_after(&mut self, serial: u64, side: usize, item: Item, after: Duration) {
        let part = self.unit();
        let Some(connection) = self.connections.get(&serial) else { return };
        let same = self.zone_of(connection.ends[0].who) == self.zone_of(connection.ends[1].who);
        let delay = if same { Duration::from_millis(2) } else { self.conditions.delay };
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&serial) else { return };
        let at = now + after + delay.mul_f64(part);
        let at = connection.in_flight[side].back().map_or(at, |(last, _)| at.max(*last));
        connection.in_flight[side].push_back((at, item));
    }

    fn connection_of(&self, who: Process, connection_id: ConnectionId) -> Option<(u64, usize)> {
        let start = self.start_of(who);
        let is = |end: &End| {
            end.who == who && end.start == start && end.connection_id == Some(connection_id) && !end.closed
        };
        self.connections
            .iter()
            .find_map(|(serial, connection)| Some((*serial, connection.ends.iter().position(is)?)))
    }

    /// Delivers what has arrived at each end.
    pub(super) fn deliver(&mut self) {
        let serials: Vec<u64> = self.connections.keys().copied().collect();
        for serial in serials {
            for side in 0..2 {
                let Some(connection) = self.connections.get(&serial) else { break };
                let due = connection.in_flight[side].front().is_some_and(|(at, _)| *at <= self.now);
                let who = connection.ends[side].who;
                if !due || self.is_cut(who, connection.ends[1 - side].who) {
                    continue;
                }
                self.deliver_to(serial, side, who);
                self.carry_out(who);
            }
            let over = |connection: &SimulatedConnection| connection.ends.iter().all(|end| end.closed);
            if self.connections.get(&serial).is_some_and(over) {
                self.connections.remove(&serial);
            }
        }
    }

    fn deliver_to(&mut self, serial: u64, side: usize, who: Process) {
        let now = self.now;
        while let Some(connection) = self.connections.get_mut(&serial) {
            let Some((at, item)) = connection.in_flight[side].front_mut() else { return };
            if *at > now {
                return;
            }
            let state = match who {
                Server(index) => self.control_servers[index].state,
                Gateway(index) => self.gateways[index].state,
                Command(_) => State::Up,
            };
            if state == State::Stopped {
                if let Item::Syn(answered) = item {
                    if !std::mem::replace(answered, true) {
                        self.enqueue(serial, 1 - side, Item::Opened);
                    }
                }
                return;
            }
            let Some((_, item)) = connection.in_flight[side].pop_front() else { return };
            if let Item::Syn(answered) = item {
                let Server(index) = who else { return };
                let server = &mut self.control_servers[index];
                let start = server.start;
                match server.control.as_mut().and_then(|control| control.handle_accepted(now)) {
                    Some(connection_id) => {
                        let end = &mut self.connections.get_mut(&serial).expect("there").ends[side];
                        (end.connection_id, end.start) = (Some(connection_id), start);
                        if !answered {
                            self.enqueue(serial, 1 - side, Item::Opened);
                        }
                    }
                    None => {
                        self.connections.get_mut(&serial).expect("there").ends[side].closed = true;
                        self.enqueue(serial, 1 - side, Item::Fin);
                    }
                }
                continue;
            }
            let end = &connection.ends[side];
            let (start, connection_id, closed) = (end.start, end.connection_id, end.closed);
            let there = start == self.start_of(who) && state == State::Up;
            if closed || !there || connection_id.is_none() {
                // The socket no longer exists.
                let connection = self.connections.get_mut(&serial).expect("there");
                let first = !std::mem::replace(&mut connection.ends[side].closed, true);
                if first && !matches!(item, Item::Fin) {
                    self.enqueue(serial, 1 - side, Item::Fin);
                }
                continue;
            }
            if matches!(item, Item::Fin) {
                let connection = self.connections.get_mut(&serial).expect("there");
                connection.ends[side].closed = true;
                // Nothing that it sent is read any more, as after a reset.
                connection.ends[1 - side].closed = true;
            }
            self.dispatch(who, connection_id.expect("one"), item);
        }
    }

    fn dispatch(&mut self, who: Process, connection_id: ConnectionId, item: Item) {
        let now = self.now;
        match who {
            Server(index) => {
                let ControlServerRun { control: Some(control), store, .. } = &mut self.control_servers[index]
                else {
                    return;
                };
                match item {
                    Item::Opened => control.handle_connected(now, connection_id),
                    Item::Bytes(bytes) => control.handle_bytes(now, connection_id, &bytes, store),
                    Item::Fin => control.handle_closed(now, connection_id),
                    Item::Syn(_) => {}
                }
            }
            Gateway(index) => {
                let Some(follower) = &mut self.gateways[index].follower else { return };
                match item {
                    Item::Opened => follower.handle_connected(now, connection_id),
                    Item::Bytes(bytes) => follower.handle_bytes(now, connection_id, &bytes),
                    Item::Fin => follower.handle_closed(now, connection_id),
                    Item::Syn(_) => {}
                }
            }
            Command(index) => {
                let command = &mut self.commands[index];
                match item {
                    Item::Opened => {
                        let hello = Message::Hello(Hello::new("test", Identity::Command));
                        let request = encode_frame(&command.request);
                        let Some((serial, side)) = self.connection_of(who, connection_id) else { return };
                        self.enqueue(serial, 1 - side, Item::Bytes(encode_frame(&hello)));
                        self.enqueue(serial, 1 - side, Item::Bytes(request));
                    }
                    Item::Bytes(bytes) => {
                        command.frames.push(&bytes);
                        if let Some(answer) = command.frames.next_message().expect("sense") {
                            (command.answer, command.answered) = (Some(answer), now);
                            self.check_answer(index);
                        }
                    }
                    Item::Fin => command.ended = true,
                    Item::Syn(_) => {}
                }
            }
        }
    }

    pub(super) fn send(&mut self, who: Process, connection_id: ConnectionId, bytes: Arc<[u8]>) {
        let Some((serial, side)) = self.connection_of(who, connection_id) else { return };
        if let (Variant::EveryVersion, Server(_), Gateway(gateway)) =
            (self.variant, who, self.connections[&serial].ends[1 - side].who)
        {
            let mut frames = FrameReader::default();
            frames.push(&bytes);
            if let Ok(Some(Message::Newest(newest, _))) = frames.next_message() {
                let has =
                    self.gateways[gateway].running.as_ref().map_or(0, |running| running.version().number);
                let between = |version: &&Version| version.number > has && version.number <= newest.number;
                let all: Vec<Version> =
                    self.chosen.iter().map(|(_, version)| version).filter(between).copied().collect();
                for (step, version) in all.into_iter().enumerate() {
                    let document = self.documents[&version.digest].clone();
                    let newest = encode_frame(&Message::Newest(version, document));
                    self.enqueue_after(
                        serial,
                        1 - side,
                        Item::Bytes(newest),
                        Duration::from_millis(100) * step as u32,
                    );
                }
                return;
            }
        }
        if self.variant == Variant::ClaimsCertainty {
            let mut frames = FrameReader::default();
            frames.push(&bytes);
            if let Ok(Some(Message::NotAccepted { reason, uncertain: true })) = frames.next_message() {
                let certain = encode_frame(&Message::NotAccepted { reason, uncertain: false });
                return self.enqueue(serial, 1 - side, Item::Bytes(certain));
            }
        }
        self.enqueue(serial, 1 - side, Item::Bytes(bytes));
    }

    pub(super) fn close(&mut self, who: Process, connection_id: ConnectionId) {
        if let Some((serial, side)) = self.connection_of(who, connection_id) {
            self.enqueue(serial, 1 - side, Item::Fin);
            if let Some(connection) = self.connections.get_mut(&serial) {
                connection.ends[side].closed = true;
            }
        }
    }
}
