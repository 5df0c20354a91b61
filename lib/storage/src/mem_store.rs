use bytes::Bytes;
use tarragon_agreement::{Entry, Payload, Recovered, SnapshotMeta};
use tarragon_codes::Outcome;
use tarragon_names::{LogIndex, MemberId, Term};

use crate::{LogStore, StoreSizes, record};

/// Store in memory, which never fails.
#[derive(Clone, Debug)]
pub struct MemStore {
    state: Recovered,
}

impl MemStore {
    /// Returns an empty store for the member `id`.
    pub fn new(id: MemberId) -> Self {
        let state = Recovered {
            id,
            ..Recovered::default()
        };
        Self { state }
    }
}

impl LogStore for MemStore {
    fn id(&self) -> MemberId {
        self.state.id
    }

    fn recover(&mut self) -> Outcome<Recovered> {
        Ok(self.state.clone())
    }

    fn append(&mut self, entries: &[Entry]) -> Outcome<()> {
        self.state.entries.extend_from_slice(entries);
        Ok(())
    }

    fn truncate_from(&mut self, index: LogIndex) -> Outcome<()> {
        record::truncate(&mut self.state.entries, index);
        Ok(())
    }

    fn save_vote(&mut self, term: Term, voted_for: Option<MemberId>) -> Outcome<()> {
        self.state.term = term;
        self.state.voted_for = voted_for;
        Ok(())
    }

    fn save_snapshot(&mut self, meta: &SnapshotMeta, state: &Bytes) -> Outcome<()> {
        record::drop_covered(&mut self.state.entries, meta);
        self.state.snapshot = Some((meta.clone(), state.clone()));
        Ok(())
    }

    fn sync(&mut self) -> Outcome<()> {
        Ok(())
    }

    fn sizes(&self) -> StoreSizes {
        let records = self.state.entries.iter().map(|e| match &e.payload {
            Payload::Record(record) => record.len() as u64,
            _ => 0,
        });
        let snapshot = self.state.snapshot.as_ref();
        StoreSizes {
            log_bytes: records.sum(),
            snapshot_bytes: snapshot.map_or(0, |(_, state)| state.len() as u64),
        }
    }
}
