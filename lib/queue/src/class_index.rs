use std::collections::BTreeSet;

use tarragon_names::{Millis, TeamName};

/// Teams with waiting jobs in one class.
#[derive(Debug, Default)]
pub(crate) struct ClassIndex {
    pub(crate) by_share: BTreeSet<(u64, TeamName)>,
    /// Teams by the latest start of their most pressing job.
    pub(crate) by_start: BTreeSet<(Millis, TeamName)>,
    pub(crate) waiting: usize,
    /// Processor time that the jobs need, in thousandths of a core times milliseconds.
    pub(crate) work: u128,
}

impl ClassIndex {
    pub(crate) fn move_start(&mut self, team: &TeamName, old: Option<Millis>, new: Option<Millis>) {
        if old == new {
            return;
        }
        if let Some(old) = old {
            self.by_start.remove(&(old, team.clone()));
        }
        if let Some(new) = new {
            self.by_start.insert((new, team.clone()));
        }
    }
}
