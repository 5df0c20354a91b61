use serde::{Deserialize, Serialize};
use tarragon_agreement::{Entry, SnapshotMeta};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::LogIndex;

use crate::frame;

/// Record of the log file. Records are only appended and never overwritten in place, so a crash
/// cannot mix the bytes of an old and a new record.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Record {
    /// Appends an entry to the log.
    Entry(Entry),
    /// Deletes the entries from this index on.
    Truncate(LogIndex),
}

/// Returns the log entries that result from all records of a log file.
pub(crate) fn replay(name: &str, file: &[u8]) -> Outcome<Vec<Entry>> {
    let mut entries: Vec<Entry> = Vec::new();
    for range in frame::scan(name, file)? {
        let offset = range.start;
        // A frame without a payload only states the synced length.
        if range.is_empty() {
            continue;
        }
        match decode(&file[range]).ok_or_else(|| frame::corrupt(name, offset))? {
            Record::Truncate(index) => truncate(&mut entries, index),
            Record::Entry(entry) => {
                if entries
                    .last()
                    .is_some_and(|e| e.index.next() != entry.index)
                {
                    return Err(frame::corrupt(name, offset));
                }
                entries.push(entry);
            }
        }
    }
    Ok(entries)
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

pub(crate) fn encode<T>(value: &T) -> Outcome<Vec<u8>>
where
    T: Serialize,
{
    postcard::to_allocvec(value).map_err(|e| Failure::new(Code::Internal, e.to_string()))
}

pub(crate) fn decode<'a, T>(payload: &'a [u8]) -> Option<T>
where
    T: Deserialize<'a>,
{
    postcard::from_bytes(payload).ok()
}
