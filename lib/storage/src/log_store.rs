use std::fmt::Debug;

use bytes::Bytes;
use tarragon_agreement::{Entry, Recovered, SnapshotMeta};
use tarragon_codes::Outcome;
use tarragon_names::{LogIndex, MemberId, Term};

/// Durable state of one replica.
///
/// After an error with code 7103 every further call fails: what the disk holds is no longer known,
/// and the process has to start again from it.
pub trait LogStore: Debug + Send {
    /// Identity of the member that the store belongs to.
    fn id(&self) -> MemberId;

    /// Reads everything back; all that is returned is synced. Called once, before anything else.
    fn recover(&mut self) -> Outcome<Recovered>;

    /// Appends entries; they are durable after the next `sync`.
    fn append(&mut self, entries: &[Entry]) -> Outcome<()>;

    /// Drops the entries from `index` on; durable after the next `sync`.
    fn truncate_from(&mut self, index: LogIndex) -> Outcome<()>;

    /// Saves term and vote; durable on return.
    fn save_vote(&mut self, term: Term, voted_for: Option<MemberId>) -> Outcome<()>;

    /// Saves a snapshot and drops the entries that it replaces; durable on return.
    ///
    /// Entries after the snapshot are kept only if the log holds the snapshot's last entry.
    fn save_snapshot(&mut self, meta: &SnapshotMeta, state: &Bytes) -> Outcome<()>;

    /// Makes all that was appended durable.
    fn sync(&mut self) -> Outcome<()>;
}
