use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tarragon_names::{Name, WorkerName};

use crate::{
    Configuration, Job, JobKey, OccurrenceSet, Queue, RemovedWorker, Succession, TaskHistory,
    TaskKey, TeamRecords, Wave, WaveKey, WorkerRecord,
};

/// Serializable copy of a whole [`WorkflowState`](crate::WorkflowState).
///
/// Its serialized form is followed by those of its [`histories`](Self::histories), of
/// [`removed_workers`](Self::removed_workers), [`successions`](Self::successions),
/// [`teams`](Self::teams), [`unanswered_starts`](Self::unanswered_starts),
/// [`done_occurrences`](Self::done_occurrences) and [`unanswered_workers`](Self::unanswered_workers).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkflowSnapshot {
    /// Configuration in force at the time of the snapshot.
    pub configuration: Configuration,
    /// Queues of the configuration in force, and removed ones, because jobs may still belong to them.
    pub queues: BTreeMap<Name, Queue>,
    /// Jobs that have not ended, and ended jobs that are still retained.
    pub jobs: Vec<Job>,
    /// Latest known incarnation of each worker.
    pub workers: BTreeMap<WorkerName, WorkerRecord>,
    /// Waves of machine upkeep, including completed ones.
    pub waves: BTreeMap<WaveKey, Wave>,
    /// Latest unix time of an applied command, in milliseconds.
    pub now_ms: u64,
    /// What is kept of the workers whose records were removed.
    #[serde(skip)]
    pub removed_workers: Vec<RemovedWorker>,
    /// Successions of incarnations of which a record or a removed one is kept.
    #[serde(skip)]
    pub successions: Vec<Succession>,
    /// Teams, and the teams of the jobs.
    #[serde(skip)]
    pub teams: TeamRecords,
    /// Tasks for which a start order got no answer lately, with the times of their records.
    #[serde(skip)]
    pub unanswered_starts: BTreeMap<TaskKey, u64>,
    /// Done occurrences of the jobs with so many that `jobs` does not list them.
    #[serde(skip)]
    pub done_occurrences: Vec<(JobKey, OccurrenceSet)>,
    /// Workers to which the orders in `unanswered_starts` were sent, as far as they are known.
    #[serde(skip)]
    pub unanswered_workers: BTreeMap<TaskKey, WorkerName>,
}

impl WorkflowSnapshot {
    /// What the serialized form of the tasks leaves out.
    pub fn histories(&self) -> Vec<TaskHistory> {
        self.jobs.iter().flat_map(Job::histories).collect()
    }

    /// Completes a snapshot that was read back; `None` if it was written by a release that stored no
    /// histories.
    pub fn restore_histories(&mut self, histories: Option<Vec<TaskHistory>>) {
        let Some(histories) = histories else {
            self.jobs.iter_mut().for_each(Job::assume_histories);
            return;
        };
        let jobs = self.jobs.iter_mut().map(|job| (job.key, job));
        let mut jobs = jobs.collect::<BTreeMap<JobKey, &mut Job>>();
        for history in histories {
            if let Some(job) = jobs.get_mut(&history.task.step.job) {
                job.restore_history(history);
            }
        }
    }
}
