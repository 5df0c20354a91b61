use std::collections::BTreeMap;

use tarragon_names::WorkerName;

use crate::{Answer, RemovedWorker, Succession, WorkerIncarnation, WorkerRecord};

/// Records of the workers, and what is kept of the removed ones.
///
/// Announcements are resent and arrive late, also after the record of their sender was removed. None
/// takes back what its incarnation announced or what was acknowledged to it.
#[derive(Debug, Default)]
pub(crate) struct WorkerRecords {
    by_name: BTreeMap<WorkerName, WorkerRecord>,
    removed: BTreeMap<WorkerIncarnation, RemovedWorker>,
    /// Successions of recorded and removed incarnations, by the earlier one.
    successions: BTreeMap<WorkerIncarnation, Succession>,
}

impl WorkerRecords {
    pub(crate) fn new(
        by_name: BTreeMap<WorkerName, WorkerRecord>,
        removed: Vec<RemovedWorker>,
        successions: Vec<Succession>,
    ) -> Self {
        let removed = removed.into_iter();
        let successions = successions.into_iter();
        Self {
            by_name,
            removed: removed
                .map(|worker| (worker.incarnation.clone(), worker))
                .collect(),
            successions: successions
                .map(|succession| (succession.earlier.clone(), succession))
                .collect(),
        }
    }

    pub(crate) fn by_name(&self) -> &BTreeMap<WorkerName, WorkerRecord> {
        &self.by_name
    }

    pub(crate) fn removed(&self) -> impl Iterator<Item = &RemovedWorker> {
        self.removed.values()
    }

    pub(crate) fn successions(&self) -> impl Iterator<Item = &Succession> {
        self.successions.values()
    }

    /// Returns whether an incarnation is known to have ended: another one has followed it, or a later one
    /// is recorded. Without a proof, the one that started later counts as the later one.
    pub(crate) fn is_outdated(&self, incarnation: &WorkerIncarnation) -> bool {
        if self.successions.contains_key(incarnation) {
            return true;
        }
        let Some(known) = self.by_name.get(&incarnation.worker) else {
            return false;
        };
        let succession = self.successions.get(&known.incarnation);
        let is_successor = succession
            .is_some_and(|succession| succession.later_started_ms == incarnation.started_ms);
        known.incarnation.started_ms > incarnation.started_ms && !is_successor
    }

    /// Records a succession.
    pub(crate) fn put_succession(&mut self, succession: &Succession) {
        let (earlier, later) = (&succession.earlier, succession.later());
        // Without the time of its start, an incarnation cannot be told from the next one.
        let is_told = earlier.started_ms > 0 && later.started_ms > 0 && later != *earlier;
        if !is_told || !self.is_remembered(earlier) {
            return;
        }
        // The later one has just answered, so a proof that it had ended was wrong.
        self.successions.remove(&later);
        self.successions.insert(earlier.clone(), succession.clone());
    }

    fn is_remembered(&self, incarnation: &WorkerIncarnation) -> bool {
        let known = self.by_name.get(&incarnation.worker);
        self.removed.contains_key(incarnation)
            || known.is_some_and(|known| known.incarnation == *incarnation)
    }

    /// Puts the record of an incarnation at `now_ms`. An earlier incarnation that it replaces counts as
    /// removed; those that were removed before `oldest_ms` are forgotten.
    pub(crate) fn put(&mut self, record: &WorkerRecord, now_ms: u64, oldest_ms: u64) -> Answer {
        let incarnation = &record.incarnation;
        if self.is_outdated(incarnation) {
            return Answer::NotNewer;
        }
        let known = self.by_name.get(&incarnation.worker);
        let mut record = record.clone();
        if let Some(known) = known.filter(|known| known.incarnation == record.incarnation) {
            record.acknowledged = known.acknowledged;
            record.is_draining |= known.is_draining;
        } else if let Some(removed) = self.removed.remove(&record.incarnation) {
            record.acknowledged = removed.acknowledged;
            record.is_draining |= removed.is_draining;
        }
        let incarnation = record.incarnation.clone();
        let replaced = self.by_name.insert(incarnation.worker.clone(), record);
        if let Some(replaced) = replaced.filter(|known| known.incarnation != incarnation) {
            self.keep_removed(replaced, now_ms);
            self.forget_removed(oldest_ms);
        }
        Answer::Done
    }

    /// Returns whether another incarnation of the worker is remembered. It may be an earlier one even if it
    /// has a later start time, because that is a time on a wall clock.
    pub(crate) fn is_restarted(&self, incarnation: &WorkerIncarnation) -> bool {
        let of_worker = |started_ms| WorkerIncarnation {
            worker: incarnation.worker.clone(),
            started_ms,
        };
        let mut remembered = self.removed.range(of_worker(0)..=of_worker(u64::MAX));
        remembered.any(|(other, _)| other != incarnation)
    }

    /// Returns the remembered incarnations of the worker that would replace this one if they announced
    /// themselves again.
    pub(crate) fn rivals(&self, incarnation: &WorkerIncarnation) -> Vec<WorkerIncarnation> {
        let last = WorkerIncarnation {
            worker: incarnation.worker.clone(),
            started_ms: u64::MAX,
        };
        let later = self.removed.range(incarnation.clone()..=last);
        let later = later.map(|(other, _)| other);
        let rivals = later.filter(|other| *other != incarnation && !self.is_outdated(other));
        rivals.cloned().collect()
    }

    /// Removes the record of an incarnation at `now_ms`, and forgets the records that were removed before
    /// `oldest_ms`.
    pub(crate) fn remove(&mut self, incarnation: &WorkerIncarnation, now_ms: u64, oldest_ms: u64) {
        self.forget_removed(oldest_ms);
        let known = self.by_name.get(&incarnation.worker);
        if known.is_none_or(|known| known.incarnation != *incarnation) {
            return;
        }
        let Some(record) = self.by_name.remove(&incarnation.worker) else {
            return;
        };
        self.keep_removed(record, now_ms);
    }

    fn forget_removed(&mut self, oldest_ms: u64) {
        self.removed
            .retain(|_, worker| worker.removed_ms >= oldest_ms);
        let mut successions = std::mem::take(&mut self.successions);
        successions.retain(|earlier, _| self.is_remembered(earlier));
        self.successions = successions;
    }

    fn keep_removed(&mut self, record: WorkerRecord, now_ms: u64) {
        // Without the time of its start, an incarnation cannot be told from the next one.
        if record.incarnation.started_ms > 0 {
            let removed = RemovedWorker {
                incarnation: record.incarnation,
                is_draining: record.is_draining,
                acknowledged: record.acknowledged,
                removed_ms: now_ms,
            };
            self.removed.insert(removed.incarnation.clone(), removed);
        }
    }

    /// Records that the end with this number was recorded.
    pub(crate) fn acknowledge(&mut self, incarnation: &WorkerIncarnation, number: u64) {
        if let Some(worker) = self.by_name.get_mut(&incarnation.worker)
            && worker.incarnation == *incarnation
        {
            worker.acknowledged = worker.acknowledged.max(number);
        }
    }
}
