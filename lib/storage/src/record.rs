use serde::{Deserialize, Serialize};
use tarragon_agreement::{Entry, SnapshotMeta};
use tarragon_names::LogIndex;

/// Record of the log file. Records are only appended and never overwritten in place by others, so a
/// crash cannot mix the bytes of an old and a new record. A start writes the last records again in
/// their place, with the same bytes.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Record {
    /// Appends an entry to the log.
    Entry(Entry),
    /// Deletes the entries from this index on.
    Truncate(LogIndex),
}

pub(crate) fn truncate(entries: &mut Vec<Entry>, index: LogIndex) {
    let keep = entries.partition_point(|e| e.index < index);
    entries.truncate(keep);
}

/// Deletes the entries that a snapshot covers. Deletes all entries if they neither contain the last
/// entry of the snapshot nor follow it directly.
pub(crate) fn drop_covered(entries: &mut Vec<Entry>, meta: &SnapshotMeta) {
    let contains_last = entries
        .iter()
        .any(|e| (e.index, e.term) == (meta.index, meta.term));
    let follows_snapshot = entries
        .first()
        .is_some_and(|e| e.index == meta.index.next());
    if contains_last || follows_snapshot {
        entries.retain(|e| e.index > meta.index);
    } else {
        entries.clear();
    }
}

pub(crate) fn decode<'a, T>(payload: &'a [u8]) -> Option<T>
where
    T: Deserialize<'a>,
{
    postcard::from_bytes(payload).ok()
}
