use tarragon_names::Resources;

use crate::Quota;

/// Share at which a team uses exactly its guarantee.
const WHOLE: u64 = 1_000_000;

/// Quota of a team and what it uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TeamUsage {
    /// The quota.
    pub quota: Quota,
    /// What the team's running tasks hold.
    pub used: Resources,
}

impl TeamUsage {
    /// Use against the guarantee in millionths, by the resource the team uses most of.
    pub fn share(&self) -> u64 {
        self.share_with(&Resources::ZERO)
    }

    /// Share that the team would have with `more` in use.
    pub fn share_with(&self, more: &Resources) -> u64 {
        let guaranteed = &self.quota.guaranteed;
        let used = self.used + *more;
        part(used.cpu_milli, guaranteed.cpu_milli)
            .max(part(used.memory_mb, guaranteed.memory_mb))
            .max(part(used.accelerators, guaranteed.accelerators))
    }

    /// Tells whether the team uses more than its guarantee, that is, idle quota of others.
    pub fn borrows(&self) -> bool {
        !self.used.fits(&self.quota.guaranteed)
    }

    /// Tells whether the ceiling allows `more` in use.
    pub fn ceiling_allows(&self, more: &Resources) -> bool {
        self.quota.ceiling_allows(&(self.used + *more))
    }
}

/// Use of a resource without a guarantee counts as borrowed in full.
fn part(used: u64, guaranteed: u64) -> u64 {
    if used == 0 {
        0
    } else if guaranteed == 0 {
        WHOLE.saturating_add(used)
    } else {
        let part = u128::from(used) * u128::from(WHOLE) / u128::from(guaranteed);
        u64::try_from(part).unwrap_or(u64::MAX)
    }
}
