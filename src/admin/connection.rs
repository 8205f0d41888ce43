//! An operator's HTTP connection as a state machine driven by bytes: one request, one response, then the connection is
//! closed.

use super::request::{self, AdminRequest, HttpStatus};
use crate::pg::codec::SendBuffer;

/// The state of an operator's connection.
#[derive(Debug, Default)]
pub struct AdminConnection {
    received: Vec<u8>,
    /// Bytes to be sent to the operator.
    pub out: SendBuffer,
    has_responded: bool,
}

impl AdminConnection {
    /// Adds received bytes. Returns the request once it is complete, or the status with which to reject it. Bytes that
    /// are received after the response are ignored.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<Result<AdminRequest, HttpStatus>> {
        if self.has_responded {
            return None;
        }
        self.received.extend_from_slice(bytes);
        request::parse(&self.received).transpose()
    }

    /// Responds to the request; only the first response counts.
    pub fn respond(&mut self, status: HttpStatus, body: &str) {
        if std::mem::replace(&mut self.has_responded, true) {
            return;
        }
        self.received = Vec::new();
        let (status, length) = (status.as_str(), body.len());
        let head = format!("HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
        self.out.bytes.extend_from_slice(head.as_bytes());
        self.out.bytes.extend_from_slice(body.as_bytes());
    }

    /// Whether the request has been responded to; the response may still have to be written.
    pub fn has_responded(&self) -> bool {
        self.has_responded
    }
}
