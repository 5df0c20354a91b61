//! Tests of the file store with lost, damaged and failing files.

mod damage;
mod failing_files;
mod faults;
mod folders;
mod recovery;

use bytes::Bytes;
use tarragon_agreement::{Entry, Members, Payload, SnapshotMeta};
use tarragon_names::{LogIndex, MemberId, Term};

const ID: MemberId = MemberId(42);

/// Entries of one term with consecutive indexes.
fn entries(term: u64, indexes: std::ops::RangeInclusive<u64>) -> Vec<Entry> {
    let entry = |index| Entry {
        term: Term(term),
        index: LogIndex(index),
        payload: Payload::Record(Bytes::from(format!("record {index} of term {term}"))),
    };
    indexes.map(entry).collect()
}

fn meta(term: u64, index: u64) -> SnapshotMeta {
    SnapshotMeta {
        index: LogIndex(index),
        term: Term(term),
        members: Members::default(),
    }
}
