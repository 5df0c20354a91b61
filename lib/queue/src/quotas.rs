use std::{collections::HashMap, fmt};

use tarragon_names::{Resources, TeamName};
use tarragon_shard::Sharded;

use crate::{Quota, TeamUsage};

const SHARDS: usize = 16;

/// Quotas of all teams and what each uses.
pub struct Quotas {
    default: Quota,
    teams: Sharded<HashMap<TeamName, TeamUsage>>,
}

impl Quotas {
    /// Quotas in which a team that none is set for has `default`.
    pub fn new(default: Quota) -> Self {
        Self {
            default,
            teams: Sharded::new(SHARDS, |_| HashMap::new()),
        }
    }

    /// Sets the quota of a team and returns its use.
    pub(crate) fn set(&self, team: &TeamName, quota: Quota) -> TeamUsage {
        self.change(team, |team| team.quota = quota)
    }

    pub(crate) fn add_usage(&self, team: &TeamName, resources: &Resources) -> TeamUsage {
        self.change(team, |team| team.used += *resources)
    }

    pub(crate) fn subtract_usage(&self, team: &TeamName, resources: &Resources) -> TeamUsage {
        self.change(team, |team| {
            team.used = team.used.saturating_sub(resources);
        })
    }

    /// Quota and use of a team.
    pub fn team(&self, team: &TeamName) -> TeamUsage {
        self.teams.with(team, |shard| {
            shard.get(team).copied().unwrap_or(TeamUsage {
                quota: self.default,
                used: Resources::ZERO,
            })
        })
    }

    /// Tells whether the team could run this much if it ran nothing else.
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
