use bytes::Bytes;
use tarragon_agreement::{Entry, Recovered, SnapshotMeta};
use tarragon_names::{LogIndex, MemberId, Term};

type Snapshot = Option<(SnapshotMeta, Bytes)>;

/// States that a store may recover to.
#[derive(Clone, Debug)]
pub struct Model {
    /// The log as last acknowledged, then after each record written since.
    pub logs: Vec<Vec<Entry>>,
    /// Votes and snapshots of which the first is acknowledged and the others may have been saved.
    pub votes: Vec<(Term, Option<MemberId>)>,
    pub snapshots: Vec<Snapshot>,
}

impl Model {
    pub fn of(state: Recovered) -> Self {
        Self {
            logs: vec![state.entries],
            votes: vec![(state.term, state.voted_for)],
            snapshots: vec![state.snapshot],
        }
    }

    pub fn log(&self) -> &[Entry] {
        self.logs.last().unwrap()
    }

    /// Returns the last index that a snapshot may cover.
    pub fn covered(&self) -> u64 {
        let covered = self.snapshots.iter().flatten();
        covered.map(|(meta, _)| meta.index.0).max().unwrap_or(0)
    }

    pub fn last_index(&self) -> u64 {
        self.log().last().map_or(self.covered(), |e| e.index.0)
    }

    pub fn truncate_from(&mut self, index: LogIndex) {
        let kept = self.log().iter().filter(|e| e.index < index);
        self.logs.push(kept.cloned().collect());
    }

    /// Acknowledges the snapshot and, since the log is replaced, all records.
    pub fn save_snapshot(&mut self, snapshot: Snapshot) {
        self.logs = vec![uncovered(self.log(), &snapshot)];
        self.snapshots = vec![snapshot];
    }

    pub fn allows(&self, state: &Recovered) -> bool {
        let mut logs = self.logs.iter();
        self.votes.contains(&(state.term, state.voted_for))
            && self.snapshots.contains(&state.snapshot)
            && logs.any(|log| uncovered(log, &state.snapshot) == state.entries)
    }
}

/// Returns the entries that a snapshot leaves: those after it, if the log joins it.
fn uncovered(log: &[Entry], snapshot: &Snapshot) -> Vec<Entry> {
    let Some((meta, _)) = snapshot else {
        return log.to_vec();
    };
    let follows = log.first().is_some_and(|e| e.index == meta.index.next());
    let mut entries = log.iter();
    let joins = follows || entries.any(|e| (e.index, e.term) == (meta.index, meta.term));
    let after = log.iter().filter(|e| joins && e.index > meta.index);
    after.cloned().collect()
}
