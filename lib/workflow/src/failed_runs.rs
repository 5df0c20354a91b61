use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Failed runs of a task. Each counts once, however often its end is applied and in whatever order:
/// a worker lists an end until it is acknowledged, also after its record was removed.
///
/// The serialized form is that of earlier releases, which stored the last counted run and the count;
/// [`TaskHistory`](crate::TaskHistory) holds the rest.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailedRuns {
    /// Runs up to this one count as known, because a snapshot of an earlier release tells only how
    /// many of them failed.
    known_up_to: u32,
    count: u32,
    #[serde(skip)]
    runs: BTreeSet<u32>,
}

impl FailedRuns {
    /// Number of failed runs.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Numbers of the failed runs, without those that only a snapshot of an earlier release counted.
    pub fn runs(&self) -> &BTreeSet<u32> {
        &self.runs
    }

    /// Returns whether the failure of a run is counted already.
    pub(crate) fn contains(&self, run: u32) -> bool {
        run <= self.known_up_to || self.runs.contains(&run)
    }

    /// Counts the failure of a run that is not counted yet.
    pub(crate) fn insert(&mut self, run: u32) {
        if !self.contains(run) {
            self.runs.insert(run);
            self.count = self.count.saturating_add(1);
        }
    }

    /// Adds the runs that the serialized form left out.
    pub(crate) fn restore(&mut self, runs: BTreeSet<u32>) {
        self.runs = runs;
    }

    /// Takes over a count of an earlier release, which did not store its runs: any run up to `last_run`
    /// may be among them.
    pub(crate) fn assume_known_up_to(&mut self, last_run: u32) {
        if self.count > 0 {
            self.known_up_to = last_run;
        }
    }
}
