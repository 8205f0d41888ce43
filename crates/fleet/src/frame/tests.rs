//! Datagrams of the fleet.

use super::*;

/// Guards the fleet against what is not its own: every byte changed, every length cut, another name.
#[test]
fn what_is_not_this_fleets_is_dropped() {
    let (ours, theirs) = (tag("ours"), tag("theirs"));
    let datagram = wrap(ours, Kind::Call, b"message").expect("short");
    assert_eq!(open(ours, &datagram), Ok((Kind::Call, &b"message"[..])));
    assert_eq!(open(theirs, &datagram), Err(Bad::Fleet));
    for length in 0..datagram.len() {
        assert!(open(ours, &datagram[..length]).is_err(), "cut to {length}");
    }
    for at in 0..datagram.len() {
        for bit in 0..8 {
            let mut changed = datagram.clone();
            changed[at] ^= 1 << bit;
            assert!(open(ours, &changed).is_err(), "bit {bit} of byte {at}");
        }
    }
    assert_eq!(wrap(ours, Kind::Order, &[0; ROOM + 1]), None);
    assert!(wrap(ours, Kind::Order, &[0; ROOM]).is_some_and(|d| open(ours, &d).is_ok()));
}

/// Guards the form: a datagram kept from the first version is still read.
#[test]
fn a_datagram_of_the_first_form_is_read() {
    let kept = [0x44, 0x46, 0x01, 0x04, 0x2a, 0x5c, 0x4e, 0xfa, 0x50, 0x19, 0xe6, 0x12, 0x68, 0x69];
    let sum = crc32fast::hash(&kept).to_le_bytes();
    let datagram = [&kept[..], &sum].concat();
    let tag = u64::from_le_bytes([0x2a, 0x5c, 0x4e, 0xfa, 0x50, 0x19, 0xe6, 0x12]);
    assert_eq!(open(tag, &datagram), Ok((Kind::Order, &b"hi"[..])));
}
