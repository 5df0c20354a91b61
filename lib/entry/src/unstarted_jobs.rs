use std::collections::BTreeMap;

use parking_lot::Mutex;
use tarragon_names::Name;

/// Number of jobs in each queue of which tasks were placed but none was certainly started, as of the
/// last count of the dispatcher.
#[derive(Debug, Default)]
pub(crate) struct UnstartedJobs(Mutex<BTreeMap<Name, u64>>);

impl UnstartedJobs {
    pub(crate) fn set(&self, counts: BTreeMap<Name, u64>) {
        *self.0.lock() = counts;
    }

    pub(crate) fn count(&self, queue: &Name) -> u64 {
        self.0.lock().get(queue).copied().unwrap_or(0)
    }
}
