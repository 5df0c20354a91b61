//! Teams whose urgent steps wait for their cap.
//!
//! A team at its cap may have a gang that waits and small, less urgent steps. If the smaller steps used
//! each part of the cap as it becomes free, the gang would never start.

use std::collections::BTreeMap;

use tarragon_names::TeamName;

/// Most urgent priority of the steps that wait for the cap of their team, by team.
#[derive(Clone, Debug, Default)]
pub(crate) struct CappedTeams(BTreeMap<TeamName, u32>);

impl CappedTeams {
    /// Records a step that waits for the cap of its team.
    pub(crate) fn add(&mut self, team: &TeamName, priority: u32) {
        let most_urgent = self.0.entry(team.clone()).or_insert(priority);
        *most_urgent = (*most_urgent).min(priority);
    }

    /// Returns whether a step leaves the cap to a more urgent one of its team.
    pub(crate) fn must_wait(&self, team: Option<&TeamName>, priority: u32) -> bool {
        let most_urgent = team.and_then(|team| self.0.get(team));
        most_urgent.is_some_and(|most_urgent| priority > *most_urgent)
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
