use tarragon_names::{Millis, Name, Resources, TeamName};
use tarragon_workflow::{Queue, StepSpec};

/// Queue priority of a run whose queue is not known; every other priority is more urgent.
const LOWEST_PRIORITY: u32 = u32::MAX;

/// Requirements of a run, from the description of its step.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent property of the step"
)]
#[derive(Clone, Debug, Default)]
pub(crate) struct RunSpec {
    /// Team of the job; `None` if calls needed no key.
    pub(crate) team: Option<TeamName>,
    /// Resources that a run occupies on its worker.
    pub(crate) need: Resources,
    /// Expected duration of a run; zero for a run that lasts until its job is cancelled.
    pub(crate) estimate: Millis,
    /// Priority of the queue; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Upper bound of the tail latency of a latency-sensitive run.
    pub(crate) target: Option<Millis>,
    /// Whether the run gets only resources that other runs leave unused.
    pub(crate) is_best_effort: bool,
    /// Whether the number of unavailable runs of the step is bounded.
    pub(crate) is_bounded: bool,
    /// Whether the run lasts until its job is cancelled.
    pub(crate) is_long_running: bool,
    /// Whether the run works only while all tasks of its step are present.
    pub(crate) is_gang: bool,
    /// Whether a stopped run resumes elsewhere from its checkpoint, and no other run ends with it.
    pub(crate) is_resumable: bool,
    /// Program that the run executes; `None` for a run that takes no part in the detection of
    /// interference.
    pub(crate) image: Option<Name>,
}

impl RunSpec {
    pub(crate) fn new(step: &StepSpec, queue: Option<&Queue>, team: Option<TeamName>) -> Self {
        Self {
            team,
            need: step.reserved(),
            estimate: if step.long_running {
                Millis(0)
            } else {
                step.estimate
            },
            priority: queue.map_or(LOWEST_PRIORITY, |queue| queue.priority),
            target: step.target_latency.filter(|_| step.long_running),
            is_best_effort: step.best_effort,
            is_bounded: step.long_running && step.max_unavailable.is_some(),
            is_long_running: step.long_running,
            is_gang: step.gang,
            is_resumable: step.checkpointing && !step.gang && !step.long_running,
            image: step.image.clone(),
        }
    }
}
