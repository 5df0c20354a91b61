use std::{fs, path::Path};

use bytes::Bytes;
use tarragon_codes::Code;
use tarragon_names::Term;
use tarragon_storage::{FileStore, LogStore};
use yare::parameterized;

use crate::{ID, entries, meta};

/// A folder with three synced batches of ten records and one of five that is not synced.
fn written(dir: &Path) -> usize {
    let mut store = FileStore::create(dir, ID).unwrap();
    store.recover().unwrap();
    for first in [1, 11, 21] {
        store.append(&entries(1, first..=first + 9)).unwrap();
        store.sync().unwrap();
    }
    let synced = fs::metadata(dir.join("log")).unwrap().len() as usize;
    store.append(&entries(1, 31..=35)).unwrap();
    store.save_vote(Term(1), None).unwrap();
    synced
}

/// Guards against a torn tail that keeps a host from starting, and one that hides synced entries.
#[parameterized(
    in_the_header = { 7 },
    in_the_payload = { 30 },
    all_of_it = { 0 },
)]
fn torn_tail_is_cut_off(left: usize) {
    let dir = tempfile::tempdir().unwrap();
    let synced = written(dir.path());
    let log = dir.path().join("log");
    let file = fs::read(&log).unwrap();
    fs::write(&log, &file[..synced + left]).unwrap();
    let mut store = FileStore::open(dir.path()).unwrap();
    assert_eq!(store.recover().unwrap().entries, entries(1, 1..=30));
    // What is appended after the cut must not be lost behind it.
    store.append(&entries(2, 31..=32)).unwrap();
    store.sync().unwrap();
    drop(store);
    let recovered = FileStore::open(dir.path()).unwrap().recover().unwrap();
    assert_eq!(recovered.entries.len(), 32);
}

/// Guards against unsynced pages that reach the disk out of order and pass for corruption.
#[test]
fn hole_in_the_unsynced_part_counts_as_torn() {
    let dir = tempfile::tempdir().unwrap();
    let synced = written(dir.path());
    let log = dir.path().join("log");
    let mut file = fs::read(&log).unwrap();
    file[synced..synced + 30].fill(0);
    fs::write(&log, &file).unwrap();
    let recovered = FileStore::open(dir.path()).unwrap().recover().unwrap();
    assert_eq!(recovered.entries, entries(1, 1..=30));
}

/// Guards against a damaged synced record that is skipped without a word.
#[parameterized(
    length_of_the_first_record = { 24 },
    payload_of_the_first_record = { 45 },
    a_later_record = { 700 },
)]
fn corrupt_record_before_the_tail_is_reported(at: usize) {
    let dir = tempfile::tempdir().unwrap();
    written(dir.path());
    let log = dir.path().join("log");
    let mut file = fs::read(&log).unwrap();
    file[at] ^= 0x10;
    fs::write(&log, &file).unwrap();
    let failure = FileStore::open(dir.path()).unwrap().recover().unwrap_err();
    assert_eq!(failure.code, Code::CorruptRecord);
}

/// Guards against a member that forgets its vote or its log and goes on under its old identity.
#[parameterized(
    vote = { "vote" },
    log = { "log" },
)]
fn missing_file_is_reported(name: &str) {
    let dir = tempfile::tempdir().unwrap();
    written(dir.path());
    fs::remove_file(dir.path().join(name)).unwrap();
    let failure = FileStore::open(dir.path()).unwrap().recover().unwrap_err();
    assert_eq!(failure.code, Code::CorruptRecord);
}

/// Guards against a crash after the snapshot was saved and before the log was written anew.
#[test]
fn old_log_beside_a_new_snapshot_is_cut() {
    let dir = tempfile::tempdir().unwrap();
    written(dir.path());
    let log = fs::read(dir.path().join("log")).unwrap();
    let mut store = FileStore::open(dir.path()).unwrap();
    store.recover().unwrap();
    store.save_snapshot(&meta(1, 20), &Bytes::new()).unwrap();
    drop(store);
    fs::write(dir.path().join("log"), log).unwrap();
    let recovered = FileStore::open(dir.path()).unwrap().recover().unwrap();
    assert_eq!(recovered.entries, entries(1, 21..=35));
}

/// Guards against a vote file that is damaged and read as another vote.
#[test]
fn corrupt_vote_is_reported() {
    let dir = tempfile::tempdir().unwrap();
    written(dir.path());
    let vote = dir.path().join("vote");
    let mut file = fs::read(&vote).unwrap();
    *file.last_mut().unwrap() ^= 1;
    fs::write(&vote, &file).unwrap();
    let failure = FileStore::open(dir.path()).unwrap().recover().unwrap_err();
    assert_eq!(failure.code, Code::CorruptRecord);
}
