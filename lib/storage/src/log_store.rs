use std::fmt::Debug;

use bytes::Bytes;
use tarragon_agreement::{Entry, Recovered, SnapshotMeta};
use tarragon_codes::Outcome;
use tarragon_names::{LogIndex, MemberId, Term};

use crate::StoreSizes;

/// Durable state of one replica.
///
/// After an error with code 7103 (a failed sync) every further call fails: the contents of the disk
/// are unknown until the process restarts and recovers from it.
pub trait LogStore: Debug + Send {
    /// Returns the identity of the member that the store belongs to.
    fn id(&self) -> MemberId;

    /// Reads the stored state, all of which is synced on return. Called once, before the methods
    /// below.
    fn recover(&mut self) -> Outcome<Recovered>;

    /// Appends entries; they are durable after the next `sync`.
    fn append(&mut self, entries: &[Entry]) -> Outcome<()>;

    /// Deletes the entries from `index` on; durable after the next `sync`.
    fn truncate_from(&mut self, index: LogIndex) -> Outcome<()>;

    /// Saves term and vote; durable on return.
    fn save_vote(&mut self, term: Term, voted_for: Option<MemberId>) -> Outcome<()>;

    /// Saves a snapshot and deletes the entries that it replaces; durable on return.
    ///
    /// Entries after the snapshot are kept only if the log holds the snapshot's last entry.
    fn save_snapshot(&mut self, meta: &SnapshotMeta, state: &Bytes) -> Outcome<()>;

    /// Makes all appended entries and truncations durable.
    fn sync(&mut self) -> Outcome<()>;

    /// Returns the sizes of the log and of the latest snapshot.
    fn sizes(&self) -> StoreSizes;
}
