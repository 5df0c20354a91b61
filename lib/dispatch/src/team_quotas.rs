//! Caps and shares of the teams.
//!
//! Load pattern: one team sends a multiple of its usual work while the workers are full. Its cap bounds
//! what it has running, and work beyond its share waits until the work of the other teams is placed.

use std::sync::Arc;

use tarragon_names::{Resources, TeamName};
use tarragon_queue::{Quota, Quotas, TeamUsage};
use tarragon_workflow::Team;

/// Parts into which the share of a team is divided for the order of placement. Finer parts would order
/// teams by single tasks instead of by objective.
const SHARE_PARTS: u64 = 4;

/// Share of a team that uses exactly its guarantee, as [`TeamUsage::dominant_share`] counts it.
const FULL_SHARE: u64 = 1_000_000;

/// Multiple of its share beyond which a team gives way to all others.
const EXCESSIVE_SHARES: u64 = 2;

/// Part of all processor time, in percent, up to which a team may exceed its share and still keep the
/// order of its priorities. A single gang of a small team exceeds its share many times, but hardly
/// displaces others.
const TOLERATED_EXCESS_PERCENT: u64 = 10;

/// Quotas of the teams, and their usage by the runs that may be on workers.
#[derive(Clone, Debug)]
pub(crate) struct TeamQuotas {
    quotas: Arc<Quotas>,
    /// Capacity of all workers, of which each team has a share.
    capacity: Resources,
    has_teams: bool,
}

impl Default for TeamQuotas {
    fn default() -> Self {
        Self {
            quotas: Arc::new(Quotas::new(Quota::default())),
            capacity: Resources::ZERO,
            has_teams: false,
        }
    }
}

impl TeamQuotas {
    /// Usage of the teams, which the state of each worker keeps up to date.
    pub(crate) fn usage(&self) -> &Arc<Quotas> {
        &self.quotas
    }

    /// Returns whether any team is known.
    pub(crate) fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// Sets the quotas of the teams: their caps, and shares of `capacity` by weight.
    pub(crate) fn update(&mut self, teams: &[Arc<Team>], capacity: Resources) {
        self.capacity = capacity;
        self.has_teams = !teams.is_empty();
        let weights = teams.iter().map(|team| u128::from(team.weight));
        let total_weight = weights.sum::<u128>().max(1);
        for team in teams {
            let share = |amount: u64| {
                let share = u128::from(amount) * u128::from(team.weight) / total_weight;
                u64::try_from(share).unwrap_or(u64::MAX)
            };
            let guaranteed = Resources::new(
                share(capacity.cpu_milli),
                share(capacity.memory_mb),
                share(capacity.accelerators),
            );
            let quota = Quota {
                guaranteed,
                ceiling: Some(team.cap),
            };
            self.quotas.set(&team.name, quota);
        }
    }

    /// Quota and usage of a team.
    pub(crate) fn team(&self, team: &TeamName) -> TeamUsage {
        self.quotas.team(team)
    }

    /// Number of tasks of `need` each that the cap of the team allows now.
    pub(crate) fn tasks_below_cap(&self, team: Option<&TeamName>, need: &Resources) -> u32 {
        let Some(team) = team.filter(|_| self.has_teams) else {
            return u32::MAX;
        };
        let tasks = self.team(team).tasks_below_ceiling(need);
        u32::try_from(tasks).unwrap_or(u32::MAX)
    }

    /// Position of a team's work in the order of placement: whether it gives way to all other teams, and
    /// the parts of its share that it uses.
    pub(crate) fn order(&self, team: Option<&TeamName>) -> (bool, u64) {
        let Some(team) = team.filter(|_| self.has_teams) else {
            return (false, 0);
        };
        let usage = self.team(team);
        let share = usage.dominant_share();
        let (used, guaranteed) = (usage.used.cpu_milli, usage.quota.guaranteed.cpu_milli);
        let tolerated = self.capacity.cpu_milli / 100 * TOLERATED_EXCESS_PERCENT;
        let is_excessive =
            share > EXCESSIVE_SHARES * FULL_SHARE && used.saturating_sub(guaranteed) > tolerated;
        (is_excessive, share / (FULL_SHARE / SHARE_PARTS))
    }
}
