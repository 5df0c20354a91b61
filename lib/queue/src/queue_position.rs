use tarragon_names::{Class, Millis};

/// Position of a waiting job, with the facts that explain it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuePosition {
    /// Class after ageing.
    pub class: Class,
    /// Number of waiting jobs of more urgent classes.
    pub higher_class_jobs: usize,
    /// Number of waiting jobs of the same class, this one included.
    pub same_class_jobs: usize,
    /// Number of waiting jobs of the same team and class that were accepted earlier.
    pub team_jobs_ahead: usize,
    /// Dominant share of the team in percent of its guarantee.
    pub team_usage_percent: u64,
    /// Whether the ceiling of the team prevents the job from starting now.
    pub at_ceiling: bool,
    /// Latest start that meets the deadline; `None` for a job without one.
    pub latest_start: Option<Millis>,
}
