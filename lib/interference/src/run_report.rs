use tarragon_names::{Millis, Name};

/// Identifier of one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: u64,
    /// Number of the occurrence of the job.
    pub occurrence: u32,
    /// Number of the step in the job.
    pub step: u32,
}

/// Identifier of a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunKey {
    /// Step of the task.
    pub step: StepId,
    /// Number of the task in the step.
    pub index: u32,
    /// Number of the run, counted per task.
    pub run: u32,
}

/// What a worker reports about the work of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// Progress of a run that ends, in percent.
    Progress(u64),
    /// Tail latency of a serving run, in thousandths of its target.
    Tail(u64),
    /// Nothing that tells how fast the run works. The run still counts as a neighbor.
    Unknown,
}

/// State of a run on a worker at the time of a report.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Run that is reported.
    pub run: RunKey,
    /// Image that the run executes.
    pub image: Name,
    /// Time at which the run started.
    pub since: Millis,
    /// Work of the run.
    pub work: Work,
    /// Whether the duration of the run is comparable with that of other runs of its step, once it has
    /// ended with success.
    pub has_comparable_duration: bool,
    /// Whether the run belongs to a gang, whose members slow each other down.
    pub is_gang: bool,
    /// Whether the run works below its full rate by order, so that its effect is not known.
    pub is_throttled: bool,
}
