use tarragon_leases::WORKER_LEASE_DURATION;
use tarragon_names::Millis;

/// Intervals and limits of the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SchedulerConfig {
    /// Length of worker leases. All hosts that may lead must use the same value.
    pub worker_lease: Millis,
    /// Time after which an order without visible effect is sent again.
    pub resend_interval: Millis,
    /// Time after which a task that was ordered to checkpoint is stopped.
    pub checkpoint_grace: Millis,
    /// Time after which reported usage must reflect a CPU limit. Until then usage above the limit
    /// does not raise the reservation.
    pub throttle_grace: Millis,
    /// Maximum number of tasks placed in one tick, and of orders sent again.
    pub max_tasks_per_tick: usize,
    /// Maximum number of waiting jobs that one placement pass considers.
    pub lookahead: usize,
    /// Run time below which a failure counts as quick. Quick failures delay the next attempt.
    pub quick_failure_limit: Millis,
    /// Delay before a job is placed again after one quick failure; doubles with each further one.
    pub backoff_min: Millis,
    /// Maximum delay after quick failures.
    pub backoff_max: Millis,
    /// Minimum time between two preemptions for the same urgent job.
    pub preemption_interval: Millis,
    /// Time after the end of its lease for which a silent worker is remembered. Until then its
    /// capacity counts when the scheduler decides whether a job can ever fit.
    pub forget_worker_after: Millis,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            worker_lease: WORKER_LEASE_DURATION,
            resend_interval: Millis(2_000),
            // Urgent jobs must start within 3.3 s; this leaves 1.3 s for the stop and the start.
            checkpoint_grace: Millis(2_000),
            throttle_grace: Millis(5_000),
            // 512 tasks in each tick of 50 ms are over five times the target of 1,800 starts per
            // second.
            max_tasks_per_tick: 512,
            lookahead: 128,
            quick_failure_limit: Millis(10_000),
            backoff_min: Millis(500),
            backoff_max: Millis(60_000),
            preemption_interval: Millis(2_000),
            forget_worker_after: Millis(600_000),
        }
    }
}
