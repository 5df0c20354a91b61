use std::collections::BTreeMap;

use tarragon_names::{Resources, TeamName};

/// Resources of the runs that a worker lists although the leader expects none there.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnexpectedRuns {
    pub(crate) total: Resources,
    /// Resources of those whose team is known.
    pub(crate) by_team: BTreeMap<TeamName, Resources>,
}

impl UnexpectedRuns {
    pub(crate) fn add(&mut self, need: Resources, team: Option<TeamName>) {
        self.total += need;
        if let Some(team) = team {
            *self.by_team.entry(team).or_default() += need;
        }
    }
}
