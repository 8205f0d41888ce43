//! The roles of hosts, as far as both processes of a hot restart need them: what a host states in an answer to one of
//! them, the other must know as well.

use super::host_connection::SOCKET_SLACK;
use super::mailboxes::WorkerMessage;
use super::Gateway;
use crate::hot_restart::message::{HostRole, Message};
use crate::notice::Notice;
use crate::{MemberId, Role, StatedRole};

impl Gateway {
    /// Sends the other process the roles that have changed with a group's primary.
    pub(super) fn share_primary_change(&mut self, notice: &Notice) {
        let &Notice::Primary { before, after, .. } = notice else { return };
        if self.workers.has_peer() {
            let members = [before, after];
            let roles = members.into_iter().flatten().filter_map(|member| self.host_role(member));
            self.share_roles(roles.collect());
        }
    }

    /// Sends roles to the other process through the first worker.
    pub(super) fn share_roles(&mut self, roles: Vec<HostRole>) {
        if roles.is_empty() {
            return;
        }
        if self.this_worker != 0 {
            return self.workers.send(0, WorkerMessage::ShareRoles(roles));
        }
        let message = Message::Roles(roles);
        for index in self.hot_restart.peers_with_roles() {
            self.send_to_peer(index, &message, None);
        }
    }

    /// Handles that the other process understands messages about roles: it gets all that are known, since they may have
    /// changed after its snapshot was made.
    pub(super) fn handle_peer_accepts_roles(&mut self, index: usize) {
        if let Some(peer) = self.hot_restart.peers.get_mut(index) {
            peer.supports_roles = true;
        }
        self.workers.send_to_others(self.this_worker, || WorkerMessage::ShareAllRoles);
        self.share_all_roles();
    }

    /// Sends the other process the roles of all hosts that have stated one to this worker.
    pub(super) fn share_all_roles(&mut self) {
        let members = self.balancer.members();
        let roles = members.into_iter().filter_map(|member| self.host_role(member)).collect();
        self.share_roles(roles);
    }

    /// Handles roles that hosts have stated to the other process.
    pub(super) fn handle_peer_roles(&mut self, roles: Vec<HostRole>) {
        self.workers.send_to_others(self.this_worker, || WorkerMessage::RecordRoles(roles.clone()));
        self.record_roles(roles);
    }

    /// Records roles that hosts have stated to the other process. The balancer ignores hosts of other workers' groups.
    pub(super) fn record_roles(&mut self, roles: Vec<HostRole>) {
        for HostRole { host, is_primary, at, position } in roles {
            let Some(member) = self.directory.member(&host) else { continue };
            let role = if is_primary { Role::Primary } else { Role::Replica };
            self.balancer.role_stated_elsewhere(self.now, member, StatedRole { role, at, position });
        }
    }

    /// Handles the end of the other process, which may have left answers unread: roles are relied on once hosts have
    /// stated them again.
    pub(super) fn forget_roles_of_peer(&mut self) {
        self.workers.send_to_others(self.this_worker, || WorkerMessage::PeerEnded);
        self.balancer.peer_ended(self.now + SOCKET_SLACK);
    }

    fn host_role(&self, member: MemberId) -> Option<HostRole> {
        let StatedRole { role, at, position } = self.balancer.stated_role(member)?;
        let host = self.directory.name(member).to_string();
        Some(HostRole { host, is_primary: role == Role::Primary, at, position })
    }
}
