//! Tasks for which a start order got no answer.

use tarragon_names::WorkerName;

use crate::{Answer, TaskKey, WorkflowState, unanswered_start::UnansweredStart};

/// Time for which the state remembers that a start order got no answer, in milliseconds: as long as the
/// order may be carried out, and its run may go on under the longest lease.
const UNANSWERED_RETENTION_MS: u64 = 25_000;

impl WorkflowState {
    /// Returns the tasks for which a start order got no answer lately, at the unix time `now_ms`, with the
    /// workers that the orders were sent to, as far as they are known.
    pub fn unanswered_starts(&self, now_ms: u64) -> Vec<(TaskKey, Option<WorkerName>)> {
        let oldest_ms = now_ms.saturating_sub(UNANSWERED_RETENTION_MS);
        let recorded = self.unanswered_starts.lock();
        let recent = recorded
            .iter()
            .filter(|(_, start)| start.recorded_ms >= oldest_ms);
        let recent = recent.map(|(task, start)| (*task, start.worker.clone()));
        recent.collect()
    }

    pub(crate) fn record_unanswered_starts(&self, tasks: &[TaskKey], now_ms: u64) -> Answer {
        let oldest_ms = now_ms.saturating_sub(UNANSWERED_RETENTION_MS);
        let workers = tasks.iter().map(|task| (*task, self.worker_of(task)));
        let workers = workers.collect::<Vec<_>>();
        let mut recorded = self.unanswered_starts.lock();
        recorded.retain(|_, start| start.recorded_ms >= oldest_ms);
        for (task, worker) in workers {
            let previous = recorded.remove(&task).and_then(|start| start.worker);
            let start = UnansweredStart {
                recorded_ms: now_ms,
                worker: worker.or(previous),
            };
            recorded.insert(task, start);
        }
        Answer::Done
    }

    /// Worker on which a run of the task is placed.
    fn worker_of(&self, task: &TaskKey) -> Option<WorkerName> {
        let worker = self.with_job(task.step.job, |job| {
            let placement = job.task(task)?.placement()?;
            Some(placement.incarnation.worker.clone())
        });
        worker.flatten()
    }
}
