//! Order and workers of tasks that run again.
//!
//! Load pattern: a few percent of the runs fail, so one task in a wide step nearly always does. Until
//! it has run again, the work of all the others is of no use to the caller.

use std::collections::BTreeSet;

use tarragon_workflow::{StepProgress, TaskPhase, TaskProgress};

use crate::{failure_rate::RecentOutcomes, speed_rank::SpeedClass};

/// Waiting tasks of which a run was placed before.
pub(crate) fn restarted_tasks(step: &StepProgress) -> BTreeSet<u32> {
    let is_restarted = |task: &TaskProgress| task.phase == TaskPhase::Waiting && task.last_run > 0;
    let tasks = (0..).zip(&step.tasks);
    let restarted = tasks.filter(|(_, task)| is_restarted(task));
    restarted.map(|(index, _)| index).collect()
}

/// Puts the tasks that have run before in front, and returns their number.
pub(crate) fn put_first(waiting: &mut [u32], restarted: &BTreeSet<u32>) -> usize {
    waiting.sort_by_key(|index| !restarted.contains(index));
    waiting.partition_point(|index| restarted.contains(index))
}

/// Returns whether a further failure or delay is least likely on a worker: it has succeeded, none of
/// its latest runs has failed, and it is not slow.
pub(crate) fn is_sure(outcomes: RecentOutcomes, speed: SpeedClass) -> bool {
    outcomes.has_runs() && outcomes.failures() == 0 && !speed.is_slow()
}
