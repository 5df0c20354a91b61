use tarragon_names::{Class, Millis};

/// Where a job stands in the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuePosition {
    /// Class after ageing.
    pub class: Class,
    /// Waiting jobs of more urgent classes.
    pub higher_class_jobs: usize,
    /// Waiting jobs of the same class, this one included.
    pub same_class_jobs: usize,
    /// Older waiting jobs of the same team and class.
    pub team_jobs_ahead: usize,
    /// Use of the team against its guarantee, in percent.
    pub team_usage_percent: u64,
    /// Whether the ceiling of the team keeps the job from starting now.
    pub at_ceiling: bool,
    /// Latest start that meets the deadline.
    pub latest_start: Option<Millis>,
}
