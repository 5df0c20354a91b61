use std::{collections::HashMap, fmt};

use tarragon_names::{Resources, TeamName};
use tarragon_shard::Sharded;

use crate::{Quota, TeamUse};

const SHARDS: usize = 16;

/// Quotas of all teams and what each uses.
pub struct Quotas {
    default: Quota,
    teams: Sharded<HashMap<TeamName, TeamUse>>,
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
    pub(crate) fn set(&self, team: &TeamName, quota: Quota) -> TeamUse {
        self.change(team, |team| team.quota = quota)
    }

    pub(crate) fn started(&self, team: &TeamName, resources: &Resources) -> TeamUse {
        self.change(team, |team| team.used += *resources)
    }

    pub(crate) fn ended(&self, team: &TeamName, resources: &Resources) -> TeamUse {
        self.change(team, |team| {
            team.used = team.used.saturating_sub(resources);
        })
    }

    /// Quota and use of a team.
    pub fn team(&self, team: &TeamName) -> TeamUse {
        self.teams.with(team, |shard| {
            shard.get(team).copied().unwrap_or(TeamUse {
                quota: self.default,
                used: Resources::ZERO,
            })
        })
    }

    /// Tells whether the team could run this much if it ran nothing else.
    pub fn can_ever_hold(&self, team: &TeamName, resources: &Resources) -> bool {
        self.team(team).quota.can_ever_hold(resources)
    }

    fn change<F>(&self, team: &TeamName, f: F) -> TeamUse
    where
        F: FnOnce(&mut TeamUse),
    {
        self.teams.with(team, |shard| {
            let team = shard.entry(team.clone()).or_insert(TeamUse {
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
