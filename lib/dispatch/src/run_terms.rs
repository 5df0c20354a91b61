use tarragon_names::{Millis, Resources};
use tarragon_workflow::{Queue, StepSpec};

/// Queue priority of a run whose queue is not known; nothing comes after it.
const LAST_PRIORITY: u32 = u32::MAX;

/// What the description of a step says of each of its runs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunTerms {
    /// What a run takes from its worker.
    pub(crate) need: Resources,
    /// Expected time of a run; zero for one that lasts until its job is cancelled.
    pub(crate) estimate: Millis,
    /// Priority of the queue; 0 comes first.
    pub(crate) priority: u32,
    /// Bound of the tail latency of a run that serves users.
    pub(crate) target: Option<Millis>,
    /// It takes only what other runs leave unused.
    pub(crate) fills: bool,
    /// Only so many runs of its step may be ended or out of work at the same time.
    pub(crate) is_bounded: bool,
    /// A stopped run goes on elsewhere from where it was, and no other run ends with it.
    pub(crate) is_resumable: bool,
}

impl RunTerms {
    pub(crate) fn new(step: &StepSpec, queue: Option<&Queue>) -> Self {
        Self {
            need: step.reserved(),
            estimate: if step.long_running {
                Millis(0)
            } else {
                step.estimate
            },
            priority: queue.map_or(LAST_PRIORITY, |queue| queue.priority),
            target: step.target_latency.filter(|_| step.long_running),
            fills: step.best_effort,
            is_bounded: step.long_running && step.max_unavailable.is_some(),
            is_resumable: step.checkpointing && !step.gang && !step.long_running,
        }
    }
}
