//! One process of the fleet: membership, its acceptor if it has one, its leases, its registers and the fencing of
//! orders. It is driven by datagrams and the time, and returns datagrams to be sent, state to be stored, and events.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::acceptor::Acceptor;
use crate::acceptor_knowledge::AcceptorKnowledge;
use crate::fencing::{FencingError, FencingGuard};
use crate::frame::{self, FrameError, MessageKind};
use crate::lease::{LeaseContender, LeaseEvent, LeaseSettings};
use crate::membership::{MemberIdentity, Membership, MembershipChange, MembershipTimeouts};
use crate::messages::{AcceptorRequest, Order};
use crate::register::{AcceptorSlot, Key};
use crate::register_client::{RegisterClient, RegisterOutcome};

mod acceptors;
mod leases;
mod registers;
mod storage;

use acceptors::ActiveReconfiguration;
pub use registers::MAX_REGISTER_CLIENTS;
pub use storage::AcceptorStorage;

/// Longest body of an order, in bytes.
pub const MAX_ORDER_BYTES: usize = 1_024;

/// The settings of a process, fixed at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The fleet's name.
    pub fleet: String,
    /// This process's identity.
    pub local: MemberIdentity,
    /// Names and addresses of the processes with acceptors, in the order of their slots.
    pub acceptors: Vec<MemberIdentity>,
    /// Members to announce this process to.
    pub seeds: Vec<MemberIdentity>,
    /// Approximate number of members.
    pub fleet_size: u32,
    /// The roles that the members hold leases on.
    pub roles: Vec<Key>,
    /// Timing of the leases.
    pub lease: LeaseSettings,
    /// Timing of the membership protocol.
    pub membership: MembershipTimeouts,
    /// Seed of the random number generator; has to differ at each start.
    pub rng_seed: u64,
}

/// An event that a [`Node`] reports to its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// A member joined or went down, or this process is no longer a member.
    Membership(MembershipChange),
    /// This process has acquired or lost a role's lease.
    Lease {
        /// The role.
        role: Key,
        /// Whether it was acquired or lost, and under which epoch.
        event: LeaseEvent,
    },
    /// A lease holder's order, to be carried out.
    Order {
        /// The order.
        order: Order,
        /// Whether it is the first order received under its epoch.
        is_first_of_epoch: bool,
    },
    /// An order that must have no effect.
    OrderRejected {
        /// The order.
        order: Order,
        /// Why it was rejected.
        error: FencingError,
    },
    /// This process's acceptor has been admitted by the others.
    AcceptorAdmitted,
    /// The result of a read or a change of a register.
    Register {
        /// The register.
        key: Key,
        /// The result.
        outcome: RegisterOutcome,
    },
}

/// Numbers of dropped datagrams, messages and orders since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Datagrams that are damaged, or of another fleet or format version.
    pub foreign_datagrams: u64,
    /// Messages in datagrams of this fleet that cannot be decoded, and requests to an acceptor that this process lacks.
    pub malformed_messages: u64,
    /// Orders rejected because of a stale epoch or the limits on roles.
    pub rejected_orders: u64,
    /// Messages not sent because they are too long.
    pub oversized_messages: u64,
}

/// A process of the fleet.
pub struct Node {
    settings: NodeSettings,
    fleet_tag: u64,
    rng: Pcg64Mcg,
    membership: Membership,
    acceptor: Option<Acceptor>,
    knowledge: AcceptorKnowledge,
    reconfiguration: Option<ActiveReconfiguration>,
    leases: BTreeMap<Key, LeaseContender>,
    /// The highest ballot counter of each role for which this process is no longer a candidate, so that no ballot is
    /// reused.
    former_lease_counters: BTreeMap<Key, u64>,
    /// Kept for the lifetime of the process, so that no ballot is reused.
    registers: BTreeMap<Key, RegisterClient>,
    fencing: FencingGuard,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    events: VecDeque<NodeEvent>,
    drop_counts: DropCounts,
    /// The process releases its leases and acquires no others.
    is_leaving: bool,
}

impl Node {
    /// Creates a process, with its acceptor if it has one.
    pub fn new(settings: NodeSettings, acceptor: Option<Acceptor>) -> Node {
        let mut rng = Pcg64Mcg::seed_from_u64(settings.rng_seed);
        let membership = Membership::new(
            settings.local.clone(),
            settings.seeds.clone(),
            settings.fleet_size,
            settings.membership,
            rng.next_u64(),
        );
        let acceptor_count = settings.acceptors.len() as u8;
        let knowledge = AcceptorKnowledge::new(acceptor_count, rng.next_u64());
        Node {
            fleet_tag: frame::fleet_tag(&settings.fleet),
            rng,
            membership,
            acceptor,
            knowledge,
            reconfiguration: None,
            leases: BTreeMap::new(),
            former_lease_counters: BTreeMap::new(),
            registers: BTreeMap::new(),
            fencing: FencingGuard::default(),
            datagrams: VecDeque::new(),
            events: VecDeque::new(),
            drop_counts: DropCounts::default(),
            is_leaving: false,
            settings,
        }
    }

    /// Sets the acceptor once its file has been read; no effect if there already is an acceptor.
    pub fn set_acceptor(&mut self, acceptor: Acceptor) {
        self.acceptor.get_or_insert(acceptor);
    }

