//! Stand-ins for database hosts: families of a primary and replicas on loopback, which keep a log of commits
//! and apply it with a lag. They answer at once, so that what is measured is the gateway.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use dunemount::pg::codec::{self, Message, ReceiveBuffer};

/// What the hosts of one family share.
#[derive(Debug, Default)]
pub struct Family {
    /// Unix time in milliseconds of the latest commit.
    commit: AtomicU64,
    /// Requests that its hosts have run.
    pub ran: AtomicU64,
}

/// How the hosts behave.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// How far replicas are behind, in milliseconds.
    pub lag_ms: u64,
    /// Length of a value, in bytes.
    pub value: usize,
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Starts a host of a family; it ends with the process.
pub fn start(family: Arc<Family>, primary: bool, manner: Manner) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let family = family.clone();
            std::thread::spawn(move || drop(session(socket, &family, primary, manner)));
        }
    });
    Ok(address)
}

fn next(socket: &mut TcpStream, inbox: &mut ReceiveBuffer) -> std::io::Result<Option<Message>> {
    let mut bytes = [0; 4096];
    loop {
        match inbox.next_message_within(|_| 64 * 1024) {
            Ok(Some(frame)) => return Ok(Some(frame)),
            Ok(None) => {}
            Err(_) => return Ok(None),
        }
        match socket.read(&mut bytes)? {
            0 => return Ok(None),
            count => inbox.push(&bytes[..count]),
        }
    }
}

fn session(mut socket: TcpStream, family: &Family, primary: bool, manner: Manner) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let mut inbox = ReceiveBuffer::default();
    let mut bytes = [0; 4096];
    while matches!(inbox.next_startup_packet(), Ok(None)) {
        match socket.read(&mut bytes)? {
            0 => return Ok(()),
            count => inbox.push(&bytes[..count]),
        }
    }
    let value = vec![7; manner.value];
    let row = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), &value].concat();
    let mut out = Vec::new();
    codec::write_message(&mut out, b'R', &[0; 4]);
    codec::write_ready_for_query(&mut out);
    loop {
        socket.write_all(&out)?;
        let Some(query) = next(&mut socket, &mut inbox)? else { return Ok(()) };
        out.clear();
        let writes = query.body.starts_with(b"INSERT");
        let now = unix_ms();
        if writes && !primary {
            codec::write_error_response(&mut out, "ERROR", "25006", "read only", None);
        } else {
            family.ran.fetch_add(1, Ordering::Relaxed);
            if writes {
                family.commit.fetch_max(now, Ordering::SeqCst);
            }
            codec::write_message(&mut out, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
            codec::write_message(&mut out, b'D', &row);
            codec::write_message(&mut out, b'C', if writes { b"INSERT 0 1\0" } else { b"SELECT 1\0" });
            let position = if primary { now } else { now - manner.lag_ms };
            codec::write_parameter_status(&mut out, "part", if primary { "master" } else { "replica" });
            codec::write_parameter_status(&mut out, "caught_up_to", &position.to_string());
        }
        codec::write_ready_for_query(&mut out);
    }
}
