//! Connections of one thread.

use std::net::{Shutdown, TcpListener};
use std::time::Duration;

use super::*;

fn connections(most: usize) -> Connections {
    Connections::new(Arc::new(Poller::new().expect("a poller")), 5, most)
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// One turn: whether a connection came up, and the bytes that came.
fn turn(connections: &mut Connections) -> (bool, usize) {
    let mut ready = Vec::new();
    let wait = Some(Duration::from_millis(10));
    connections.poller.wait(&mut ready, wait).expect("it waits");
    let (mut up, mut count) = (false, 0);
    connections.handle_ready(&ready, |_, event| match event {
        ConnectionEvent::Established => up = true,
        ConnectionEvent::Received(bytes) => count += bytes.len(),
    });
    (up, count)
}

/// Guards memory: whoever does not read is let go once more than a few documents wait for it, and is told of once.
#[test]
fn who_does_not_read_is_let_go() {
    let (listener, address) = listener();
    let mut connections = connections(1);
    connections.connect(ConnectionId(1), address);
    let (_silent, _) = listener.accept().expect("it comes");
    while !turn(&mut connections).0 {}
    let bytes: Arc<[u8]> = vec![7; MAX_FRAME_BYTES].into();
    // What the system takes is not bounded here; what waits behind it is.
    let sent = (0..1_000).take_while(|_| {
        connections.send(ConnectionId(1), bytes.clone());
        connections.lost.is_empty()
    });
    assert!(sent.count() < 1_000);
    assert_eq!((connections.next_lost(), connections.next_lost()), (Some(ConnectionId(1)), None));
    assert!(connections.open.is_empty() && connections.indices.is_empty());
}

/// Guards the other connections of a thread: one that sends without end gets its part of a turn.
#[test]
fn a_turn_reads_its_part_and_no_more() {
    let (listener, address) = listener();
    let mut connections = connections(1);
    connections.connect(ConnectionId(1), address);
    let (mut loud, _) = listener.accept().expect("it comes");
    while !turn(&mut connections).0 {}
    let writer = std::thread::spawn(move || {
        let written = loud.write_all(&vec![7; 4 * MAX_READS * READ_BYTES]);
        drop(loud);
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

/// Guards the last word: what was said before the end arrives, and nothing more is told of the connection.
#[test]
fn what_was_said_arrives_before_the_end() {
    let (listener, address) = listener();
    let mut client = TcpStream::connect(address).expect("accepted");
    let (socket, _) = listener.accept().expect("it comes");
    let mut connections = connections(1);
    connections.add_accepted(ConnectionId(1), socket);
    let bytes: Arc<[u8]> = vec![7; MAX_DOCUMENT_BYTES / 2].into();
    let mut count = 0;
    // Until the system takes no more.
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

/// Guards whoever waits for a connection: one that cannot be made, one too many and one that ends are told.
#[test]
fn what_cannot_be_had_is_told() {
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
    assert_eq!(connections.next_lost(), Some(ConnectionId(3)), "there is room for one");
    let (socket, _) = listener.accept().expect("it comes");
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
        "nothing more is said of one that was closed"
    );
}
