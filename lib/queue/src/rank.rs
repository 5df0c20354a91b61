use tarragon_names::{Class, JobId, Millis};

/// Sort key of a waiting job at one time; the job with the lowest key goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    pub(crate) class: Class,
    pub(crate) order: Order,
    pub(crate) accepted_at: Millis,
    pub(crate) job: JobId,
}

/// Order within a class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Order {
    /// By latest start, for jobs that must start within `QueueConfig::deadline_slack`.
    Deadline(Millis),
    /// By the dominant share that the team would have after its listed jobs ahead of this one
    /// have started.
    FairShare(u64),
}
