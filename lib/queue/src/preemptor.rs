use tarragon_names::{Class, Millis, Resources};

/// A waiting job for which running work may have to give way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Preemptor {
    /// Class of the job.
    pub class: Class,
    /// Whether its team uses more than its guarantee.
    pub borrows: bool,
    /// What each task needs.
    pub resources: Resources,
    /// Number of tasks that do not fit now.
    pub tasks: u32,
    /// Whether the tasks are of use only together.
    pub all_or_nothing: bool,
    /// Time that the job would wait without preemption.
    pub expected_wait: Millis,
}
