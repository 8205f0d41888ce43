//! Stand-ins for database hosts: groups of a primary and replicas on loopback. Replicas report a log position that
//! lags behind. They answer immediately, so that a load test measures the gateway alone.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use dunemount::pg::codec::{self, Message, ReceiveBuffer};

/// State that the hosts of one group share.
#[derive(Debug, Default)]
pub struct HostGroup {
    /// Unix time in milliseconds of the latest commit.
    last_commit_ms: AtomicU64,
    /// Statements that the group's hosts have executed.
    pub statements: AtomicU64,
}

/// How the stand-in hosts behave.
#[derive(Clone, Copy, Debug)]
pub struct HostBehavior {
    /// Replication lag that replicas report, in milliseconds.
    pub lag_ms: u64,
    /// Length of the value in each answer, in bytes.
    pub value_bytes: usize,
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Starts a host of a group on a free port and returns its address; its threads run until this process exits.
pub fn start_host(
    group: Arc<HostGroup>,
    primary: bool,
    behavior: HostBehavior,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let group = group.clone();
            std::thread::spawn(move || drop(serve_connection(socket, &group, primary, behavior)));
        }
    });
    Ok(address)
}

/// Reads the next message; `None` if the connection has ended or the message cannot be parsed.
fn read_message(
    socket: &mut TcpStream,
    receive_buffer: &mut ReceiveBuffer,
) -> std::io::Result<Option<Message>> {
    let mut bytes = [0; 4096];
    loop {
        match receive_buffer.next_message_within(|_| 64 * 1024) {
            Ok(Some(message)) => return Ok(Some(message)),
            Ok(None) => {}
            Err(_) => return Ok(None),
        }
        match socket.read(&mut bytes)? {
            0 => return Ok(None),
            count => receive_buffer.push(&bytes[..count]),
        }
    }
}

fn serve_connection(
    mut socket: TcpStream,
    group: &HostGroup,
    primary: bool,
    behavior: HostBehavior,
) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let mut receive_buffer = ReceiveBuffer::default();
    let mut bytes = [0; 4096];
    while matches!(receive_buffer.next_startup_packet(), Ok(None)) {
        match socket.read(&mut bytes)? {
            0 => return Ok(()),
            count => receive_buffer.push(&bytes[..count]),
        }
    }
    let value = vec![7; behavior.value_bytes];
    let row = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), &value].concat();
    let mut out = Vec::new();
    codec::write_message(&mut out, b'R', &[0; 4]);
    codec::write_ready_for_query(&mut out);
    loop {
        socket.write_all(&out)?;
        let Some(statement) = read_message(&mut socket, &mut receive_buffer)? else { return Ok(()) };
        out.clear();
        let writes = statement.body.starts_with(b"INSERT");
        let now = unix_ms();
        if writes && !primary {
            codec::write_error_response(&mut out, "ERROR", "25006", "read only", None);
        } else {
            group.statements.fetch_add(1, Ordering::Relaxed);
            if writes {
                group.last_commit_ms.fetch_max(now, Ordering::SeqCst);
            }
            codec::write_message(&mut out, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
            codec::write_message(&mut out, b'D', &row);
            codec::write_message(&mut out, b'C', if writes { b"INSERT 0 1\0" } else { b"SELECT 1\0" });
            let position = if primary { now } else { now - behavior.lag_ms };
            codec::write_parameter_status(&mut out, "part", if primary { "master" } else { "replica" });
            codec::write_parameter_status(&mut out, "caught_up_to", &position.to_string());
        }
        codec::write_ready_for_query(&mut out);
    }
}
