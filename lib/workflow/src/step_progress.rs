use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::{RunEnd, StepSpec, TaskPhase, TaskProgress};

/// One step of an occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepProgress {
    /// The tasks.
    pub tasks: Vec<TaskProgress>,
}

impl StepProgress {
    pub(crate) fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![TaskProgress::default(); spec.count as usize],
        }
    }

    /// Tells whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.phase == TaskPhase::Done)
    }

    /// Tells whether no task waits or runs.
    pub fn is_idle(&self) -> bool {
        self.tasks.iter().all(|task| task.placement().is_none())
    }

    /// Numbers of the tasks that wait for a worker.
    pub fn waiting(&self) -> Vec<u32> {
        (0..)
            .zip(&self.tasks)
            .filter(|(_, task)| task.phase == TaskPhase::Waiting)
            .map(|(index, _)| index)
            .collect()
    }

    /// Number that the next run of a task gets; all members of a gang have the same.
    pub fn next_run(&self, index: u32, is_gang: bool) -> u32 {
        if is_gang {
            1 + self
                .tasks
                .iter()
                .map(|task| task.last_run)
                .max()
                .unwrap_or(0)
        } else {
            1 + self.tasks[index as usize].last_run
        }
    }

    /// The checkpoint that the next run of a task starts from.
    pub fn checkpoint(&self, index: u32, is_gang: bool) -> Option<Name> {
        if is_gang {
            // Any member's checkpoint is valid for the gang, and all must get the same.
            self.tasks.iter().find_map(|task| task.checkpoint.clone())
        } else {
            self.tasks[index as usize].checkpoint.clone()
        }
    }

    /// Takes note of the end of a run.
    pub(crate) fn ended(
        &mut self,
        spec: &StepSpec,
        index: u32,
        run: u32,
        end: RunEnd,
        checkpoint: Option<Name>,
    ) {
        if spec.gang {
            if checkpoint.is_some() {
                // The latest checkpoint of any member replaces those of all.
                for task in &mut self.tasks {
                    task.checkpoint.clone_from(&checkpoint);
                }
            }
            if end == RunEnd::Done && !spec.long_running {
                for task in &mut self.tasks {
                    task.phase = TaskPhase::Done;
                }
                return;
            }
        }
        let is_new_failure = end == RunEnd::Failed
            && if spec.gang {
                self.tasks.iter().all(|task| task.failed_run != run)
            } else {
                self.tasks[index as usize].failed_run != run
            };
        let task = &mut self.tasks[index as usize];
        if is_new_failure {
            task.failed_run = run;
            task.failures += 1;
        }
        if checkpoint.is_some() {
            task.checkpoint = checkpoint;
        }
        if end == RunEnd::Done && !spec.long_running {
            task.phase = TaskPhase::Done;
        } else if task.is_placed_as(run) {
            task.phase = TaskPhase::Waiting;
        }
    }

    /// Runs that failed: of the worst task, or of the gang.
    pub fn failures(&self, spec: &StepSpec) -> u32 {
        let failures = self.tasks.iter().map(|task| task.failures);
        if spec.gang {
            failures.sum()
        } else {
            failures.max().unwrap_or(0)
        }
    }
}
