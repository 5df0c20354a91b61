use bytes::Bytes;
use tarragon_agreement::Entry;
use tarragon_names::{LogIndex, Term};
use tarragon_storage::{FileStore, LogStore, MemStore};
use yare::parameterized;

use crate::{ID, entries, meta};

fn write_all(store: &mut dyn LogStore) {
    store.recover().unwrap();
    store.append(&entries(1, 1..=10)).unwrap();
    store.save_vote(Term(2), Some(ID)).unwrap();
    store
        .save_snapshot(&meta(1, 6), &Bytes::from_static(b"state"))
        .unwrap();
    store.truncate_from(LogIndex(9)).unwrap();
    store.append(&entries(2, 9..=12)).unwrap();
    store.sync().unwrap();
}

fn assert_recovered(store: &mut dyn LogStore) {
    let recovered = store.recover().unwrap();
    assert_eq!(recovered.id, ID);
    assert_eq!((recovered.term, recovered.voted_for), (Term(2), Some(ID)));
    let state = Bytes::from_static(b"state");
    assert_eq!(recovered.snapshot, Some((meta(1, 6), state)));
    let expected: Vec<Entry> = [entries(1, 7..=8), entries(2, 9..=12)].concat();
    assert_eq!(recovered.entries, expected);
}

/// Guards against a lost vote, snapshot or entry, and against a truncated entry that reappears.
#[test]
fn file_store_recovers_what_was_synced() {
    let dir = tempfile::tempdir().unwrap();
    write_all(&mut FileStore::create(dir.path(), ID).unwrap());
    // The second recovery checks that the first one left the folder intact.
    assert_recovered(&mut FileStore::open(dir.path()).unwrap());
    assert_recovered(&mut FileStore::open(dir.path()).unwrap());
}

/// Guards against a memory store that behaves differently from the file store.
#[test]
fn memory_store_recovers_what_was_written() {
    let mut store = MemStore::new(ID);
    write_all(&mut store);
    assert_recovered(&mut store);
}

/// Guards against entries kept in conflict with a snapshot received from the leader.
#[parameterized(
    log_ends_before_the_snapshot = { 1..=5, vec![] },
    different_term_at_the_snapshot = { 1..=12, vec![] },
)]
fn conflicting_snapshot_replaces_the_log(
    appended: std::ops::RangeInclusive<u64>,
    kept: Vec<Entry>,
) {
    let dir = tempfile::tempdir().unwrap();
    let mut store = FileStore::create(dir.path(), ID).unwrap();
    store.recover().unwrap();
    store.append(&entries(1, appended)).unwrap();
    store.save_snapshot(&meta(3, 10), &Bytes::new()).unwrap();
    drop(store);
    let recovered = FileStore::open(dir.path()).unwrap().recover().unwrap();
    assert_eq!(recovered.entries, kept);
}

/// Guards against a recovery that fails or reorders entries of a log as large as a host may have.
#[test]
fn recovers_a_hundred_thousand_records() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = FileStore::create(dir.path(), ID).unwrap();
    store.recover().unwrap();
    for first in (1..=100_000).step_by(1_000) {
        store.append(&entries(1, first..=first + 999)).unwrap();
    }
    store.sync().unwrap();
    drop(store);
    let recovered = FileStore::open(dir.path()).unwrap().recover().unwrap();
    assert!(recovered.entries == entries(1, 1..=100_000));
}
