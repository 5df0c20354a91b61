use tarragon_workflow::StepKey;

/// Sort key of a step for placement; the step with the lowest key comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct PlacementRank {
    /// Whether the team of the step gives way to all other teams.
    pub(crate) is_far_over_share: bool,
    /// Priority of the queue; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Quarters of its share that the team uses; 0 without teams.
    pub(crate) used_share_quarters: u64,
    /// Whether the job can no longer meet its objective.
    pub(crate) is_late: bool,
    /// Unix time at which the job was accepted or its occurrence was due.
    pub(crate) due_ms: u64,
    pub(crate) key: StepKey,
}
