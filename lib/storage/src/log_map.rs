use std::collections::VecDeque;

use tarragon_agreement::{Entry, SnapshotMeta};
use tarragon_names::{LogIndex, Term};

/// Position of an entry in the log file.
#[derive(Clone, Copy, Debug)]
struct EntryPosition {
    index: LogIndex,
    term: Term,
    /// Offset of the frame of the entry.
    offset: u64,
}

/// Positions of the entries in the log file, so that the file can be cut without reading all of it.
#[derive(Debug, Default)]
pub(crate) struct LogMap {
    positions: VecDeque<EntryPosition>,
}

impl LogMap {
    pub(crate) fn push(&mut self, entry: &Entry, offset: u64) {
        self.positions.push_back(EntryPosition {
            index: entry.index,
            term: entry.term,
            offset,
        });
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        let keep = self.positions.partition_point(|p| p.index < index);
        self.positions.truncate(keep);
    }

    pub(crate) fn clear(&mut self) {
        self.positions.clear();
    }

    /// Returns the offset of the first entry that a snapshot leaves in the log; `None` if it leaves
    /// none, because it covers all entries or because they do not belong before or after it.
    pub(crate) fn first_kept_offset(&self, meta: &SnapshotMeta) -> Option<u64> {
        let first_kept = self.positions.partition_point(|p| p.index <= meta.index);
        let position = self.positions.get(first_kept)?;
        let joins_snapshot = match first_kept.checked_sub(1) {
            Some(last_covered) => {
                let last_covered = self.positions[last_covered];
                (last_covered.index, last_covered.term) == (meta.index, meta.term)
            }
            None => position.index == meta.index.next(),
        };
        joins_snapshot.then_some(position.offset)
    }
}
