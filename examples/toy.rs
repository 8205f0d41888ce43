//! A toy site on loopback, to try the gateway by hand: discovery, a group of three database hosts that keep their items
//! in memory, and a client that sends one statement.
//!
//!     cargo run --example toy                       # the site
//!     cargo run --example toy -- ask "STATEMENT"    # one statement to the gateway, and its answer
//!
//! The hosts share one map, so a replica here never lags. The README has statements to try.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dunemount::pg::codec::{self, Message, ReceiveBuffer};

const GATEWAY: &str = "127.0.0.1:6543";
const DISCOVERY: &str = "127.0.0.1:8500";
const HOSTS: [&str; 3] = ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"];

type Items = Arc<Mutex<BTreeMap<String, Vec<u8>>>>;

fn main() -> io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        [] => run_site(),
        ["ask", statement] => run_statement(statement),
        _ => Err(io::Error::other("usage: toy [ask STATEMENT]")),
    }
}

fn run_site() -> io::Result<()> {
    let items = Items::default();
    for (index, address) in HOSTS.into_iter().enumerate() {
        let listener = TcpListener::bind(address)?;
        let items = items.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let items = items.clone();
                std::thread::spawn(move || serve_host(socket, index, &items));
            }
        });
    }
    println!("hosts at {HOSTS:?}, the first is the primary; discovery at {DISCOVERY}");
    for socket in TcpListener::bind(DISCOVERY)?.incoming().flatten() {
        std::thread::spawn(move || serve_discovery(socket));
    }
    Ok(())
}

/// Answers a call for the whole list immediately, and a watch, after its wait, with no change.
fn serve_discovery(mut socket: TcpStream) -> io::Result<()> {
    let mut call = vec![0; 4096];
    let count = socket.read(&mut call)?;
    let call = String::from_utf8_lossy(&call[..count]).into_owned();
    let is_watch = call.contains("index=1&");
    if is_watch {
        std::thread::sleep(Duration::from_secs(20));
    }
    let entry = |(index, endpoint): (usize, &str)| {
        let part = if index == 0 { "master" } else { "replica" };
        serde_json::json!({"uid": format!("toy-{}", index + 1), "endpoint": endpoint, "az": "here",
            "model": "toy", "pod_group": 1, "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0, "part": part})
    };
    let targets: Vec<_> = HOSTS.into_iter().enumerate().map(entry).filter(|_| !is_watch).collect();
    let body = serde_json::json!({"rev": 1, "all": !is_watch, "targets": targets}).to_string();
    write!(socket, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Serves one connection to a toy host.
fn serve_host(mut socket: TcpStream, index: usize, items: &Items) -> io::Result<()> {
    let mut inbox = ReceiveBuffer::default();
    while inbox.next_startup_packet().map_err(|e| io::Error::other(format!("{e:?}")))?.is_none() {
        read_into(&mut socket, &mut inbox)?;
    }
    let mut out = Vec::new();
    codec::write_message(&mut out, b'R', &[0; 4]);
    codec::write_ready_for_query(&mut out);
    loop {
        socket.write_all(&out)?;
        out.clear();
        let query = next_message(&mut socket, &mut inbox)?;
        let text = String::from_utf8_lossy(&query.body).into_owned();
        let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let quoted: Vec<&str> = text.split('\'').collect();
        let is_write = text.starts_with("INSERT");
        if !text.starts_with("SHOW") {
            println!("host {}: {}", index + 1, text.trim_end_matches('\0'));
        }
        if text.starts_with("SHOW gauges") {
            write_row(
                &mut out,
                format!("x0={:.3},x1={}", clock as f64 / 1000.0, u8::from(index == 0)).as_bytes(),
                "SHOW",
            );
        } else if is_write && index > 0 {
            codec::write_error_response(&mut out, "ERROR", "25006", "this is a replica", None);
        } else if let (true, [_, key, _, doc, ..]) = (is_write, quoted.as_slice()) {
            if let Ok(mut items) = items.lock() {
                items.insert(key.to_string(), doc.as_bytes().to_vec());
            }
            write_row(&mut out, doc.as_bytes(), "INSERT 0 1");
        } else if let (false, [_, key, ..]) = (is_write, quoted.as_slice()) {
            let value = items.lock().ok().and_then(|items| items.get(*key).cloned());
            write_row(&mut out, &value.unwrap_or_else(|| b"nothing yet".to_vec()), "SELECT 1");
        } else {
            codec::write_error_response(&mut out, "ERROR", "08P01", "no statement of this form", None);
        }
        codec::write_parameter_status(&mut out, "part", if index == 0 { "master" } else { "replica" });
        codec::write_parameter_status(&mut out, "caught_up_to", &clock.to_string());
        codec::write_ready_for_query(&mut out);
    }
}

fn write_row(out: &mut Vec<u8>, value: &[u8], tag: &str) {
    codec::write_message(out, b'T', b"\0\x01doc\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0");
    codec::write_message(out, b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat());
    codec::write_message(out, b'C', format!("{tag}\0").as_bytes());
}

/// Sends one statement to the gateway and prints the answer.
fn run_statement(statement: &str) -> io::Result<()> {
    let mut socket = TcpStream::connect(GATEWAY)?;
    let mut bytes = Vec::new();
    codec::write_startup_packet(&mut bytes, "app", "shop");
    codec::write_query(&mut bytes, statement);
    socket.write_all(&bytes)?;
    let (mut inbox, mut ready) = (ReceiveBuffer::default(), 0);
    while ready < 2 {
        let frame = next_message(&mut socket, &mut inbox)?;
        match frame.tag {
            b'Z' => ready += 1,
            b'I' => println!("empty query answered: the gateway is ready"),
            b'D' => println!(
                "served: {}",
                String::from_utf8_lossy(codec::single_column_value(&frame.body).unwrap_or_default())
            ),
            b'E' => {
                let field = |name| codec::error_field(&frame.body, name).unwrap_or_default();
                println!("error {}: {} {}", field(b'C'), field(b'M'), field(b'D'));
            }
            _ => {}
        }
    }
    Ok(())
}

fn next_message(socket: &mut TcpStream, inbox: &mut ReceiveBuffer) -> io::Result<Message> {
    loop {
        if let Some(frame) = inbox.next_message().map_err(|e| io::Error::other(format!("{e:?}")))? {
            return Ok(frame);
        }
        read_into(socket, inbox)?;
    }
}

fn read_into(socket: &mut TcpStream, inbox: &mut ReceiveBuffer) -> io::Result<()> {
    let mut bytes = [0; 4096];
    match socket.read(&mut bytes)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        count => {
            inbox.push(&bytes[..count]);
            Ok(())
        }
    }
}
