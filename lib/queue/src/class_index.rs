use std::collections::BTreeSet;

use tarragon_names::{Millis, TeamName};

/// Index of the teams that have waiting jobs in one class.
#[derive(Debug, Default)]
pub(crate) struct ClassIndex {
    /// Teams by dominant share; see `TeamUsage::dominant_share`.
    pub(crate) by_share: BTreeSet<(u64, TeamName)>,
    /// Teams that have jobs with a deadline, by the earliest latest start among these jobs.
    pub(crate) by_latest_start: BTreeSet<(Millis, TeamName)>,
    pub(crate) waiting_jobs: usize,
    /// Sum of `QueuedJob::work` over the jobs.
    pub(crate) work: u128,
}

impl ClassIndex {
    pub(crate) fn update_latest_start(
        &mut self,
        team: &TeamName,
        old: Option<Millis>,
        new: Option<Millis>,
    ) {
        if old == new {
            return;
        }
        if let Some(old) = old {
            self.by_latest_start.remove(&(old, team.clone()));
        }
        if let Some(new) = new {
            self.by_latest_start.insert((new, team.clone()));
        }
    }
}
