use bytes::Bytes;
use tarragon_agreement::{Entry, Event, Recovered, SnapshotMeta};
use tarragon_names::{LogIndex, MemberId, Term};

/// A write that is not yet synced.
#[derive(Clone, Debug)]
pub enum Write {
    Vote(Term, Option<MemberId>),
    Append(Option<LogIndex>, Vec<Entry>),
    Snapshot(SnapshotMeta, Bytes),
}

/// A disk that loses unsynced writes when the process ends.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub durable: Recovered,
    pending: Vec<Write>,
    pub fails_sync: bool,
    /// Keeps all writes until there is room; a crash loses them.
    pub is_full: bool,
    /// Planted fault: a full disk drops writes and reports them as done.
    pub forgets_when_full: bool,
}

impl Disk {
    pub fn new(durable: Recovered) -> Self {
        Self {
            durable,
            ..Self::default()
        }
    }

    pub fn write(&mut self, write: Write) {
        self.pending.push(write);
    }

    pub fn is_clean(&self) -> bool {
        self.pending.is_empty()
    }

    /// Makes all writes durable and returns the events that report them to the replica, or `None`
    /// if the sync fails.
    pub fn sync(&mut self) -> Option<Vec<Event>> {
        if self.fails_sync {
            return None;
        }
        if self.is_full {
            return Some(self.refuse());
        }
        let writes: Vec<_> = self.pending.drain(..).collect();
        Some(writes.into_iter().map(|w| self.store(w)).collect())
    }

    fn refuse(&mut self) -> Vec<Event> {
        if !self.forgets_when_full {
            return Vec::new();
        }
        let durable = self.durable.clone();
        let writes: Vec<_> = self.pending.drain(..).collect();
        let events = writes.into_iter().map(|w| self.store(w)).collect();
        self.durable = durable;
        events
    }

    /// Drops the unsynced writes, except for the first `torn` unsynced entries.
    pub fn crash(&mut self, torn: usize) {
        let mut left = torn;
        for write in std::mem::take(&mut self.pending) {
            if let Write::Append(from, mut entries) = write
                && left > 0
            {
                entries.truncate(left);
                left -= entries.len();
                self.store(Write::Append(from, entries));
            }
        }
        self.fails_sync = false;
    }

    fn store(&mut self, write: Write) -> Event {
        let disk = &mut self.durable;
        match write {
            Write::Vote(term, voted_for) => {
                (disk.term, disk.voted_for) = (term, voted_for);
                Event::VoteSynced { term, voted_for }
            }
            Write::Append(from, entries) => {
                if let Some(from) = from {
                    disk.entries.retain(|e| e.index < from);
                }
                disk.entries.extend(entries);
                let last = disk
                    .entries
                    .last()
                    .expect("an append has at least one entry");
                Event::Synced {
                    index: last.index,
                    term: last.term,
                }
            }
            Write::Snapshot(meta, state) => {
                let fits = disk
                    .entries
                    .iter()
                    .any(|e| e.index == meta.index && e.term == meta.term);
                disk.entries.retain(|e| fits && e.index > meta.index);
                disk.snapshot = Some((meta.clone(), state));
                Event::SnapshotSaved { meta }
            }
        }
    }
}
