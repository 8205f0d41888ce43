//! Tests of an acceptor's file.

use super::*;

fn folder(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("dunemount-voter-{test}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Guards promises: a file that is cut at any byte, has any byte changed or is too long is not used. Its acceptor
/// starts uninitialized, and the reason is returned.
#[test]
fn a_file_cut_at_any_byte_is_not_used() {
    let folder = folder("cut");
    let path = folder.join("voter");
    let file = AcceptorFile::new(&path);
    file.create(AcceptorSlot(1)).expect("written");
    assert!(file.create(AcceptorSlot(1)).is_err(), "an existing file is not replaced");
    let complete = fs::read(&path).expect("there");
    assert!(!file.load(AcceptorSlot(1), 7).expect("read").0.is_uninitialized());
    for length in 0..complete.len() {
        fs::write(&path, &complete[..length]).expect("cut");
        let (acceptor, unusable) = file.load(AcceptorSlot(1), 7).expect("read");
        assert!(acceptor.is_uninitialized() && unusable.is_some(), "cut to {length}");
    }
    for at in 0..complete.len() {
        let mut changed = complete.clone();
        changed[at] ^= 0x10;
        fs::write(&path, &changed).expect("changed");
        assert!(file.load(AcceptorSlot(1), 7).expect("read").0.is_uninitialized(), "byte {at}");
    }
    fs::write(&path, [&complete[..], b"x"].concat()).expect("longer");
    assert!(file.load(AcceptorSlot(1), 7).expect("read").0.is_uninitialized());
    fs::remove_dir_all(folder).expect("its own");
}

/// Guards promises on a disk that cannot be written: a failed store is reported.
#[test]
fn a_failed_store_is_reported() {
    let folder = folder("full");
    let mut file = AcceptorFile::new(&folder.join("none").join("voter"));
    assert!(!file.store(b"bytes"));
    assert!(file.store_error().is_some());
    fs::remove_dir_all(folder).expect("its own");
}
