use tarragon_names::{Class, Millis};

use crate::Quota;

/// Limits and delays of the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueConfig {
    /// Waiting time after which a job is promoted by one class, for each class from urgent down.
    ///
    /// The delay of the urgent class has no effect.
    pub promotion_delay: [Millis; Class::ALL.len()],
    /// Time before its latest start from which a job goes ahead of the fair-share order of its
    /// class.
    pub deadline_slack: Millis,
    /// Maximum number of waiting jobs.
    pub max_jobs: usize,
    /// Maximum number of waiting jobs of one team.
    pub max_team_jobs: usize,
    /// Quota of a team for which none is set.
    pub default_quota: Quota,
}

impl QueueConfig {
    /// Waiting time after which a job of this class is promoted by one class.
    pub fn promotion_delay(&self, class: Class) -> Millis {
        self.promotion_delay[class as usize]
    }
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            // Overnight jobs reach the standard class after 6 h and the urgent class after 10 h,
            // so that jobs submitted in the evening finish by morning.
            promotion_delay: [Millis(0), Millis(4 * 3_600_000), Millis(6 * 3_600_000)],
            deadline_slack: Millis(60_000),
            max_jobs: 100_000,
            max_team_jobs: 20_000,
            default_quota: Quota::default(),
        }
    }
}
