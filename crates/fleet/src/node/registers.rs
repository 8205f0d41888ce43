//! A process's reads and changes of registers other than those of roles.

use std::time::Duration;

use super::{Node, NodeEvent};
use crate::register::{Key, Value, MAX_KEY_BYTES, MAX_VALUE_BYTES};
use crate::register_client::{RegisterClient, RegisterOutcome};

/// Maximum number of registers, other than those of roles, that a process reads or changes.
pub const MAX_REGISTER_CLIENTS: usize = 4;

/// The outcome of a read or change that is refused before it starts.
const NOT_STARTED: RegisterOutcome = RegisterOutcome::Failed { proposed: false, no_majority: false };

impl Node {
    /// Reads a register; [`NodeEvent::Register`] reports the outcome. No effect while a read or change of it is under
    /// way. Fails at once for a role's register, a key that is too long, more than [`MAX_REGISTER_CLIENTS`] registers,
    /// and while leaving.
    pub fn read_register(&mut self, now: Duration, key: &str) {
        if let Some(client) = self.register_client(key) {
            client.read();
            self.tick_registers(now);
        }
    }

    /// Starts a change of a register that belongs to no role; [`NodeEvent::Register`] reports the outcome. A read under
    /// way is dropped. Fails at once in the same cases as [`Node::read_register`].
    pub fn begin_change(&mut self, now: Duration, key: &str) {
        if let Some(client) = self.register_client(key) {
            client.begin_change();
            self.tick_registers(now);
        }
    }

    /// Proposes the register's next value, after [`RegisterOutcome::Prepared`]. `None` withdraws the change without an
    /// outcome. A value longer than [`MAX_VALUE_BYTES`] withdraws it too, and the outcome is a failure.
    pub fn propose(&mut self, now: Duration, key: &str, value: Option<Value>) {
        let Some(client) = self.registers.get_mut(key) else { return };
        let mut requests = Vec::new();
        let is_too_long = value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES);
        client.propose(now, value.filter(|_| !is_too_long), &mut requests);
        if is_too_long {
            self.push_outcome(key.to_string(), NOT_STARTED);
        }
        self.send_requests(requests);
    }

    /// The register's client, if a read or change of it is allowed.
    fn register_client(&mut self, key: &str) -> Option<&mut RegisterClient> {
        if !self.may_use_register(key) {
            self.push_outcome(key.to_string(), NOT_STARTED);
            return None;
        }
        let (node, resend_interval) = (self.settings.local.node_id(), self.settings.lease.resend_interval);
        let new_client = || RegisterClient::new(node, key.to_string(), resend_interval);
        Some(self.registers.entry(key.to_string()).or_insert_with(new_client))
    }

    fn may_use_register(&self, key: &str) -> bool {
        // In a role's register, a lease and a register client of one process would use the same ballots.
        let is_of_role = self.settings.roles.iter().any(|role| role == key) || self.leases.contains_key(key);
        let is_full = self.registers.len() >= MAX_REGISTER_CLIENTS && !self.registers.contains_key(key);
        !is_of_role && !is_full && !self.is_leaving && key.len() <= MAX_KEY_BYTES
    }

    pub(super) fn tick_registers(&mut self, now: Duration) {
        let (mut requests, mut outcomes) = (Vec::new(), Vec::new());
        for (key, client) in &mut self.registers {
            if client.next_deadline().is_some_and(|deadline| deadline <= now) {
                let outcome = client.tick(now, &mut self.knowledge, &mut self.rng, &mut requests);
                outcomes.extend(outcome.map(|outcome| (key.clone(), outcome)));
            }
        }
        outcomes.into_iter().for_each(|(key, outcome)| self.push_outcome(key, outcome));
        self.send_requests(requests);
    }

    pub(super) fn push_outcome(&mut self, key: Key, outcome: RegisterOutcome) {
        self.events.push_back(NodeEvent::Register { key, outcome });
    }
}
