//! Fetches a status from a gateway's admin interface.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use thiserror::Error;

use super::NodeStatus;

/// How long the admin interface may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Longest response that is read; the status of a thousand members and roles takes a fifth of it.
const MAX_RESPONSE_BYTES: u64 = 1024 * 1024;

/// Why a status could not be fetched.
#[derive(Debug, Error)]
pub enum StatusError {
    /// No connection, or no response.
    #[error("cannot fetch the status from {admin}: {source}")]
    Io {
        /// The admin interface.
        admin: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// The response is not HTTP.
    #[error("{0}: the response is not HTTP")]
    NotHttp(SocketAddr),
    /// The gateway is in no fleet.
    #[error("{0}: this gateway is in no fleet")]
    NoFleet(SocketAddr),
    /// The response has an unexpected status code.
    #[error("{admin}: unexpected response: {status_line}")]
    UnexpectedResponse {
        /// The admin interface.
        admin: SocketAddr,
        /// The first line of the response.
        status_line: String,
    },
    /// The body is no status.
    #[error("{admin}: cannot decode the status: {source}")]
    Malformed {
        /// The admin interface.
        admin: SocketAddr,
        /// Why it cannot be decoded.
        source: serde_json::Error,
    },
}

impl NodeStatus {
    /// Fetches the status from a gateway's admin interface.
    ///
    /// # Errors
    /// The gateway cannot be reached, is in no fleet, or sends another response than a status.
    pub fn fetch(admin: SocketAddr) -> Result<NodeStatus, StatusError> {
        let response = request_status(admin).map_err(|source| StatusError::Io { admin, source })?;
        let (head, body) = response.split_once("\r\n\r\n").ok_or(StatusError::NotHttp(admin))?;
        match head.split(' ').nth(1) {
            Some("200") => {
                serde_json::from_str(body).map_err(|source| StatusError::Malformed { admin, source })
            }
            Some("404") => Err(StatusError::NoFleet(admin)),
            _ => {
                let status_line = head.lines().next().unwrap_or_default().to_string();
                Err(StatusError::UnexpectedResponse { admin, status_line })
            }
        }
    }
}

fn request_status(admin: SocketAddr) -> io::Result<String> {
    let mut socket = TcpStream::connect_timeout(&admin, TIMEOUT)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    socket.write_all(format!("GET /ops/fleet HTTP/1.1\r\nHost: {admin}\r\n\r\n").as_bytes())?;
    let mut response = String::new();
    socket.take(MAX_RESPONSE_BYTES).read_to_string(&mut response)?;
    Ok(response)
}
