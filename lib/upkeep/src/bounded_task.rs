use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::WorkerName;
use tarragon_workflow::StepKey;

/// A task of a step with bounded unavailability: only so many of its tasks may be unavailable at
/// the same time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BoundedTask {
    /// Step that the bound applies to.
    pub step: StepKey,
    /// Worker that runs the task; `None` if it is not placed.
    pub worker: Option<WorkerName>,
    /// Whether the task does its full work.
    pub is_available: bool,
    /// Largest number of tasks of the step that may be unavailable.
    pub max_unavailable: u32,
}

/// Returns whether stopping a worker would exceed the bound of a step, given that the workers in
/// `ending` stop too.
pub(crate) fn breaks_bound(
    tasks: &[BoundedTask],
    worker: &WorkerName,
    ending: &BTreeSet<WorkerName>,
) -> bool {
    let mut away = BTreeMap::<StepKey, u32>::new();
    let mut would_end = BTreeSet::new();
    for task in tasks {
        let is_there = task.worker.as_ref() == Some(worker);
        let ends_anyway = task.worker.as_ref().is_none_or(|on| ending.contains(on));
        if is_there || ends_anyway || !task.is_available {
            *away.entry(task.step).or_default() += 1;
        }
        if is_there && task.is_available {
            would_end.insert(task.step);
        }
    }
    let mut bounds = tasks.iter().map(|task| (task.step, task.max_unavailable));
    bounds.any(|(step, most)| would_end.contains(&step) && away[&step] > most)
}
