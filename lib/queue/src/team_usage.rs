use tarragon_names::Resources;

use crate::Quota;

/// Share of a team that uses exactly its guarantee; see [`TeamUsage::dominant_share`].
pub const FULL_SHARE: u64 = 1_000_000;

/// Quota of a team and the resources that it uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TeamUsage {
    /// Quota that is set for the team, or the default quota.
    pub quota: Quota,
    /// Resources reserved for the team's running tasks.
    pub used: Resources,
}

impl TeamUsage {
    /// Used share of the guarantee in millionths, for the resource of which this share is largest.
    pub fn dominant_share(&self) -> u64 {
        self.dominant_share_with(&Resources::ZERO)
    }

    /// Dominant share of the team if it used `more` in addition.
    pub fn dominant_share_with(&self, more: &Resources) -> u64 {
        let guaranteed = &self.quota.guaranteed;
        let used = self.used + *more;
        share_of_guarantee(used.cpu_milli, guaranteed.cpu_milli)
            .max(share_of_guarantee(used.memory_mb, guaranteed.memory_mb))
            .max(share_of_guarantee(
                used.accelerators,
                guaranteed.accelerators,
            ))
    }

    /// Whether the team uses more than its guarantee, that is, quota that other teams leave idle.
    pub fn borrows(&self) -> bool {
        !self.used.fits(&self.quota.guaranteed)
    }

    /// Number of tasks of `need` each that the ceiling allows in addition.
    pub fn tasks_below_ceiling(&self, need: &Resources) -> u64 {
        let Some(ceiling) = self.quota.ceiling else {
            return u64::MAX;
        };
        let left = ceiling.saturating_sub(&self.used);
        let tasks = |left: u64, need: u64| left.checked_div(need).unwrap_or(u64::MAX);
        tasks(left.cpu_milli, need.cpu_milli)
            .min(tasks(left.memory_mb, need.memory_mb))
            .min(tasks(left.accelerators, need.accelerators))
    }

    /// Whether the ceiling allows the team to use `more` in addition.
    pub fn ceiling_allows(&self, more: &Resources) -> bool {
        self.quota.ceiling_allows(&(self.used + *more))
    }
}

/// Used share of the guarantee of one resource, in millionths.
///
/// Without a guarantee, any usage counts as more than a full share.
fn share_of_guarantee(used: u64, guaranteed: u64) -> u64 {
    if used == 0 {
        0
    } else if guaranteed == 0 {
        FULL_SHARE.saturating_add(used)
    } else {
        let share = u128::from(used) * u128::from(FULL_SHARE) / u128::from(guaranteed);
        u64::try_from(share).unwrap_or(u64::MAX)
    }
}
