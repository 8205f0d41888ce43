//! A voter's store: the bytes and the time of one promise or acceptance, put in place by the gateway's own `AcceptorFile` on
//! the disk that is named.

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

use super::{Figures, Setup};
use crate::capacity::slopes::Point;

/// Registers, one for each family.
const REGISTERS: [usize; 6] = [50, 100, 200, 400, 700, 1_000];
/// Renewals timed in a round, of two stores each.
const RENEWALS: usize = 20;

/// Asks the voter; what has to be stored goes to the disk, if there is one. Gives the reply and the file's bytes.
fn ask(
    voter: &mut Acceptor,
    call: AcceptorRequest,
    disk: Option<&mut AcceptorFile>,
) -> Result<(AcceptorReply, usize), String> {
    match voter.handle_request(call) {
        RequestOutcome::Reply(reply) => Ok((reply, 0)),
        RequestOutcome::Store(pending) => {
            let bytes = pending.file_bytes();
            if disk.is_some_and(|disk| !disk.store(&bytes)) {
                return Err("the voter's file cannot be stored".into());
            }
            Ok((pending.stored(), bytes.len()))
        }
    }
}

/// The two calls of a renewal.
fn renewal(register: usize, beat: u64) -> [AcceptorRequest; 2] {
    let owner = NodeId::from_start(&format!("gw-{register}"), 0);
    let (key, ballot) = (format!("survey/{register}"), Ballot { counter: 1_000 + beat, proposer: owner });
    let value = LeaseRecord { epoch: 7, holder: Some(owner), renewal: beat, requested_by: None }.encode();
    let call =
        |operation| AcceptorRequest { acceptors: AcceptorSet::default(), nonce: owner.0 ^ beat, operation };
    [call(Operation::Prepare { key: key.clone(), ballot }), call(Operation::Accept { key, ballot, value })]
}

fn datagram(kind: MessageKind, message: &impl Serialize) -> Result<usize, String> {
    let bytes = postcard::to_stdvec(message).map_err(|e| e.to_string())?;
    frame::encode(0, kind, &bytes).map(|bytes| bytes.len()).ok_or("a call that is too long".into())
}

/// Measures the file, the store and the datagrams.
///
/// # Errors
/// What the disk says.
pub fn measure(setup: &Setup) -> Result<Vec<Point>, String> {
    let mut figures = Figures::default();
    let folder = setup.disk.join(format!("dunemount-slope-voter-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let done = rounds(setup, &folder.join("voter"), &mut figures);
    let _ = std::fs::remove_dir_all(&folder);
    done.map(|()| figures.points())
}

fn rounds(setup: &Setup, path: &std::path::Path, figures: &mut Figures) -> Result<(), String> {
    for _ in 0..setup.rounds {
        for registers in REGISTERS {
            let mut voter = Acceptor::founding(AcceptorSlot(0));
            for register in 0..registers {
                for call in renewal(register, 1) {
                    ask(&mut voter, call, None)?;
                }
            }
            if voter.register_count() != registers {
                return Err(format!("{} of {registers} registers", voter.register_count()));
            }
            let mut disk = AcceptorFile::new(path);
            let (mut took, mut file, mut datagrams) = (0.0, 0, 0);
            for beat in 0..RENEWALS {
                for call in renewal(beat * registers / RENEWALS, 1_000_000 + beat as u64) {
                    datagrams += datagram(MessageKind::AcceptorRequest, &call)?;
                    let from = Instant::now();
                    let (reply, bytes) = ask(&mut voter, call, Some(&mut disk))?;
                    took += from.elapsed().as_secs_f64() * 1e6;
                    file = bytes;
                    datagrams += datagram(MessageKind::AcceptorReply, &reply)?;
                }
            }
            let stores = (2 * RENEWALS) as f64;
            figures.add("voter_store_us", registers, took / stores);
            figures.add("voter_file_bytes", registers, file as f64);
            figures.add("voter_datagram_bytes", registers, datagrams as f64 / stores / 2.0);
        }
    }
    Ok(())
}
