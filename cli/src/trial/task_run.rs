use tarragon_names::Resources;

/// One run of a task.
#[derive(Clone, Debug)]
pub struct TaskRun {
    /// Number of the attempt.
    pub attempt: u32,
    /// Where it ran.
    pub worker: String,
    /// What was reserved for it.
    pub reserved: Resources,
    /// Wall clock of the start in milliseconds.
    pub began: u64,
    /// Wall clock and kind of the end; absent while it runs.
    pub ended: Option<(u64, String)>,
}
