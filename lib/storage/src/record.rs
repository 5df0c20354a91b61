use serde::{Deserialize, Serialize};
use tarragon_agreement::{Entry, SnapshotMeta};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::LogIndex;

use crate::frame;

/// One record of the log file. The file is only ever appended to, so that a crash cannot mix old
/// and new records at the same place.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Record {
    /// An entry at the end of the log.
    Entry(Entry),
    /// The entries from this index on are void.
    Truncate(LogIndex),
}

/// Log entries that a file holds.
pub(crate) fn replay(name: &str, file: &[u8]) -> Outcome<Vec<Entry>> {
    let mut entries: Vec<Entry> = Vec::new();
    for range in frame::scan(name, file)? {
        let at = range.start;
        // An empty payload only says what is synced.
        if range.is_empty() {
            continue;
        }
        match decode(&file[range]).ok_or_else(|| frame::corrupt(name, at))? {
            Record::Truncate(index) => truncate(&mut entries, index),
            Record::Entry(entry) => {
                if entries
                    .last()
                    .is_some_and(|e| e.index.next() != entry.index)
                {
                    return Err(frame::corrupt(name, at));
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

/// Drops the entries that a snapshot covers, and all if they do not fit it.
pub(crate) fn drop_covered(entries: &mut Vec<Entry>, meta: &SnapshotMeta) {
    let holds_last = entries
        .iter()
        .any(|e| (e.index, e.term) == (meta.index, meta.term));
    let follows = entries
        .first()
        .is_some_and(|e| e.index == meta.index.next());
    if holds_last || follows {
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
