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
/// `stopping` stop too.
pub(crate) fn breaks_bound(
    tasks: &[BoundedTask],
    worker: &WorkerName,
    stopping: &BTreeSet<WorkerName>,
) -> bool {
    let mut unavailable = BTreeMap::<StepKey, u32>::new();
    let mut affected_steps = BTreeSet::new();
    for task in tasks {
        let is_on_worker = task.worker.as_ref() == Some(worker);
        let stops_anyway = task.worker.as_ref().is_none_or(|on| stopping.contains(on));
        if is_on_worker || stops_anyway || !task.is_available {
            *unavailable.entry(task.step).or_default() += 1;
        }
        // A task that is not known to be available may be at work all the same.
        if is_on_worker {
            affected_steps.insert(task.step);
        }
    }
    let mut bounds = tasks.iter().map(|task| (task.step, task.max_unavailable));
    bounds.any(|(step, max_unavailable)| {
        affected_steps.contains(&step) && unavailable[&step] > max_unavailable
    })
}
