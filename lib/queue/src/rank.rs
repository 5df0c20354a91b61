use tarragon_names::{Class, JobId, Millis};

/// Sort key of a waiting job at one moment; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    pub(crate) class: Class,
    pub(crate) order: Order,
    pub(crate) since: Millis,
    pub(crate) job: JobId,
}

/// Order within a class.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Order {
    /// Slack nearly used up: by latest start.
    Tight(Millis),
    /// By the share that the team has when the jobs ahead of this one have started.
    Fair(u64),
}
