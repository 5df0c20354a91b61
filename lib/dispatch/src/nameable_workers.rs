use tarragon_names::{Resources, WorkerName};

use crate::packing::Candidate;

/// Workers that a request for advice may name, by the capacity that they have for the step.
#[derive(Debug, Default)]
pub(crate) struct NameableWorkers {
    /// Workers to be named, those with capacity that no other step has asked for first.
    pub(crate) named: Vec<WorkerName>,
    /// Number of tasks that fit on the named workers.
    pub(crate) expected: u64,
    /// Workers with capacity that other steps have asked for.
    asked_by_others: Vec<Candidate>,
    pub(crate) without_capacity: Vec<Candidate>,
}

impl NameableWorkers {
    /// Adds a worker of which `available` is free and not asked for by others.
    pub(crate) fn add(&mut self, candidate: Candidate, available: Resources, need: &Resources) {
        let not_asked_for = Candidate {
            free: available,
            ..candidate.clone()
        };
        let fits = not_asked_for.fits(need);
        if fits > 0 {
            self.expected += u64::from(fits);
            self.named.push(candidate.worker);
        } else if candidate.fits(need) > 0 {
            self.asked_by_others.push(candidate);
        } else {
            self.without_capacity.push(candidate);
        }
    }

    /// Number of workers without capacity that no other step has asked for.
    pub(crate) fn unfit_count(&self) -> usize {
        self.asked_by_others.len() + self.without_capacity.len()
    }

    /// Names workers that others have asked about until `wanted` tasks fit or `most` are named.
    pub(crate) fn name_asked_by_others(&mut self, need: &Resources, wanted: u64, most: usize) {
        for candidate in std::mem::take(&mut self.asked_by_others) {
            if self.expected >= wanted || self.named.len() >= most {
                return;
            }
            self.expected += u64::from(candidate.fits(need));
            self.named.push(candidate.worker);
        }
    }

    /// Names further workers until `most` are named.
    pub(crate) fn name_up_to(&mut self, most: usize, workers: Vec<WorkerName>) {
        let left = most.saturating_sub(self.named.len());
        self.named.extend(workers.into_iter().take(left));
    }
}
