use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use bytes::Bytes;
use parking_lot::Mutex;
use tarragon_agreement::{Entry, Recovered, SnapshotMeta};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{LogIndex, MemberId, Term};
use tarragon_storage::{LogStore, MemStore, StoreSizes};

/// Disk of a [`DiskStore`], which tests fill and read.
#[derive(Clone, Debug)]
pub struct DiskState {
    store: Arc<Mutex<MemStore>>,
    is_full: Arc<AtomicBool>,
    unsynced_entries: Arc<AtomicUsize>,
}

impl DiskState {
    /// Returns an empty disk of the member 1.
    pub fn new() -> Self {
        Self {
            store: Arc::new(Mutex::new(MemStore::new(MemberId(1)))),
            is_full: Arc::default(),
            unsynced_entries: Arc::default(),
        }
    }

    /// Lets the disk refuse all writes, or take them again.
    pub fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::SeqCst);
    }

    /// Number of entries that were appended since the last sync.
    pub fn unsynced_entries(&self) -> usize {
        self.unsynced_entries.load(Ordering::SeqCst)
    }

    /// Returns what a start would recover.
    pub fn recovered(&self) -> Recovered {
        self.store.lock().recover().expect("the store never fails")
    }

    fn check_room(&self) -> Outcome<()> {
        if self.is_full.load(Ordering::SeqCst) {
            return Err(Failure::new(Code::DiskFull, "no space left"));
        }
        Ok(())
    }
}

/// Store on a disk that can be full.
#[derive(Debug)]
pub struct DiskStore(pub DiskState);

impl LogStore for DiskStore {
    fn id(&self) -> MemberId {
        self.0.store.lock().id()
    }

    fn recover(&mut self) -> Outcome<Recovered> {
        self.0.store.lock().recover()
    }

    fn append(&mut self, entries: &[Entry]) -> Outcome<()> {
        self.0.check_room()?;
        let unsynced = &self.0.unsynced_entries;
        unsynced.fetch_add(entries.len(), Ordering::SeqCst);
        self.0.store.lock().append(entries)
    }

    fn truncate_from(&mut self, index: LogIndex) -> Outcome<()> {
        self.0.check_room()?;
        self.0.store.lock().truncate_from(index)
    }

    fn save_vote(&mut self, term: Term, voted_for: Option<MemberId>) -> Outcome<()> {
        self.0.check_room()?;
        self.0.store.lock().save_vote(term, voted_for)
    }

    fn save_snapshot(&mut self, meta: &SnapshotMeta, state: &Bytes) -> Outcome<()> {
        self.0.check_room()?;
        self.0.store.lock().save_snapshot(meta, state)
    }

    fn sync(&mut self) -> Outcome<()> {
        self.0.unsynced_entries.store(0, Ordering::SeqCst);
        self.0.store.lock().sync()
    }

    fn sizes(&self) -> StoreSizes {
        self.0.store.lock().sizes()
    }
}
