use tarragon_names::Resources;

/// One run of a task.
#[derive(Clone, Debug)]
pub struct TaskRun {
    /// Number of the attempt.
    pub attempt: u32,
    /// Worker that ran the task.
    pub worker: String,
    /// Resources reserved for the run.
    pub reserved: Resources,
    /// Wall clock of the start in milliseconds.
    pub began: u64,
    /// Wall clock and kind of the end; absent while it runs.
    pub ended: Option<(u64, String)>,
}
