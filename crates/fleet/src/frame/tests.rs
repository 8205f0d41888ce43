//! Tests of the frame around datagrams.

use super::*;

/// Guards against foreign and damaged datagrams: those of a fleet with another name, with any single bit changed, or
/// truncated to any length are rejected. A message that is too long is not encoded.
#[test]
fn foreign_and_damaged_datagrams_are_rejected() {
    let (ours, theirs) = (fleet_tag("ours"), fleet_tag("theirs"));
    let datagram = encode(ours, MessageKind::AcceptorRequest, b"message").expect("short");
    assert_eq!(decode(ours, &datagram), Ok((MessageKind::AcceptorRequest, &b"message"[..])));
    assert_eq!(decode(theirs, &datagram), Err(FrameError::Fleet));
    for length in 0..datagram.len() {
        assert!(decode(ours, &datagram[..length]).is_err(), "cut to {length}");
    }
    for at in 0..datagram.len() {
        for bit in 0..8 {
            let mut changed = datagram.clone();
            changed[at] ^= 1 << bit;
            assert!(decode(ours, &changed).is_err(), "bit {bit} of byte {at}");
        }
    }
    assert_eq!(encode(ours, MessageKind::Order, &[0; MAX_MESSAGE_BYTES + 1]), None);
    let longest = encode(ours, MessageKind::Order, &[0; MAX_MESSAGE_BYTES]);
    assert!(longest.is_some_and(|datagram| decode(ours, &datagram).is_ok()));
}

/// Guards the format: a datagram written by the first version is still read.
#[test]
fn a_datagram_of_the_first_version_is_read() {
    let content = [0x44, 0x46, 0x01, 0x04, 0x2a, 0x5c, 0x4e, 0xfa, 0x50, 0x19, 0xe6, 0x12, 0x68, 0x69];
    let checksum = crc32fast::hash(&content).to_le_bytes();
    let datagram = [&content[..], &checksum].concat();
    let tag = u64::from_le_bytes([0x2a, 0x5c, 0x4e, 0xfa, 0x50, 0x19, 0xe6, 0x12]);
    assert_eq!(decode(tag, &datagram), Ok((MessageKind::Order, &b"hi"[..])));
}
