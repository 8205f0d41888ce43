//! Dispatches the messages of a connection by the role of the process at its other end.

use std::time::Duration;

use super::connections::Role;
use super::gateways::Subscription;
use super::{ControlServer, DocumentStore};
use crate::connection::ConnectionId;
use crate::wire::{Hello, Identity, Message, PROTOCOL_VERSION};

/// The process at the other end has sent a message that its role does not allow. The connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProtocolViolation;

impl ControlServer {
    /// Handles a message by the role of the process that sent it.
    pub(super) fn handle_message(
        &mut self,
        now: Duration,
        id: ConnectionId,
        message: Message,
        store: &mut impl DocumentStore,
    ) -> Result<(), ProtocolViolation> {
        let connection = self.connections.find(id).ok_or(ProtocolViolation)?;
        match (&connection.role, message) {
            (Role::Unidentified, Message::Hello(hello)) => self.handle_hello(now, id, hello),
            (Role::Gateway(_), Message::VersionReport { in_force, rejected }) => {
                self.handle_version_report(now, id, in_force, rejected);
                Ok(())
            }
            (Role::IncomingPeer(server), message) => {
                self.handle_incoming_peer_message(now, id, *server, message, store)
            }
            (Role::OutgoingPeer(server), message) => {
                self.handle_outgoing_peer_message(now, id, *server, message, store)
            }
            (Role::Command, message) => self.handle_command_message(now, id, message),
            (Role::Unidentified | Role::Gateway(_), _) => Err(ProtocolViolation),
        }
    }

    /// Handles the identification of a process.
    fn handle_hello(
        &mut self,
        now: Duration,
        id: ConnectionId,
        hello: Hello,
    ) -> Result<(), ProtocolViolation> {
        if hello.protocol_version != PROTOCOL_VERSION || hello.fleet != self.settings.fleet {
            let theirs = format!("protocol version {}, fleet {}", hello.protocol_version, hello.fleet);
            self.log(format!(
                "config: closing a connection with another protocol version or fleet: {theirs}"
            ));
            return Err(ProtocolViolation);
        }
        let role = self.admit(now, hello.identity)?;
        if !matches!(role, Role::Command) {
            let heartbeat = self.heartbeat(now);
            self.send(id, &heartbeat);
        }
        if let Some(connection) = self.connections.find_mut(id) {
            connection.identify(role);
        }
        Ok(())
    }

    /// The role of a process that has identified itself.
    fn admit(&mut self, now: Duration, identity: Identity) -> Result<Role, ProtocolViolation> {
        match identity {
            Identity::Gateway { name, zone } => {
                self.gateways.register(now, &name, zone);
                Ok(Role::Gateway(Subscription::new(name)))
            }
            Identity::ControlServer { name } => {
                let server = self.settings.servers.iter().position(|server| server.name == name);
                let server = server.filter(|server| Some(*server) != self.own_index);
                let server = server.ok_or(ProtocolViolation)?;
                // A server opens a new connection only after the previous one is lost.
                if let Some(before) = self.connections.incoming_peer(server) {
                    self.close(now, before);
                }
                Ok(Role::IncomingPeer(server))
            }
            Identity::Command if self.connections.has_command_capacity() => Ok(Role::Command),
            Identity::Command => Err(ProtocolViolation),
        }
    }

    /// Handles a message of the operators' command.
    fn handle_command_message(
        &mut self,
        now: Duration,
        id: ConnectionId,
        message: Message,
    ) -> Result<(), ProtocolViolation> {
        match message {
            Message::Propose(document) => self.handle_propose(now, id, document),
            Message::ShowDocument(number) => {
                let answer = self.show_document(number);
                self.send(id, &answer);
            }
            Message::QueryStatus => {
                let status = Message::Status(self.status(now));
                self.send(id, &status);
            }
            _ => return Err(ProtocolViolation),
        }
        Ok(())
    }

    /// The answer to [`Message::ShowDocument`].
    fn show_document(&self, number: Option<u64>) -> Message {
        let found = match number {
            None => self.newest_document(),
            Some(number) => self.stored.version(number),
        };
        match found {
            Some(document) => Message::from(document),
            None => Message::DocumentNotFound(self.not_found_reason(number)),
        }
    }

    fn not_found_reason(&self, number: Option<u64>) -> String {
        match (number, self.newest_version()) {
            (None, None) => "this control machine knows of no version".to_string(),
            (None, Some(newest)) => format!("the document of version {newest} is not stored here yet"),
            (Some(number), _) => {
                format!("version {number} is not stored here: only the newest and the one before it are")
            }
        }
    }
}
