use std::collections::BTreeSet;

use parking_lot::Mutex;
use tarragon_workflow::TaskKey;

/// Runs of steps with bounded unavailability that do their full work, as the dispatcher last told.
#[derive(Debug, Default)]
pub(crate) struct AtWork(Mutex<BTreeSet<TaskKey>>);

impl AtWork {
    pub(crate) fn set(&self, tasks: BTreeSet<TaskKey>) {
        *self.0.lock() = tasks;
    }

    pub(crate) fn get(&self) -> BTreeSet<TaskKey> {
        self.0.lock().clone()
    }
}
