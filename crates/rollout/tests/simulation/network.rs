//! The connections between processes. Messages are delayed, and held back while their zones are partitioned.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use dunemount_rollout::connection::ConnectionId;
use dunemount_rollout::frame::{encode_frame, FrameReader};
use dunemount_rollout::version::Version;
use dunemount_rollout::wire::{Hello, Identity, Message};

use super::Process::{self, Command, ControlServer as Server, Gateway};
use super::{ControlServerRun, Simulation, State, Variant};

/// A packet of a connection.
pub(super) enum Packet {
    /// Opens a connection. Contains whether the kernel of a stopped process has already answered it.
    Syn(bool),
    /// The connection is established.
    SynAck,
    Bytes(Arc<[u8]>),
    /// The connection is closed or refused.
    Fin,
}

/// One end of a connection.
pub(super) struct ConnectionEnd {
    pub(super) process: Process,
    pub(super) incarnation: u64,
    pub(super) connection_id: Option<ConnectionId>,
    pub(super) closed: bool,
}

pub(super) struct SimulatedConnection {
    pub(super) ends: [ConnectionEnd; 2],
    /// The packets in transit to each end, with their time of arrival.
    pub(super) in_flight: [VecDeque<(Duration, Packet)>; 2],
}

impl Simulation {
    pub(super) fn connect(&mut self, from: Process, connection_id: ConnectionId, server: usize) {
        self.last_serial += 1;
        let incarnation = self.incarnation_of(from);
        let ends = [
            ConnectionEnd { process: from, incarnation, connection_id: Some(connection_id), closed: false },
            ConnectionEnd { process: Server(server), incarnation: 0, connection_id: None, closed: false },
        ];
        let serial = self.last_serial;
        self.connections.insert(serial, SimulatedConnection { ends, in_flight: Default::default() });
        self.enqueue(serial, 1, Packet::Syn(false));
        if matches!(from, Gateway(_)) {
            *self.connection_attempts.entry((server, self.now.as_secs())).or_default() += 1;
        }
    }

    /// Sends a packet to an end of a connection.
    pub(super) fn enqueue(&mut self, serial: u64, side: usize, packet: Packet) {
        self.enqueue_after(serial, side, packet, Duration::ZERO);
    }

