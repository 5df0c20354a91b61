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

fn check(store: &mut dyn LogStore) {
    let recovered = store.recover().unwrap();
    assert_eq!(recovered.id, ID);
    assert_eq!((recovered.term, recovered.voted_for), (Term(2), Some(ID)));
    let state = Bytes::from_static(b"state");
    assert_eq!(recovered.snapshot, Some((meta(1, 6), state)));
    let expected: Vec<Entry> = [entries(1, 7..=8), entries(2, 9..=12)].concat();
    assert_eq!(recovered.entries, expected);
}

/// Guards against a vote, snapshot or entry that is lost, or a truncated entry that returns.
#[test]
fn files_return_what_was_synced() {
    let dir = tempfile::tempdir().unwrap();
    write_all(&mut FileStore::create(dir.path(), ID).unwrap());
    // Recovering twice shows that recovery itself leaves the folder intact.
    check(&mut FileStore::open(dir.path()).unwrap());
    check(&mut FileStore::open(dir.path()).unwrap());
}

/// Guards against a simple store that behaves differently from the durable one.
#[test]
fn memory_returns_what_was_written() {
    let mut store = MemStore::new(ID);
    write_all(&mut store);
    check(&mut store);
}

/// Guards against entries that contradict a snapshot received from the leader.
#[parameterized(
    older_log = { 1..=5, vec![] },
    other_term_at_the_snapshot = { 1..=12, vec![] },
)]
fn snapshot_that_does_not_fit_replaces_the_log(
    held: std::ops::RangeInclusive<u64>,
    kept: Vec<Entry>,
) {
    let dir = tempfile::tempdir().unwrap();
    let mut store = FileStore::create(dir.path(), ID).unwrap();
    store.recover().unwrap();
    store.append(&entries(1, held)).unwrap();
    store.save_snapshot(&meta(3, 10), &Bytes::new()).unwrap();
    drop(store);
    let recovered = FileStore::open(dir.path()).unwrap().recover().unwrap();
    assert_eq!(recovered.entries, kept);
}

/// Guards against recovery that fails or loses order on a log of the size that a host may hold.
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
