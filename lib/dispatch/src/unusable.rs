use derive_more::Display;

/// Why no new tasks may be placed on a worker.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Unusable {
    #[display("not polled yet")]
    Unsynced,
    #[display("lease over")]
    LeaseOver,
    #[display("silent")]
    Silent,
    #[display("going down")]
    GoingDown,
    #[display("paused after failed runs")]
    FailedRuns,
    #[display("set aside")]
    SetAside,
    #[display("avoided for refusals, late runs or upkeep")]
    Avoided,
}