    fn enqueue_after(&mut self, serial: u64, side: usize, packet: Packet, after: Duration) {
        let fraction = self.random_fraction();
        let Some(connection) = self.connections.get(&serial) else { return };
        let same = self.zone_of(connection.ends[0].process) == self.zone_of(connection.ends[1].process);
        let delay = if same { Duration::from_millis(2) } else { self.conditions.delay };
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&serial) else { return };
        let at = now + after + delay.mul_f64(fraction);
        let at = connection.in_flight[side].back().map_or(at, |(last, _)| at.max(*last));
        connection.in_flight[side].push_back((at, packet));
    }

    fn connection_of(&self, process: Process, connection_id: ConnectionId) -> Option<(u64, usize)> {
        let incarnation = self.incarnation_of(process);
        let is = |end: &ConnectionEnd| {
            end.process == process
                && end.incarnation == incarnation
                && end.connection_id == Some(connection_id)
                && !end.closed
        };
        self.connections
            .iter()
            .find_map(|(serial, connection)| Some((*serial, connection.ends.iter().position(is)?)))
    }

    /// Delivers the packets that have arrived at each end.
    pub(super) fn deliver(&mut self) {
        let serials: Vec<u64> = self.connections.keys().copied().collect();
        for serial in serials {
            for side in 0..2 {
                let Some(connection) = self.connections.get(&serial) else { break };
                let due = connection.in_flight[side].front().is_some_and(|(at, _)| *at <= self.now);
                let process = connection.ends[side].process;
                if !due || self.is_partitioned(process, connection.ends[1 - side].process) {
                    continue;
                }
                self.deliver_to(serial, side, process);
                self.carry_out(process);
            }
            let is_closed = |connection: &SimulatedConnection| connection.ends.iter().all(|end| end.closed);
            if self.connections.get(&serial).is_some_and(is_closed) {
                self.connections.remove(&serial);
            }
        }
    }

    fn deliver_to(&mut self, serial: u64, side: usize, process: Process) {
        let now = self.now;
        while let Some(connection) = self.connections.get_mut(&serial) {
            let Some((at, packet)) = connection.in_flight[side].front_mut() else { return };
            if *at > now {
                return;
            }
            let state = match process {
                Server(index) => self.control_servers[index].state,
                Gateway(index) => self.gateways[index].state,
                Command(_) => State::Up,
            };
            if state == State::Stopped {
                if let Packet::Syn(answered) = packet {
                    if !std::mem::replace(answered, true) {
                        self.enqueue(serial, 1 - side, Packet::SynAck);
                    }
                }
                return;
            }
            let Some((_, packet)) = connection.in_flight[side].pop_front() else { return };
            if let Packet::Syn(answered) = packet {
                let Server(index) = process else { return };
                let server = &mut self.control_servers[index];
                let incarnation = server.incarnation;
                match server.control.as_mut().and_then(|control| control.handle_accepted(now)) {
                    Some(connection_id) => {
                        let end =
                            &mut self.connections.get_mut(&serial).expect("an open connection").ends[side];
                        (end.connection_id, end.incarnation) = (Some(connection_id), incarnation);
                        if !answered {
                            self.enqueue(serial, 1 - side, Packet::SynAck);
                        }
                    }
                    None => {
                        self.connections.get_mut(&serial).expect("an open connection").ends[side].closed =
                            true;
                        self.enqueue(serial, 1 - side, Packet::Fin);
                    }
                }
                continue;
            }
            let end = &connection.ends[side];
            let (incarnation, connection_id, closed) = (end.incarnation, end.connection_id, end.closed);
            let is_running = incarnation == self.incarnation_of(process) && state == State::Up;
            if closed || !is_running || connection_id.is_none() {
                // The socket no longer exists.
                let connection = self.connections.get_mut(&serial).expect("an open connection");
                let first = !std::mem::replace(&mut connection.ends[side].closed, true);
                if first && !matches!(packet, Packet::Fin) {
                    self.enqueue(serial, 1 - side, Packet::Fin);
                }
                continue;
            }
            if matches!(packet, Packet::Fin) {
                let connection = self.connections.get_mut(&serial).expect("an open connection");
                connection.ends[side].closed = true;
                // Data that this end has sent is discarded, as after a TCP reset.
                connection.ends[1 - side].closed = true;
            }
            self.dispatch(process, connection_id.expect("a connection id"), packet);
        }
    }

    fn dispatch(&mut self, process: Process, connection_id: ConnectionId, packet: Packet) {
        let now = self.now;
        match process {
            Server(index) => {
                let ControlServerRun { control: Some(control), store, .. } = &mut self.control_servers[index]
                else {
                    return;
                };
                match packet {
                    Packet::SynAck => control.handle_connected(now, connection_id),
                    Packet::Bytes(bytes) => control.handle_bytes(now, connection_id, &bytes, store),
                    Packet::Fin => control.handle_closed(now, connection_id),
                    Packet::Syn(_) => {}
                }
            }
            Gateway(index) => {
                let Some(follower) = &mut self.gateways[index].follower else { return };
                match packet {
                    Packet::SynAck => follower.handle_connected(now, connection_id),
                    Packet::Bytes(bytes) => follower.handle_bytes(now, connection_id, &bytes),
                    Packet::Fin => follower.handle_closed(now, connection_id),
                    Packet::Syn(_) => {}
                }
            }
            Command(index) => {
                let command = &mut self.commands[index];
                match packet {
                    Packet::SynAck => {
                        let hello = Message::Hello(Hello::new("test", Identity::Command));
                        let request = encode_frame(&command.request);
                        let Some((serial, side)) = self.connection_of(process, connection_id) else { return };
                        self.enqueue(serial, 1 - side, Packet::Bytes(encode_frame(&hello)));
                        self.enqueue(serial, 1 - side, Packet::Bytes(request));
                    }
                    Packet::Bytes(bytes) => {
                        command.frames.push(&bytes);
                        if let Some(answer) = command.frames.next_message().expect("a valid answer") {
                            (command.answer, command.answered) = (Some(answer), now);
                            self.check_answer(index);
                        }
                    }
                    Packet::Fin => command.ended = true,
                    Packet::Syn(_) => {}
                }
            }
        }
    }

    pub(super) fn send(&mut self, process: Process, connection_id: ConnectionId, bytes: Arc<[u8]>) {
        let Some((serial, side)) = self.connection_of(process, connection_id) else { return };
        if let (Variant::EveryVersion, Server(_), Gateway(gateway)) =
            (self.variant, process, self.connections[&serial].ends[1 - side].process)
        {
            let mut frames = FrameReader::default();
            frames.push(&bytes);
            if let Ok(Some(Message::Newest(newest, _))) = frames.next_message() {
                let in_force =
                    self.gateways[gateway].running.as_ref().map_or(0, |running| running.version().number);
                let between =
                    |version: &&Version| version.number > in_force && version.number <= newest.number;
                let all: Vec<Version> =
                    self.chosen.iter().map(|(_, version)| version).filter(between).copied().collect();
                for (step, version) in all.into_iter().enumerate() {
                    let document = self.documents[&version.digest].clone();
                    let newest = encode_frame(&Message::Newest(version, document));
                    self.enqueue_after(
                        serial,
                        1 - side,
                        Packet::Bytes(newest),
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
                return self.enqueue(serial, 1 - side, Packet::Bytes(certain));
            }
        }
        self.enqueue(serial, 1 - side, Packet::Bytes(bytes));
    }

    pub(super) fn close(&mut self, process: Process, connection_id: ConnectionId) {
        if let Some((serial, side)) = self.connection_of(process, connection_id) {
            self.enqueue(serial, 1 - side, Packet::Fin);
            if let Some(connection) = self.connections.get_mut(&serial) {
                connection.ends[side].closed = true;
            }
        }
    }
}
