//! Caps and shares of the teams.
//!
//! Load pattern: one team sends a multiple of its usual work while the workers are full. Its cap bounds
//! what it has running, and work beyond its share waits until the work of the other teams is placed.

use std::sync::Arc;

use tarragon_names::{Resources, TeamName};
use tarragon_queue::{FULL_SHARE, Quota, Quotas, TeamUsage};
use tarragon_workflow::Team;

/// Parts into which the share of a team is divided for the order of placement. Much finer parts would
/// order teams by single tasks instead of by objective.
const SHARE_PARTS: u64 = 4;

/// Multiple of its share beyond which a team gives way to all others. Ordinary changes of demand stay
/// below it.
const EXCESSIVE_SHARES: u64 = 2;

/// Part of all processor time, in percent, up to which a team may exceed its share and still keep the
/// order of its priorities. A single gang of a small team exceeds its share many times, but hardly
/// displaces others.
const TOLERATED_EXCESS_PERCENT: u64 = 10;

/// Position of a team's work in the order of placement; the team with the lowest comes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ShareRank {
    /// Whether the team uses so much that it gives way to all other teams.
    pub(crate) is_far_over_share: bool,
    /// Quarters of its share that the team uses.
    pub(crate) used_share_quarters: u64,
}

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
    /// Quotas and usage of the teams. The state of each worker keeps the usage up to date.
    pub(crate) fn quotas(&self) -> &Arc<Quotas> {
        &self.quotas
    }

    /// Returns whether any team is known.
    pub(crate) fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// Sets the quotas of the known teams: their caps, and shares of `capacity` by weight.
    ///
    /// `total_weight` is that of the configured teams. A removed team keeps its share for the jobs that
    /// it still has, without making those of the others smaller.
    pub(crate) fn update(&mut self, teams: &[Arc<Team>], total_weight: u128, capacity: Resources) {
        self.capacity = capacity;
        self.has_teams = !teams.is_empty();
        let total_weight = total_weight.max(1);
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

    /// Position of a team's work in the order of placement; the first one without a team.
    pub(crate) fn share_rank(&self, team: Option<&TeamName>) -> ShareRank {
        let Some(team) = team.filter(|_| self.has_teams) else {
            return ShareRank::default();
        };
        let usage = self.team(team);
        let share = usage.dominant_share();
        let (used, guaranteed) = (usage.used.cpu_milli, usage.quota.guaranteed.cpu_milli);
        let tolerated = self.capacity.cpu_milli / 100 * TOLERATED_EXCESS_PERCENT;
        ShareRank {
            is_far_over_share: share > EXCESSIVE_SHARES * FULL_SHARE
                && used.saturating_sub(guaranteed) > tolerated,
            used_share_quarters: share / (FULL_SHARE / SHARE_PARTS),
        }
    }
}
