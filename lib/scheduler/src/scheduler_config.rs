use tarragon_leases::WORKER_LEASE_DURATION;
use tarragon_names::Millis;

/// Times and bounds of the scheduler.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SchedulerConfig {
    /// Length of worker leases; the same on every host that may lead.
    pub lease: Millis,
    /// Time after which an order that was not followed is sent again.
    pub resend: Millis,
    /// Time after which a task that was told to checkpoint is stopped.
    pub checkpoint_grace: Millis,
    /// Time after which a limit on processor time must show in the reported use.
    pub throttle_grace: Millis,
    /// Tasks placed and orders given in one tick.
    pub batch: usize,
    /// Waiting jobs that one pass looks at.
    pub lookahead: usize,
    /// Run time below which a failure counts as quick.
    pub quick: Millis,
    /// Wait before a job with a quick failure is placed again; doubles with each further one.
    pub backoff_min: Millis,
    /// Longest such wait.
    pub backoff_max: Millis,
    /// Time from one choice of work that gives way to the same urgent job to the next.
    pub preempt_every: Millis,
    /// Time for which the capacity of a silent worker still counts as "some worker could hold it".
    pub forget_worker: Millis,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            lease: WORKER_LEASE_DURATION,
            resend: Millis(2_000),
            // Leaves urgent work some of its 3.3 s for the stop and the start that follow.
            checkpoint_grace: Millis(2_000),
            throttle_grace: Millis(5_000),
            // 512 in each tick of 50 ms allow five times the 1,800 starts a second of the target.
            batch: 512,
            lookahead: 128,
            quick: Millis(10_000),
            backoff_min: Millis(500),
            backoff_max: Millis(60_000),
            preempt_every: Millis(2_000),
            forget_worker: Millis(600_000),
        }
    }
}