    /// The members of the fleet.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// This process's acceptor, if it has one.
    pub fn acceptor(&self) -> Option<&Acceptor> {
        self.acceptor.as_ref()
    }

    /// What this process knows about all acceptors.
    pub fn acceptor_knowledge(&self) -> &AcceptorKnowledge {
        &self.knowledge
    }

    /// How many datagrams, messages and orders were dropped.
    pub fn drop_counts(&self) -> DropCounts {
        self.drop_counts
    }

    /// The settings that the process was started with.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// The next datagram to be sent, and its destination.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    /// The next event.
    pub fn next_event(&mut self) -> Option<NodeEvent> {
        self.events.pop_front()
    }

    /// When [`Node::tick`] has to be called next.
    pub fn next_deadline(&self) -> Duration {
        let leases = self.leases.values().map(LeaseContender::next_deadline);
        let registers = self.registers.values().filter_map(RegisterClient::next_deadline);
        let reconfiguration = self.reconfiguration.iter().map(ActiveReconfiguration::next_deadline);
        leases.chain(registers).chain(reconfiguration).fold(self.membership.next_deadline(), Duration::min)
    }

    /// Handles expired deadlines.
    pub fn tick(&mut self, now: Duration) {
        self.membership.tick(now);
        self.drain_membership();
        self.tick_registers(now);
        let mut requests = Vec::new();
        self.tick_leases(now, &mut requests);
        self.help_acceptors(now, &mut requests);
        self.send_requests(requests);
    }

    /// Handles a datagram.
    ///
    /// # Errors
    /// The reason why the datagram was dropped unread.
    pub fn handle_datagram(
        &mut self,
        now: Duration,
        from: SocketAddr,
        datagram: &[u8],
        storage: &mut impl AcceptorStorage,
    ) -> Result<(), FrameError> {
        let (kind, message) = frame::decode(self.fleet_tag, datagram)
            .inspect_err(|_| self.drop_counts.foreign_datagrams += 1)?;
        match kind {
            MessageKind::Membership => {
                self.membership.handle_message(now, message);
                self.drain_membership();
            }
            MessageKind::AcceptorRequest => {
                if let Some(request) = self.parse(message) {
                    self.handle_request(from, request, storage);
                }
            }
            MessageKind::AcceptorReply => {
                if let Some(reply) = self.parse(message) {
                    self.handle_reply(now, &reply);
                }
            }
            MessageKind::Order => {
                if let Some(order) = self.parse(message) {
                    self.handle_order(order);
                }
            }
        }
        Ok(())
    }

    fn parse<T: DeserializeOwned>(&mut self, message: &[u8]) -> Option<T> {
        let parsed = postcard::from_bytes(message).ok();
        self.drop_counts.malformed_messages += u64::from(parsed.is_none());
        parsed
    }

    fn handle_order(&mut self, order: Order) {
        match self.fencing.admit(&order.role, order.epoch) {
            Ok(is_first_of_epoch) => self.events.push_back(NodeEvent::Order { order, is_first_of_epoch }),
            Err(error) => {
                self.drop_counts.rejected_orders += 1;
                self.events.push_back(NodeEvent::OrderRejected { order, error });
            }
        }
    }

    /// Leaves gracefully: releases the leases and notifies the other members. The caller sends the datagrams, and calls
    /// [`Node::tick`] until [`Node::has_left`].
    pub fn leave(&mut self, now: Duration) {
        self.retire();
        self.membership.leave(now);
        self.drain_membership();
    }

    /// Releases all leases and stops acquiring them: only a member may be a candidate.
    fn retire(&mut self) {
        self.is_leaving = true;
        self.leases.values_mut().for_each(LeaseContender::release);
    }

    /// Whether all leases are released, lost or expired.
    pub fn has_left(&self) -> bool {
        self.leases.values().all(|lease| !lease.is_holder())
    }

    fn drain_membership(&mut self) {
        while let Some((to, message)) = self.membership.next_message() {
            self.send_encoded(to, MessageKind::Membership, &message);
        }
        while let Some(change) = self.membership.next_change() {
            if change == MembershipChange::Superseded {
                self.retire();
            }
            self.events.push_back(NodeEvent::Membership(change));
        }
    }

    fn send_requests(&mut self, requests: Vec<(AcceptorSlot, AcceptorRequest)>) {
        for (slot, request) in requests {
            if let Some(acceptor) = self.settings.acceptors.get(usize::from(slot.0)) {
                self.send_message(acceptor.address, MessageKind::AcceptorRequest, &request);
            }
        }
    }

    fn send_message<T: Serialize>(&mut self, to: SocketAddr, kind: MessageKind, message: &T) {
        match postcard::to_stdvec(message) {
            Ok(message) => self.send_encoded(to, kind, &message),
            Err(_) => self.drop_counts.oversized_messages += 1,
        }
    }

    fn send_encoded(&mut self, to: SocketAddr, kind: MessageKind, message: &[u8]) {
        match frame::encode(self.fleet_tag, kind, message) {
            Some(datagram) => self.datagrams.push_back((to, datagram)),
            None => self.drop_counts.oversized_messages += 1,
        }
    }
}
