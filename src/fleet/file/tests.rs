//! A voter's file.

use super::*;

fn folder(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("dunemount-voter-{test}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Guards promises: a file cut at any byte, or with any byte changed, is not used, and neither is one that is
/// longer; its voter starts blank and says why.
#[test]
fn a_file_cut_at_any_byte_is_not_used() {
    let folder = folder("cut");
    let path = folder.join("voter");
    let file = VoterFile::at(&path);
    file.found(AcceptorSlot(1)).expect("written");
    assert!(file.found(AcceptorSlot(1)).is_err(), "never over one that is there");
    let whole = fs::read(&path).expect("there");
    assert!(!file.voter(AcceptorSlot(1), 7).expect("read").0.is_uninitialized());
    for length in 0..whole.len() {
        fs::write(&path, &whole[..length]).expect("cut");
        let (voter, why) = file.voter(AcceptorSlot(1), 7).expect("read");
        assert!(voter.is_uninitialized() && why.is_some(), "cut to {length}");
    }
    for at in 0..whole.len() {
        let mut changed = whole.clone();
        changed[at] ^= 0x10;
        fs::write(&path, &changed).expect("changed");
        assert!(file.voter(AcceptorSlot(1), 7).expect("read").0.is_uninitialized(), "byte {at}");
    }
    fs::write(&path, [&whole[..], b"x"].concat()).expect("longer");
    assert!(file.voter(AcceptorSlot(1), 7).expect("read").0.is_uninitialized());
    fs::remove_dir_all(folder).expect("its own");
}

/// Guards promises on a disk that takes nothing: the step is not stored, and says so.
#[test]
fn what_cannot_be_stored_is_told() {
    let folder = folder("full");
    let mut file = VoterFile::at(&folder.join("none").join("voter"));
    assert!(!file.store(b"bytes"));
    assert!(file.failed.is_some());
    fs::remove_dir_all(folder).expect("its own");
}
