use std::{fs, path::Path};

use bytes::Bytes;
use tarragon_codes::Code;
use tarragon_names::Term;
use tarragon_storage::{FileStore, LogStore};
use yare::parameterized;

use crate::{ID, entries, meta};

/// Writes three synced batches of ten records and an unsynced batch of five. Returns the length of
/// the synced part of the log file.
fn write_batches(dir: &Path) -> usize {
    let mut store = FileStore::create(dir, ID).unwrap();
    store.recover().unwrap();
    for first in [1, 11, 21] {
        store.append(&entries(1, first..=first + 9)).unwrap();
        store.sync().unwrap();
    }
    let synced_len = fs::metadata(dir.join("log")).unwrap().len() as usize;
    store.append(&entries(1, 31..=35)).unwrap();
    store.save_vote(Term(1), None).unwrap();
    synced_len
}

/// Guards against a torn tail that prevents a host from starting or that hides synced entries.
#[parameterized(
    torn_in_the_header = { 7 },
    torn_in_the_payload = { 30 },
    missing = { 0 },
)]
fn torn_tail_is_cut_off(tail_len: usize) {
    let dir = tempfile::tempdir().unwrap();
    let synced_len = write_batches(dir.path());
    let log = dir.path().join("log");
    let file = fs::read(&log).unwrap();
    fs::write(&log, &file[..synced_len + tail_len]).unwrap();
    let mut store = FileStore::open(dir.path()).unwrap();
    assert_eq!(store.recover().unwrap().entries, entries(1, 1..=30));
    // Entries appended after the cut must be readable at the next start.
    store.append(&entries(2, 31..=32)).unwrap();
    store.sync().unwrap();
    drop(store);
    let recovered = FileStore::open(dir.path()).unwrap().recover().unwrap();
    assert_eq!(recovered.entries.len(), 32);
}

/// Guards against unsynced pages that reach the disk out of order and are reported as corruption.
#[test]
fn zeroed_range_in_the_unsynced_part_is_cut_off() {
    let dir = tempfile::tempdir().unwrap();
    let synced_len = write_batches(dir.path());
    let log = dir.path().join("log");
    let mut file = fs::read(&log).unwrap();
    file[synced_len..synced_len + 30].fill(0);
    fs::write(&log, &file).unwrap();
    let recovered = FileStore::open(dir.path()).unwrap().recover().unwrap();
    assert_eq!(recovered.entries, entries(1, 1..=30));
}

/// Guards against a damaged synced record that is skipped without an error.
#[parameterized(
    length_of_the_first_record = { 24 },
    payload_of_the_first_record = { 45 },
    a_later_record = { 700 },
)]
fn corrupt_synced_record_is_reported(offset: usize) {
    let dir = tempfile::tempdir().unwrap();
    write_batches(dir.path());
    let log = dir.path().join("log");
    let mut file = fs::read(&log).unwrap();
    file[offset] ^= 0x10;
    fs::write(&log, &file).unwrap();
    let failure = FileStore::open(dir.path()).unwrap().recover().unwrap_err();
    assert_eq!(failure.code, Code::CorruptRecord);
}

/// Guards against a member that loses its vote or its log and keeps its identity.
#[parameterized(
    vote = { "vote" },
    log = { "log" },
)]
fn missing_file_is_reported(name: &str) {
    let dir = tempfile::tempdir().unwrap();
    write_batches(dir.path());
    fs::remove_file(dir.path().join(name)).unwrap();
    let failure = FileStore::open(dir.path()).unwrap().recover().unwrap_err();
    assert_eq!(failure.code, Code::CorruptRecord);
}

/// Guards against a crash between saving a snapshot and rewriting the log.
#[test]
fn log_entries_covered_by_the_snapshot_are_deleted() {
    let dir = tempfile::tempdir().unwrap();
    write_batches(dir.path());
    let log = fs::read(dir.path().join("log")).unwrap();
    let mut store = FileStore::open(dir.path()).unwrap();
    store.recover().unwrap();
    store.save_snapshot(&meta(1, 20), &Bytes::new()).unwrap();
    drop(store);
    fs::write(dir.path().join("log"), log).unwrap();
    let recovered = FileStore::open(dir.path()).unwrap().recover().unwrap();
    assert_eq!(recovered.entries, entries(1, 21..=35));
}

/// Guards against a damaged vote file that is read as a different vote.
#[test]
fn corrupt_vote_is_reported() {
    let dir = tempfile::tempdir().unwrap();
    write_batches(dir.path());
    let vote = dir.path().join("vote");
    let mut file = fs::read(&vote).unwrap();
    *file.last_mut().unwrap() ^= 1;
    fs::write(&vote, &file).unwrap();
    let failure = FileStore::open(dir.path()).unwrap().recover().unwrap_err();
    assert_eq!(failure.code, Code::CorruptRecord);
}
