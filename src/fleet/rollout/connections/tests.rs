//! Tests of the connections of one thread.

use std::net::{Shutdown, TcpListener};
use std::time::Duration;

use super::*;

fn connections(max_connections: usize) -> Connections {
    Connections::new(Arc::new(Poller::new().expect("a poller")), 5, max_connections)
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Runs one turn. Returns whether a connection was established, and the number of bytes received.
fn turn(connections: &mut Connections) -> (bool, usize) {
    let mut ready = Vec::new();
    let wait = Some(Duration::from_millis(10));
    connections.poller.wait(&mut ready, wait).expect("the poller waits");
    let (mut is_established, mut count) = (false, 0);
    connections.handle_ready(&ready, |_, event| match event {
        ConnectionEvent::Established => is_established = true,
        ConnectionEvent::Received(bytes) => count += bytes.len(),
    });
    (is_established, count)
}

/// Guards memory: a receiver that does not read is disconnected once more bytes wait for it than a few documents have.
/// The loss is reported once.
#[test]
fn a_receiver_that_does_not_read_is_disconnected() {
    let (listener, address) = listener();
    let mut connections = connections(1);
    connections.connect(ConnectionId(1), address);
    let (_silent, _) = listener.accept().expect("a pending connection");
    while !turn(&mut connections).0 {}
    let bytes: Arc<[u8]> = vec![7; MAX_FRAME_BYTES].into();
    // The size of the system's buffers is not limited here, only that of the bytes that wait behind them.
    let sent = (0..1_000).take_while(|_| {
        connections.send(ConnectionId(1), bytes.clone());
        connections.lost.is_empty()
    });
    assert!(sent.count() < 1_000);
    assert_eq!((connections.next_lost(), connections.next_lost()), (Some(ConnectionId(1)), None));
    assert!(connections.open.is_empty() && connections.indices.is_empty());
}

/// Guards the other connections of a thread: a connection on which bytes arrive continuously is read a limited number
/// of times in a turn.
#[test]
fn a_turn_reads_a_limited_number_of_bytes() {
    let (listener, address) = listener();
    let mut connections = connections(1);
    connections.connect(ConnectionId(1), address);
    let (mut sender, _) = listener.accept().expect("a pending connection");
    while !turn(&mut connections).0 {}
    let writer = std::thread::spawn(move || {
        let written = sender.write_all(&vec![7; 4 * MAX_READS * READ_BYTES]);
        drop(sender);
        written
    });
    let mut all = 0;
    while connections.lost.is_empty() {
        let (_, count) = turn(&mut connections);
        assert!(count <= MAX_READS * READ_BYTES, "{count} bytes in a turn");
        all += count;
    }
    writer.join().expect("no panic").expect("written");
    assert_eq!(
        (all, connections.received),
        (4 * MAX_READS * READ_BYTES, (4 * MAX_READS * READ_BYTES) as u64)
    );
}

/// Guards the last message: bytes sent before the close are received, and no further event of the connection is
/// reported.
#[test]
fn bytes_sent_before_the_close_are_received() {
    let (listener, address) = listener();
    let mut client = TcpStream::connect(address).expect("accepted");
    let (socket, _) = listener.accept().expect("a pending connection");
    let mut connections = connections(1);
    connections.add_accepted(ConnectionId(1), socket);
    let bytes: Arc<[u8]> = vec![7; MAX_DOCUMENT_BYTES / 2].into();
    let mut count = 0;
    // Until the system's buffers are full.
    while connections.open[0].unsent_bytes == 0 {
        connections.send(ConnectionId(1), bytes.clone());
        count += bytes.len();
    }
    connections.close_after_sending(ConnectionId(1));
    let reader = std::thread::spawn(move || {
        let mut all = Vec::new();
        client.read_to_end(&mut all).map(|_| all.len())
    });
    while !connections.open.is_empty() {
        turn(&mut connections);
    }
    assert_eq!(reader.join().expect("no panic").expect("read"), count);
    assert_eq!(connections.next_lost(), None);
}

/// Guards the report of connections that cannot be established, exceed the limit or are closed by the peer.
#[test]
fn lost_connections_are_reported() {
    let (listener, address) = listener();
    drop(listener);
    let mut connections = connections(1);
    connections.connect(ConnectionId(1), address);
    while connections.lost.is_empty() {
        turn(&mut connections);
    }
    assert_eq!(connections.next_lost(), Some(ConnectionId(1)));
    let (listener, address) = self::listener();
    connections.connect(ConnectionId(2), address);
    connections.connect(ConnectionId(3), address);
    assert_eq!(connections.next_lost(), Some(ConnectionId(3)), "the limit is one");
    let (socket, _) = listener.accept().expect("a pending connection");
    while !turn(&mut connections).0 {}
    socket.shutdown(Shutdown::Both).expect("shut");
    while connections.lost.is_empty() {
        turn(&mut connections);
    }
    assert_eq!(connections.next_lost(), Some(ConnectionId(2)));
    connections.connect(ConnectionId(4), address);
    connections.close(ConnectionId(4));
    assert!(
        connections.open.is_empty() && connections.lost.is_empty(),
        "no further event of a closed connection is reported"
    );
}
