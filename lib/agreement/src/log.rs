use std::collections::VecDeque;

use tarragon_names::{LogIndex, Term};

use crate::{Entry, Members, Payload, SnapshotMeta};

/// Entries in memory, and the index up to which they are synced on the local disk.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Log {
    /// Index and term directly before the first entry in memory, and the member list at that index.
    base: SnapshotMeta,
    entries: VecDeque<Entry>,
    /// Member lists in `entries`, in ascending order of their index.
    member_lists: Vec<(LogIndex, Members)>,
    synced: LogIndex,
}

impl Log {
    pub(crate) fn new(base: SnapshotMeta, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            synced: base.index,
            base,
            entries: VecDeque::new(),
            member_lists: Vec::new(),
        };
        for entry in entries {
            if entry.index == log.last_index().next() {
                log.push(entry);
            }
        }
        log.synced = log.last_index();
        log
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base.index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base.index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.term, |e| e.term)
    }

    pub(crate) fn synced(&self) -> LogIndex {
        self.synced
    }

    /// Returns the term of the entry at `index`, which must be in memory or directly before the
    /// first entry in memory.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns the member list in force, which is the last one appended.
    pub(crate) fn members(&self) -> &Members {
        self.member_lists
            .last()
            .map_or(&self.base.members, |(_, members)| members)
    }

    /// Returns the metadata of a snapshot up to `index`, if the term of that entry is known.
    pub(crate) fn meta_at(&self, index: LogIndex) -> Option<SnapshotMeta> {
        let term = self.term_at(index)?;
        let lists = self.member_lists.iter().rev();
        let members = lists
            .filter(|(at, _)| *at <= index)
            .map(|(_, members)| members)
            .next()
            .unwrap_or(&self.base.members);
        Some(SnapshotMeta {
            index,
            term,
            members: members.clone(),
        })
    }

    /// Returns at most `count` entries from `from` on, and no further entry once the records reach
    /// `bytes`.
    pub(crate) fn batch(&self, from: LogIndex, count: usize, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let start = from.0.saturating_sub(self.base.index.0 + 1) as usize;
        self.entries
            .range(start.min(self.entries.len())..)
            .take(count)
            .take_while(|e| {
                let fits = size < bytes;
                size += e.record_len();
                fits
            })
            .cloned()
            .collect()
    }

    /// Returns the entries from `from` to `to`, both included.
    pub(crate) fn range(&self, from: LogIndex, to: LogIndex) -> Vec<Entry> {
        let count = (to.0 + 1).saturating_sub(from.0) as usize;
        self.batch(from, count, usize::MAX)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next(), "gap in the log");
        if let Payload::Members(members) = &entry.payload {
            self.member_lists.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let keep = index.0.saturating_sub(self.base.index.0 + 1) as usize;
        self.entries.truncate(keep);
        self.member_lists.retain(|(at, _)| *at < index);
        self.synced = self.synced.min(self.last_index());
    }

    /// Records that all entries up to this one are synced; returns whether the synced index rose.
    ///
    /// The term distinguishes a late report for a replaced entry from a report for the entry that
    /// replaced it.
    pub(crate) fn mark_synced(&mut self, index: LogIndex, term: Term) -> bool {
        if index <= self.synced || self.term_at(index) != Some(term) {
            return false;
        }
        self.synced = index;
        true
    }

    /// Returns the total size of the records from `from` on, in bytes.
    pub(crate) fn record_bytes_from(&self, from: LogIndex) -> usize {
        let start = from.0.saturating_sub(self.base.index.0 + 1) as usize;
        let entries = self.entries.range(start.min(self.entries.len())..);
        entries.map(Entry::record_len).sum()
    }

    /// Drops entries that a synced snapshot covers, except for the last `count`, or fewer if their
    /// records are larger than `bytes` together.
    pub(crate) fn compact(&mut self, snapshot: LogIndex, count: u64, bytes: usize) {
        self.synced = self.synced.max(snapshot.min(self.last_index()));
        let mut to = snapshot;
        let mut kept_bytes = 0;
        while snapshot.0 - to.0 < count
            && let Some(entry) = self.get(to)
        {
            kept_bytes += entry.record_len();
            if kept_bytes > bytes {
                break;
            }
            to = LogIndex(to.0 - 1);
        }
        let Some(term) = self.term_at(to).filter(|_| to > self.base.index) else {
            return;
        };
        self.advance_base(to, term);
    }

    /// Replaces all entries with a snapshot from the leader that does not match them.
    pub(crate) fn reset_to_snapshot(&mut self, meta: SnapshotMeta, commit: LogIndex) {
        self.entries.clear();
        self.member_lists.clear();
        // Synced entries after the commit index may differ from the entries that the snapshot
        // covers.
        self.synced = self.synced.min(commit);
        self.base = meta;
    }

    fn advance_base(&mut self, to: LogIndex, term: Term) {
        let drop = to.0.saturating_sub(self.base.index.0) as usize;
        self.entries.drain(..drop.min(self.entries.len()));
        let after = self.member_lists.partition_point(|(at, _)| *at <= to);
        if let Some((_, members)) = self.member_lists.drain(..after).next_back() {
            self.base.members = members;
        }
        self.base.index = to;
        self.base.term = term;
    }

    fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(offset as usize)
    }
}
