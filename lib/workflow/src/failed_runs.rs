use serde::{Deserialize, Serialize};

use crate::FailedRunDetails;

/// Failed runs of a task. Each counts once, however often its end is applied and in whatever order:
/// a worker lists an end until it is acknowledged, also after its record was removed.
///
/// The serialized form is that of earlier releases, the last counted run and the count. A snapshot
/// holds the details in a [`TaskHistory`](crate::TaskHistory).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailedRuns {
    last_counted: u32,
    count: u32,
    /// `None` while no run has failed, as for most tasks.
    #[serde(skip)]
    details: Option<Box<FailedRunDetails>>,
}

impl FailedRuns {
    /// Number of failed runs.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// What the serialized form leaves out.
    pub(crate) fn details(&self) -> Option<&FailedRunDetails> {
        self.details.as_deref()
    }

    /// Returns whether a failure of the run would not count, because it is counted already or may be.
    pub(crate) fn contains(&self, run: u32) -> bool {
        self.details().is_some_and(|details| {
            run <= details.assumed_up_to || details.runs.binary_search(&run).is_ok()
        })
    }

    /// Counts the failure of a run that is not counted yet.
    pub(crate) fn insert(&mut self, run: u32) {
        if !self.contains(run) {
            let runs = &mut self.details.get_or_insert_default().runs;
            let at = runs.partition_point(|counted| *counted < run);
            runs.insert(at, run);
            self.last_counted = run;
            self.count = self.count.saturating_add(1);
        }
    }

    /// Adds what the serialized form left out.
    pub(crate) fn restore(&mut self, details: FailedRunDetails) {
        self.details = Some(Box::new(details));
    }

    /// Completes a count of an earlier release; `last_run` is the last run whose end is recorded.
    pub(crate) fn assume_up_to(&mut self, last_run: u32) {
        if self.count > 0 {
            self.details.get_or_insert_default().assumed_up_to = last_run;
        }
    }
}
