use tarragon_names::{Class, Millis};

use crate::Quota;

/// Bounds and times of the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueConfig {
    /// Waiting time after which a job rises by one class, for each class from urgent down.
    ///
    /// The step of the urgent class has no effect.
    pub promotion_delay: [Millis; Class::ALL.len()],
    /// Slack at which a job goes ahead of the fair order within its class.
    pub deadline_slack: Millis,
    /// Most waiting jobs in total.
    pub max_jobs: usize,
    /// Most waiting jobs of one team.
    pub max_team_jobs: usize,
    /// Quota of a team that none is set for.
    pub default_quota: Quota,
}

impl QueueConfig {
    /// Waiting time after which a job of this class rises by one class.
    pub fn promotion_delay(&self, class: Class) -> Millis {
        self.promotion_delay[class as usize]
    }
}

impl Default for QueueConfig {
    fn default() -> Self {
        Self {
            // Overnight work reaches the standard class after 6 h and the urgent class after 10 h,
            // so that plans handed in during the evening finish by morning.
            promotion_delay: [Millis(0), Millis(4 * 3_600_000), Millis(6 * 3_600_000)],
            deadline_slack: Millis(60_000),
            max_jobs: 100_000,
            max_team_jobs: 20_000,
            default_quota: Quota::default(),
        }
    }
}
