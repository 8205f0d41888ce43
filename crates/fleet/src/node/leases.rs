//! A process's leases: the roles for which it is a candidate, and the orders that it sends as a lease holder.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Node, NodeEvent, MAX_ORDER_BYTES};
use crate::frame::MessageKind;
use crate::hash::{fnv1a_64, GOLDEN_RATIO};
use crate::lease::LeaseContender;
use crate::messages::{AcceptorRequest, Order};
use crate::register::{AcceptorSlot, Key};

/// Number of members that are candidates for a role, by rank; the others send nothing about it to the acceptors.
const CANDIDATES_PER_ROLE: usize = 3;

impl Node {
    /// The role's lease, if this process is a candidate for it or still holds it.
    pub fn lease(&self, role: &str) -> Option<&LeaseContender> {
        self.leases.get(role)
    }

    /// The roles in which this process may give orders now, with their epochs.
    pub fn held_roles(&self, now: Duration) -> impl Iterator<Item = (&Key, u64)> {
        self.leases.iter().filter_map(move |(role, lease)| Some((role, lease.valid_epoch(now)?)))
    }

    /// Sends an order in a role. Returns false if this process does not hold the lease at `now`, which must be the
    /// current time and not that of the decision, or if the body is too long.
    pub fn send_order(&mut self, now: Duration, role: &str, to: SocketAddr, body: Vec<u8>) -> bool {
        let Some(epoch) = self.leases.get(role).and_then(|lease| lease.valid_epoch(now)) else {
            return false;
        };
        if body.len() > MAX_ORDER_BYTES {
            self.drop_counts.oversized_messages += 1;
            return false;
        }
        let order = Order { role: role.to_string(), epoch, from: self.settings.local.node_id(), body };
        self.send_message(to, MessageKind::Order, &order);
        true
    }

    pub(super) fn tick_leases(&mut self, now: Duration, requests: &mut Vec<(AcceptorSlot, AcceptorRequest)>) {
        for role in self.settings.roles.clone() {
            let rank = self.rank(&role);
            self.tick_lease(now, role, rank, requests);
        }
    }

    fn tick_lease(
        &mut self,
        now: Duration,
        role: Key,
        rank: Option<u32>,
        requests: &mut Vec<(AcceptorSlot, AcceptorRequest)>,
    ) {
        if rank.is_some() && !self.leases.contains_key(&role) {
            let lease = self.new_lease(&role);
            self.leases.insert(role.clone(), lease);
        }
        let Some(lease) = self.leases.get_mut(&role) else { return };
        if lease.next_deadline() <= now {
            let event = lease.tick(now, rank, &mut self.knowledge, &mut self.rng, requests);
            self.events.extend(event.map(|event| NodeEvent::Lease { role: role.clone(), event }));
        }
        if rank.is_none() && !lease.is_holder() {
            self.former_lease_counters.insert(role.clone(), lease.highest_counter());
            self.leases.remove(&role);
        }
    }

    fn new_lease(&mut self, role: &Key) -> LeaseContender {
        let highest_counter = self.former_lease_counters.remove(role).unwrap_or_default();
        let node = self.settings.local.node_id();
        LeaseContender::new(node, role.clone(), self.settings.lease).with_counters_above(highest_counter)
    }

    /// This process's rank among the candidates for a role, `None` if it is not a candidate. Each role ranks the
    /// members in its own order, and a member that joins or leaves changes the ranks of few roles (rendezvous hashing).
    fn rank(&self, role: &str) -> Option<u32> {
        let weight = |name: &str| fnv1a_64(&format!("{name}/{role}")).wrapping_mul(GOLDEN_RATIO);
        let local = &self.settings.local.name;
        let local_weight = (weight(local), local);
        let members = self.membership.members();
        let before = members.filter(|member| (weight(&member.name), &member.name) > local_weight).count();
        (before < CANDIDATES_PER_ROLE && !self.is_leaving).then_some(before as u32)
    }
}
