use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::{RunEnd, StepSpec, TaskPhase, TaskProgress};

/// Progress of one step of an occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepProgress {
    /// Progress of each task, by its index in the step.
    pub tasks: Vec<TaskProgress>,
}

impl StepProgress {
    pub(crate) fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![TaskProgress::default(); spec.count as usize],
        }
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.phase == TaskPhase::Done)
    }

    /// Returns whether no task is placed on a worker.
    pub fn is_idle(&self) -> bool {
        self.tasks.iter().all(|task| task.placement().is_none())
    }

    /// Indexes of the tasks that wait for a worker.
    pub fn waiting(&self) -> Vec<u32> {
        (0..)
            .zip(&self.tasks)
            .filter(|(_, task)| task.phase == TaskPhase::Waiting)
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the number for the next run of a task; all members of a gang share one number.
    pub fn next_run(&self, index: u32, is_gang: bool) -> u32 {
        if is_gang {
            1 + self
                .tasks
                .iter()
                .map(|task| task.last_run)
                .max()
                .unwrap_or(0)
        } else {
            let task = self.tasks.get(index as usize);
            1 + task.map_or(0, |task| task.last_run)
        }
    }

    /// Returns the checkpoint from which the next run of a task resumes.
    pub fn checkpoint(&self, index: u32, is_gang: bool) -> Option<Name> {
        if is_gang {
            // A checkpoint of any member is valid for the gang, and all members must resume from
            // the same one.
            self.tasks.iter().find_map(|task| task.checkpoint.clone())
        } else {
            let task = self.tasks.get(index as usize);
            task.and_then(|task| task.checkpoint.clone())
        }
    }

    /// Records the end of a run. One `Done` completes a whole gang, and a failed run of a gang
    /// counts once even if several members report it. Nothing counts for a task that is done.
    pub(crate) fn apply_end(
        &mut self,
        spec: &StepSpec,
        index: u32,
        run: u32,
        end: RunEnd,
        checkpoint: Option<&Name>,
    ) {
        if self.tasks[index as usize].phase == TaskPhase::Done {
            return;
        }
        if let Some(checkpoint) = checkpoint {
            self.save_checkpoint(spec, index, run, checkpoint);
        }
        if spec.gang && end == RunEnd::Done && !spec.long_running {
            self.tasks.iter_mut().for_each(TaskProgress::complete);
            return;
        }
        if end == RunEnd::Failed {
            self.record_failure(spec, index, run);
        }
        let task = &mut self.tasks[index as usize];
        if end == RunEnd::Done && !spec.long_running {
            task.complete();
        } else if task.is_placed_as(run) {
            task.phase = TaskPhase::Waiting;
        }
    }

    /// Saves a checkpoint. One of any member of a gang replaces those of all members.
    fn save_checkpoint(&mut self, spec: &StepSpec, index: u32, run: u32, checkpoint: &Name) {
        if spec.gang {
            for task in &mut self.tasks {
                task.save_checkpoint(run, checkpoint);
            }
        } else {
            self.tasks[index as usize].save_checkpoint(run, checkpoint);
        }
    }

    fn record_failure(&mut self, spec: &StepSpec, index: u32, run: u32) {
        let is_known = spec.gang && self.tasks.iter().any(|task| task.failed_runs.contains(run));
        let failed_runs = &mut self.tasks[index as usize].failed_runs;
        // Long-running tasks have no limit. One failed run shows that the task was started.
        let is_needed = !spec.long_running || failed_runs.count() == 0;
        if !is_known && is_needed {
            failed_runs.insert(run);
        }
    }

    /// Number of failed runs: the highest of any task that is not done, or the total of a gang.
    pub fn failures(&self, spec: &StepSpec) -> u32 {
        let open = self
            .tasks
            .iter()
            .filter(|task| task.phase != TaskPhase::Done);
        let failures = open.map(|task| task.failed_runs.count());
        if spec.gang {
            failures.sum()
        } else {
            failures.max().unwrap_or(0)
        }
    }
}
