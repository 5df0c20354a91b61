use std::collections::BTreeSet;

use parking_lot::Mutex;
use tarragon_workflow::TaskKey;

/// Tasks of steps with bounded unavailability whose runs do their full work.
///
/// The thread of the dispatcher replaces the set while a wave is open; the upkeep loop reads it.
#[derive(Debug, Default)]
pub(crate) struct AvailableTasks(Mutex<BTreeSet<TaskKey>>);

impl AvailableTasks {
    pub(crate) fn set(&self, tasks: BTreeSet<TaskKey>) {
        *self.0.lock() = tasks;
    }

    pub(crate) fn get(&self) -> BTreeSet<TaskKey> {
        self.0.lock().clone()
    }
}
