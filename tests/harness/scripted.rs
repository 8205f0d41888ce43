//! Hosts and discovery calls whose every step a test scripts: hosts accept, greet and answer when the test says so.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use dunemount::net::pool::MIN_REST;
use dunemount::pg::codec::{self, CancelKey, ReceiveBuffer};
use socket2::SockRef;

use super::process::POLL_INTERVAL;
use super::{bind_loopback, listing, next_frame, ClientConnection, Harness};

/// A host whose every step the test scripts.
pub struct Host {
    pub listener: TcpListener,
}

/// A connection of the gateway to such a host.
pub struct HostConnection {
    pub socket: TcpStream,
    pub inbox: ReceiveBuffer,
}

impl Host {
    pub fn new() -> Host {
        Host { listener: bind_loopback() }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Accepts the gateway's next connection and reads its startup packet, without a greeting yet.
    pub fn accept_startup(&self) -> HostConnection {
        let (socket, _) = self.listener.accept().expect("a connection");
        Host::read_startup(socket)
    }

    fn read_startup(mut socket: TcpStream) -> HostConnection {
        let (mut inbox, mut bytes) = (ReceiveBuffer::default(), [0; 4096]);
        while inbox.next_startup_packet().expect("a startup").is_none() {
            let count = socket.read(&mut bytes).expect("a startup");
            inbox.push(&bytes[..count]);
        }
        HostConnection { socket, inbox }
    }

    pub fn accept_ready(&self) -> HostConnection {
        let mut link = self.accept_startup();
        link.greet();
        link
    }
}

/// All connections of the gateway to a host, of which any may carry the next statement.
pub struct HostConnections<'a> {
    host: &'a Host,
    open: Vec<HostConnection>,
}

impl<'a> HostConnections<'a> {
    pub fn new(host: &'a Host) -> HostConnections<'a> {
        host.listener.set_nonblocking(true).expect("a listener");
        HostConnections { host, open: Vec::new() }
    }

    /// Waits for the gateway's next connection and reads its startup packet, without a greeting yet.
    pub fn accept_startup(&mut self) -> HostConnection {
        loop {
            if let Some(connection) = self.try_accept_startup() {
                return connection;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn try_accept_startup(&mut self) -> Option<HostConnection> {
        let (socket, _) = self.host.listener.accept().ok()?;
        socket.set_nonblocking(false).expect("a socket");
        Some(Host::read_startup(socket))
    }

    /// Adds a connection that has been greeted.
    pub fn add(&mut self, connection: HostConnection) {
        self.open.push(connection);
    }

    /// Resets all connections.
    pub fn reset(&mut self) {
        self.open.drain(..).for_each(HostConnection::reset);
    }

    /// Waits for the next statement on any connection, new ones included, and gives its connection with it.
    pub fn next_statement(&mut self) -> (&mut HostConnection, String) {
        loop {
            if let Some(mut connection) = self.try_accept_startup() {
                connection.greet();
                self.open.push(connection);
            }
            if let Some(index) = self.open.iter().position(HostConnection::is_readable) {
                match self.open[index].next_statement() {
                    Some(statement) => return (&mut self.open[index], statement),
                    None => drop(self.open.remove(index)),
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Starts a gateway with this number of workers and these hosts, the first of them the primary.
pub fn start_gateway(hosts: &[&Host], cores: usize) -> Harness {
    let endpoints: Vec<SocketAddr> = hosts.iter().map(|host| host.address()).collect();
    Harness::with_list(200, cores, listing(&endpoints))
}

/// An answer in one row, with role and position.
pub fn answer(role: &str, position: Option<u64>) -> Vec<u8> {
    answer_with(b"ok", role, position)
}

/// An answer in one row of this value, with role and position.
pub fn answer_with(value: &[u8], role: &str, position: Option<u64>) -> Vec<u8> {
    let mut out = Vec::new();
    codec::write_message(&mut out, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x11\0\0\0\0\0\0\0\x01");
    codec::write_message(&mut out, b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat());
    codec::write_message(&mut out, b'C', b"SELECT 1\0");
    codec::write_parameter_status(&mut out, "part", role);
    if let Some(position) = position {
        codec::write_parameter_status(&mut out, "caught_up_to", &position.to_string());
    }
    codec::write_ready_for_query(&mut out);
    out
}

impl HostConnection {
    pub fn greet(&mut self) {
        let mut out = Vec::new();
        codec::write_message(&mut out, b'R', &[0; 4]);
        codec::write_ready_for_query(&mut out);
        self.socket.write_all(&out).expect("written");
    }

    /// Reads the next statement, or `None` if the gateway has closed the connection.
    pub fn next_statement(&mut self) -> Option<String> {
        let frame = next_frame(&mut self.socket, &mut self.inbox)?;
        Some(String::from_utf8_lossy(&frame.body).trim_end_matches('\0').to_string())
    }

    /// Whether bytes or the end of the connection have arrived.
    fn is_readable(&self) -> bool {
        self.socket.set_nonblocking(true).expect("a socket");
        let peeked = self.socket.peek(&mut [0]);
        self.socket.set_nonblocking(false).expect("a socket");
        peeked.is_ok()
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).expect("written");
    }

    pub fn reset(self) {
        SockRef::from(&self.socket).set_linger(Some(std::time::Duration::ZERO)).expect("a socket");
    }
}

/// Waits until connections whose answers clients have received may carry the next statement.
pub fn let_connections_rest() {
    std::thread::sleep(std::time::Duration::from_micros(2 * MIN_REST.0));
}

/// Accepts the next call to discovery; gives its socket and text.
pub fn accept_discovery_call(discovery: &TcpListener) -> (TcpStream, String) {
    let (mut socket, _) = discovery.accept().expect("a call");
    let mut bytes = [0; 4096];
    let count = socket.read(&mut bytes).expect("a request");
    (socket, String::from_utf8_lossy(&bytes[..count]).to_string())
}

/// Connects a new client, reads the greeting and gives the connection with its cancel key.
pub fn client_with_key(harness: &Harness) -> (ClientConnection, CancelKey) {
    connect_with_key(harness.address)
}

/// The same for a gateway at this address.
pub fn connect_with_key(address: SocketAddr) -> (ClientConnection, CancelKey) {
    let mut socket = TcpStream::connect(address).expect("accepted");
    let mut startup = Vec::new();
    codec::write_startup_packet(&mut startup, "app", "shop");
    socket.write_all(&startup).expect("written");
    let mut connection = ClientConnection { socket, inbox: ReceiveBuffer::default() };
    let greeting = connection.answer();
    let key = greeting.iter().find(|frame| frame.tag == b'K').expect("a key");
    let field = |at: usize| u32::from_be_bytes(key.body[at..at + 4].try_into().expect("four bytes"));
    (connection, CancelKey { process: field(0), secret: field(4) })
}

/// Sends a cancel request and waits until the gateway has closed its connection; it sends no answer, whatever the key.
pub fn cancel(address: SocketAddr, key: CancelKey) {
    let mut socket = TcpStream::connect(address).expect("accepted");
    let mut bytes = Vec::new();
    codec::write_cancel_request(&mut bytes, key);
    socket.write_all(&bytes).expect("written");
    let mut response = Vec::new();
    socket.read_to_end(&mut response).expect("closed in order");
    assert!(response.is_empty(), "{response:?}");
}
