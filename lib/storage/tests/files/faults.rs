use std::sync::atomic::Ordering;

use tarragon_codes::{Code, Outcome};
use tarragon_names::Term;
use tarragon_storage::{FileStore, Folder, LogStore};
use tempfile::TempDir;
use yare::parameterized;

use crate::{
    ID, entries,
    failing_files::{FailingFiles, Faults},
};

fn failing_store(dir: &TempDir) -> (FileStore, Faults) {
    let faults = Faults::default();
    let files = FailingFiles {
        folder: Folder::create(dir.path()).unwrap(),
        faults: faults.clone(),
    };
    let mut store = FileStore::create_with(Box::new(files), ID).unwrap();
    store.recover().unwrap();
    (store, faults)
}

fn sync_log(store: &mut FileStore) -> Outcome<()> {
    store.append(&entries(1, 1..=3))?;
    store.sync()
}

fn save_vote(store: &mut FileStore) -> Outcome<()> {
    store.save_vote(Term(5), Some(ID))
}

/// Guards against a second sync that succeeds although the first failed and lost the pages.
#[parameterized(
    of_the_log = { sync_log },
    of_the_vote = { save_vote },
)]
fn every_operation_fails_after_a_failed_sync(operation: fn(&mut FileStore) -> Outcome<()>) {
    let dir = tempfile::tempdir().unwrap();
    let (mut store, faults) = failing_store(&dir);
    faults.fail_sync.store(true, Ordering::SeqCst);
    assert_eq!(operation(&mut store).unwrap_err().code, Code::SyncFailed);
    faults.fail_sync.store(false, Ordering::SeqCst);
    assert_eq!(store.sync().unwrap_err().code, Code::SyncFailed);
    let append = store.append(&entries(1, 4..=4));
    assert_eq!(append.unwrap_err().code, Code::SyncFailed);
    assert_eq!(save_vote(&mut store).unwrap_err().code, Code::SyncFailed);
    drop(store);
    // After a restart the store recovers from the disk.
    assert!(FileStore::open(dir.path()).unwrap().recover().is_ok());
}

/// Guards against a full disk that damages the log or is reported with another code.
#[test]
fn full_disk_leaves_the_log_intact() {
    let dir = tempfile::tempdir().unwrap();
    let (mut store, faults) = failing_store(&dir);
    store.append(&entries(1, 1..=3)).unwrap();
    faults.disk_full.store(true, Ordering::SeqCst);
    let append = store.append(&entries(1, 4..=6));
    assert_eq!(append.unwrap_err().code, Code::DiskFull);
    assert_eq!(save_vote(&mut store).unwrap_err().code, Code::DiskFull);
    faults.disk_full.store(false, Ordering::SeqCst);
    store.append(&entries(1, 4..=4)).unwrap();
    store.sync().unwrap();
    drop(store);
    let recovered = FileStore::open(dir.path()).unwrap().recover().unwrap();
    assert_eq!(recovered.entries, entries(1, 1..=4));
}
