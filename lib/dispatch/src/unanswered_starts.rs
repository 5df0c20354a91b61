use std::collections::BTreeMap;

use tarragon_names::Millis;
use tarragon_workflow::{StepKey, TaskKey};

/// Tasks for which a start order got no answer, with the times until which it may still be carried out.
///
/// The incarnation that ran the task refuses such an order. A later one under the same name remembers
/// nothing, and the order may be the first call that it gets, so that nothing can make it refuse.
#[derive(Debug, Default)]
pub(crate) struct UnansweredStarts(BTreeMap<TaskKey, Millis>);

impl UnansweredStarts {
    pub(crate) fn record(&mut self, task: TaskKey, until: Millis) {
        let latest = self.0.entry(task).or_default();
        *latest = until.max(*latest);
    }

    /// Time until which an order for the task may be carried out; 0 if there is none.
    pub(crate) fn until(&self, task: &TaskKey) -> Millis {
        self.0.get(task).copied().unwrap_or_default()
    }

    /// Time until which an order for any task of the step may be carried out; 0 if there is none.
    pub(crate) fn until_of_step(&self, step: StepKey) -> Millis {
        let tasks = self.0.range(TaskKey { step, index: 0 }..);
        let tasks = tasks.take_while(|(task, _)| task.step == step);
        tasks.map(|(_, until)| *until).max().unwrap_or_default()
    }

    /// Removes and returns the tasks whose orders can no longer be carried out.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<TaskKey> {
        let expired = self.0.extract_if(.., |_, until| *until <= now);
        expired.map(|(task, _)| task).collect()
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
