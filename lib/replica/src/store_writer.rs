use std::collections::VecDeque;

use bytes::Bytes;
use tarragon_agreement::{Entry, Event, SnapshotMeta};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{LogIndex, MemberId, Millis, Term};
use tarragon_storage::{LogStore, StoreSizes};

/// Time between two attempts to write to a disk that refused a write.
const RETRY_PAUSE: Millis = Millis(250);

/// Write that waits for room on the disk.
#[derive(Debug)]
enum Write {
    Truncate(LogIndex),
    Append(Vec<Entry>),
    Snapshot(SnapshotMeta, Bytes),
}

/// Writes to the store, and keeps what a full disk refuses until there is room.
///
/// Writes to the log keep their order, and each is reported only after it is durable. A refused write
/// has no effect on the disk, so it can be repeated; any other failure, such as one of a sync, leaves
/// the disk in an unknown state and is returned.
#[derive(Debug)]
pub struct StoreWriter {
    store: Box<dyn LogStore>,
    /// Writes to the log from the first refused one on.
    waiting: VecDeque<Write>,
    /// Latest vote, if it was refused. It does not depend on the log, so it does not wait for it.
    waiting_vote: Option<(Term, Option<MemberId>)>,
    /// Latest refusal.
    refusal: Option<Failure>,
    retry_at: Millis,
    /// Last entry appended since the last sync.
    unsynced_entry: Option<(LogIndex, Term)>,
    /// Vote that is saved and synced but not yet reported to the replica.
    unreported_vote: Option<(Term, Option<MemberId>)>,
    /// Installed snapshots that are saved but not yet reported to the replica.
    unreported_snapshots: Vec<SnapshotMeta>,
}

impl StoreWriter {
    /// Returns a writer without waiting writes. `store` was recovered before.
    pub fn new(store: Box<dyn LogStore>) -> Self {
        Self {
            store,
            waiting: VecDeque::new(),
            waiting_vote: None,
            refusal: None,
            retry_at: Millis(0),
            unsynced_entry: None,
            unreported_vote: None,
            unreported_snapshots: Vec::new(),
        }
    }

    /// Returns why writes wait; `None` if none does.
    pub fn refusal(&self) -> Option<&Failure> {
        let is_waiting = !self.waiting.is_empty() || self.waiting_vote.is_some();
        self.refusal.as_ref().filter(|_| is_waiting)
    }

    /// Sizes of the log and of the latest snapshot on the disk.
    pub fn sizes(&self) -> StoreSizes {
        self.store.sizes()
    }

    /// Saves term and vote; reported by a later [`Self::sync`].
    pub fn save_vote(&mut self, term: Term, voted_for: Option<MemberId>) -> Outcome<()> {
        // A later vote replaces the one that waits: it has a higher term, or is the first in its term.
        self.waiting_vote = Some((term, voted_for));
        self.write_vote()
    }

    /// Deletes the entries from `truncate_from` on, if given, and appends `entries`.
    pub fn append(&mut self, truncate_from: Option<LogIndex>, entries: Vec<Entry>) -> Outcome<()> {
        // Apart from the append, so that a repeated append does not write the truncation again.
        self.waiting.extend(truncate_from.map(Write::Truncate));
        self.waiting.push_back(Write::Append(entries));
        self.write_new(1 + usize::from(truncate_from.is_some()))
    }

    /// Saves a snapshot that the leader sent.
    pub fn install_snapshot(&mut self, meta: SnapshotMeta, state: Bytes) -> Outcome<()> {
        self.waiting.push_back(Write::Snapshot(meta, state));
        self.write_new(1)
    }

    /// Saves a snapshot of the applied state. What waits and is covered by it is dropped, because the
    /// snapshot makes it durable. A refused snapshot does not wait.
    pub fn save_snapshot(&mut self, meta: &SnapshotMeta, state: &Bytes) -> Outcome<()> {
        self.store.save_snapshot(meta, state)?;
        for write in &mut self.waiting {
            if let Write::Append(entries) = write {
                entries.retain(|e| e.index > meta.index);
            }
        }
        self.waiting.retain(|write| match write {
            Write::Truncate(index) => *index > meta.index,
            Write::Append(entries) => !entries.is_empty(),
            Write::Snapshot(waiting, _) => waiting.index > meta.index,
        });
        self.retry_at = Millis(0);
        Ok(())
    }

    /// Repeats refused writes, at most once in a [`RETRY_PAUSE`].
    pub fn retry(&mut self, now: Millis) -> Outcome<()> {
        if self.refusal().is_none() || now < self.retry_at {
            return Ok(());
        }
        self.retry_at = now + RETRY_PAUSE;
        self.write_vote()?;
        self.write_waiting()
    }

    /// Returns whether entries were appended since the last sync.
    pub fn needs_sync(&self) -> bool {
        self.unsynced_entry.is_some()
    }

    /// Syncs the log and returns the reports of all writes that are durable.
    pub fn sync(&mut self) -> Outcome<Vec<Event>> {
        let synced_entry = self.unsynced_entry.take();
        if synced_entry.is_some() {
            self.store.sync()?;
        }
        let vote = self.unreported_vote.take();
        let vote = vote.map(|(term, voted_for)| Event::VoteSynced { term, voted_for });
        let snapshots = self.unreported_snapshots.drain(..);
        let snapshots = snapshots.map(|meta| Event::SnapshotSaved { meta });
        let entry = synced_entry.map(|(index, term)| Event::Synced { index, term });
        Ok(vote.into_iter().chain(snapshots).chain(entry).collect())
    }

    /// Writes the last `added` writes, unless others wait before them.
    fn write_new(&mut self, added: usize) -> Outcome<()> {
        if self.waiting.len() > added {
            return Ok(());
        }
        self.write_waiting()
    }

    fn write_vote(&mut self) -> Outcome<()> {
        let Some((term, voted_for)) = self.waiting_vote else {
            return Ok(());
        };
        let outcome = self.store.save_vote(term, voted_for);
        if self.is_done(outcome)? {
            self.waiting_vote = None;
            self.unreported_vote = Some((term, voted_for));
        }
        Ok(())
    }

    /// Writes to the log what waits, until a write is refused.
    fn write_waiting(&mut self) -> Outcome<()> {
        while let Some(write) = self.waiting.front() {
            let outcome = match write {
                Write::Truncate(index) => self.store.truncate_from(*index),
                Write::Append(entries) => self.store.append(entries),
                Write::Snapshot(meta, state) => self.store.save_snapshot(meta, state),
            };
            if !self.is_done(outcome)? {
                break;
            }
            match self.waiting.pop_front() {
                Some(Write::Append(entries)) => {
                    let last = entries.last().map(|e| (e.index, e.term));
                    self.unsynced_entry = last.or(self.unsynced_entry);
                }
                Some(Write::Snapshot(meta, _)) => self.unreported_snapshots.push(meta),
                Some(Write::Truncate(_)) | None => {}
            }
        }
        Ok(())
    }

    /// Returns false if the disk has no room for the write; other failures are returned.
    fn is_done(&mut self, outcome: Outcome<()>) -> Outcome<bool> {
        match outcome {
            Err(failure) if failure.code == Code::DiskFull => {
                self.refusal = Some(failure);
                Ok(false)
            }
            outcome => outcome.map(|()| true),
        }
    }
}
