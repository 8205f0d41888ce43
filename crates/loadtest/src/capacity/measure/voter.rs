//! A voter's storage: the bytes and the time of storing one promise or acceptance with the gateway's own
//! `AcceptorFile` on the given disk.

use std::time::Instant;

use dunemount::fleet::acceptor_file::AcceptorFile;
use dunemount_fleet::acceptor::{Acceptor, RequestOutcome};
use dunemount_fleet::frame::{self, MessageKind};
use dunemount_fleet::lease::LeaseRecord;
use dunemount_fleet::messages::{AcceptorReply, AcceptorRequest, Operation};
use dunemount_fleet::node::AcceptorStorage;
use dunemount_fleet::node_id::NodeId;
use dunemount_fleet::register::{AcceptorSet, AcceptorSlot, Ballot};
use serde::Serialize;

use super::{Measurements, Setup};
use crate::capacity::slopes::Point;

/// Numbers of registers, one for each group.
const REGISTER_COUNTS: [usize; 6] = [50, 100, 200, 400, 700, 1_000];
/// Lease renewals timed in a round; each stores twice.
const RENEWALS: usize = 20;

/// Sends a request to the voter, stores the new state on the disk if one is given, and returns the reply and the size
/// of the file in bytes, 0 if nothing had to be stored.
fn send_request(
    voter: &mut Acceptor,
    request: AcceptorRequest,
    file: Option<&mut AcceptorFile>,
) -> Result<(AcceptorReply, usize), String> {
    match voter.handle_request(request) {
        RequestOutcome::Reply(reply) => Ok((reply, 0)),
        RequestOutcome::Store(pending) => {
            let bytes = pending.file_bytes();
            if file.is_some_and(|file| !file.store(&bytes)) {
                return Err("the voter's file cannot be written".into());
            }
            Ok((pending.stored(), bytes.len()))
        }
    }
}

/// The two requests of a lease renewal.
fn renewal(register: usize, renewal_count: u64) -> [AcceptorRequest; 2] {
    let owner = NodeId::from_start(&format!("gw-{register}"), 0);
    let (key, ballot) =
        (format!("survey/{register}"), Ballot { counter: 1_000 + renewal_count, proposer: owner });
    let value =
        LeaseRecord { epoch: 7, holder: Some(owner), renewal: renewal_count, requested_by: None }.encode();
    let request_for = |operation| AcceptorRequest {
        acceptors: AcceptorSet::default(),
        nonce: owner.0 ^ renewal_count,
        operation,
    };
    [
        request_for(Operation::Prepare { key: key.clone(), ballot }),
        request_for(Operation::Accept { key, ballot, value }),
    ]
}

fn datagram_bytes(kind: MessageKind, message: &impl Serialize) -> Result<usize, String> {
    let bytes = postcard::to_stdvec(message).map_err(|e| e.to_string())?;
    frame::encode(0, kind, &bytes)
        .map(|bytes| bytes.len())
        .ok_or("a message exceeds the datagram size".into())
}

/// Measures the size of the file, the time of a store, and the datagrams.
///
/// # Errors
/// The directory or the voter's file cannot be written, or a message cannot be encoded.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut measurements = Measurements::default();
    let directory = setup.disk.join(format!("dunemount-slope-voter-{}", std::process::id()));
    std::fs::create_dir_all(&directory).map_err(|e| format!("{}: {e}", directory.display()))?;
    let result = measure_rounds(setup, &directory.join("voter"), &mut measurements);
    let _ = std::fs::remove_dir_all(&directory);
    result.map(|()| measurements.points())
}

fn measure_rounds(
    setup: &Setup,
    path: &std::path::Path,
    measurements: &mut Measurements,
) -> Result<(), String> {
    for _ in 0..setup.rounds {
        for registers in REGISTER_COUNTS {
            let mut voter = Acceptor::founding(AcceptorSlot(0));
            for register in 0..registers {
                for request in renewal(register, 1) {
                    send_request(&mut voter, request, None)?;
                }
            }
            if voter.register_count() != registers {
                return Err(format!(
                    "the voter holds {} registers, expected {registers}",
                    voter.register_count()
                ));
            }
            let mut file = AcceptorFile::new(path);
            let (mut elapsed_us, mut file_bytes, mut total_datagram_bytes) = (0.0, 0, 0);
            for renewal_count in 0..RENEWALS {
                for request in renewal(renewal_count * registers / RENEWALS, 1_000_000 + renewal_count as u64)
                {
                    total_datagram_bytes += datagram_bytes(MessageKind::AcceptorRequest, &request)?;
                    let start = Instant::now();
                    let (reply, bytes) = send_request(&mut voter, request, Some(&mut file))?;
                    elapsed_us += start.elapsed().as_secs_f64() * 1e6;
                    file_bytes = bytes;
                    total_datagram_bytes += datagram_bytes(MessageKind::AcceptorReply, &reply)?;
                }
            }
            let stores = (2 * RENEWALS) as f64;
            measurements.add("voter_store_us", registers, elapsed_us / stores);
            measurements.add("voter_file_bytes", registers, file_bytes as f64);
            measurements.add("voter_datagram_bytes", registers, total_datagram_bytes as f64 / stores / 2.0);
        }
    }
    Ok(())
}
