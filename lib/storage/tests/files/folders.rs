use std::fs;

use tarragon_codes::Code;
use tarragon_names::{MemberId, Term};
use tarragon_storage::{FileStore, LogStore};

use crate::{ID, entries};

/// Guards against two processes that write to the same folder.
#[test]
fn folder_in_use_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let store = FileStore::create(dir.path(), ID).unwrap();
    let failure = FileStore::open(dir.path()).unwrap_err();
    assert_eq!(failure.code, Code::FolderInUse);
    drop(store);
    assert!(FileStore::open(dir.path()).is_ok());
}

/// Guards against a host that loses its folder and keeps its identity.
#[test]
fn lost_folder_needs_a_new_identity() {
    let parent = tempfile::tempdir().unwrap();
    let dir = parent.path().join("data");
    drop(FileStore::create(&dir, ID).unwrap());
    assert!(FileStore::exists(&dir));
    fs::remove_dir_all(&dir).unwrap();
    assert!(!FileStore::exists(&dir));
    assert_eq!(FileStore::open(&dir).unwrap_err().code, Code::ForeignData);
    let mut fresh = FileStore::create(&dir, MemberId(43)).unwrap();
    assert_eq!(fresh.recover().unwrap().id, MemberId(43));
}

/// Guards against records of a lost identity that are recovered under a new identity.
#[test]
fn data_without_identity_is_deleted() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = FileStore::create(dir.path(), ID).unwrap();
    store.recover().unwrap();
    store.append(&entries(1, 1..=3)).unwrap();
    store.sync().unwrap();
    drop(store);
    fs::remove_file(dir.path().join("identity")).unwrap();
    let mut fresh = FileStore::create(dir.path(), MemberId(43)).unwrap();
    assert!(fresh.recover().unwrap().entries.is_empty());
}

/// Guards against a new member that overwrites the data of another program or member.
#[test]
fn foreign_folder_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("ledger.db"), b"other data").unwrap();
    let failure = FileStore::create(dir.path(), ID).unwrap_err();
    assert_eq!(failure.code, Code::ForeignData);

    let dir = tempfile::tempdir().unwrap();
    drop(FileStore::create(dir.path(), ID).unwrap());
    let failure = FileStore::create(dir.path(), MemberId(43)).unwrap_err();
    assert_eq!(failure.code, Code::ForeignData);
}

/// Guards against a write that waits for room on a disk that refuses it for another reason.
#[test]
fn write_to_a_folder_that_is_gone_does_not_count_as_a_full_disk() {
    let parent = tempfile::tempdir().unwrap();
    let dir = parent.path().join("data");
    let mut store = FileStore::create(&dir, ID).unwrap();
    store.recover().unwrap();
    fs::remove_dir_all(&dir).unwrap();
    let failure = store.save_vote(Term(1), None).unwrap_err();
    assert_eq!(failure.code, Code::DiskUnusable);
}
