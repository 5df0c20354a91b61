use std::{collections::HashMap, fmt};

use tarragon_names::{Resources, TeamName};
use tarragon_shard::Sharded;

use crate::{Quota, TeamUsage};

const SHARD_COUNT: usize = 16;

/// Quotas and resource usage of all teams.
pub struct Quotas {
    default: Quota,
    teams: Sharded<HashMap<TeamName, TeamUsage>>,
}

impl Quotas {
    /// An empty set of quotas; `default` applies to each team for which none is set.
    pub fn new(default: Quota) -> Self {
        Self {
            default,
            teams: Sharded::new(SHARD_COUNT, |_| HashMap::new()),
        }
    }

    /// Sets the quota of a team and returns its quota and usage.
    pub fn set(&self, team: &TeamName, quota: Quota) -> TeamUsage {
        self.change(team, |team| team.quota = quota)
    }

    /// Adds resources to the usage of a team and returns its quota and usage.
    pub fn add_usage(&self, team: &TeamName, resources: &Resources) -> TeamUsage {
        self.change(team, |team| team.used += *resources)
    }

    /// Takes resources from the usage of a team and returns its quota and usage.
    pub fn subtract_usage(&self, team: &TeamName, resources: &Resources) -> TeamUsage {
        self.change(team, |team| {
            team.used = team.used.saturating_sub(resources);
        })
    }

    /// Quota and usage of a team.
    pub fn team(&self, team: &TeamName) -> TeamUsage {
        self.teams.with(team, |shard| {
            shard.get(team).copied().unwrap_or(TeamUsage {
                quota: self.default,
                used: Resources::ZERO,
            })
        })
    }

    /// Whether the ceiling of the team allows a usage of `resources` in total.
    pub fn ceiling_allows(&self, team: &TeamName, resources: &Resources) -> bool {
        self.team(team).quota.ceiling_allows(resources)
    }

    fn change<F>(&self, team: &TeamName, f: F) -> TeamUsage
    where
        F: FnOnce(&mut TeamUsage),
    {
        self.teams.with(team, |shard| {
            let team = shard.entry(team.clone()).or_insert(TeamUsage {
                quota: self.default,
                used: Resources::ZERO,
            });
            f(team);
            *team
        })
    }
}

impl fmt::Debug for Quotas {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Quotas")
            .field("default", &self.default)
            .finish_non_exhaustive()
    }
}
