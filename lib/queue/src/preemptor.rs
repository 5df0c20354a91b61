use tarragon_names::{Class, Millis, Resources};

/// A waiting job for which running tasks may be preempted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Preemptor {
    /// Class of the job.
    pub class: Class,
    /// Whether the job's team uses more than its guaranteed quota.
    pub borrows: bool,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Number of tasks that do not fit into the free capacity.
    pub tasks: u32,
    /// Whether the job can start only if all its tasks start.
    pub all_or_nothing: bool,
    /// Expected waiting time without preemption.
    pub expected_wait: Millis,
}
