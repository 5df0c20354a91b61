use std::sync::Arc;

use tarragon_names::{Name, TeamName};
use tarragon_workflow::{Job, JobPhase, JobSpec, ReadyStep};

/// What the plans of a job follow from, read from the replicated state at one time.
///
/// The thread that applies the log may cancel the job or complete its steps at any time, and the
/// description of an ended job is dropped. Parts that are read one after the other need not fit together.
pub(crate) struct JobReading {
    pub(crate) phase: JobPhase,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) queue: Name,
    pub(crate) team: Option<TeamName>,
    pub(crate) accepted_ms: u64,
    /// Steps of the open occurrences that have waiting tasks and whose dependencies are done.
    pub(crate) ready: Vec<ReadyStep>,
    /// Number of open occurrences.
    pub(crate) open: usize,
    /// Unix time in milliseconds at which the next occurrence is due; `None` if there is none.
    pub(crate) next_due_ms: Option<u64>,
}

impl JobReading {
    /// Reads a job at the unix time `now_ms`. At most `max_open` occurrences are open beside those that
    /// have begun.
    pub(crate) fn of(job: &Job, now_ms: u64, max_open: usize) -> Self {
        let open = job.open_occurrences(now_ms, max_open);
        Self {
            phase: job.phase,
            spec: Arc::clone(&job.spec),
            queue: job.queue.clone(),
            team: job.team.clone(),
            accepted_ms: job.accepted_ms,
            ready: job.ready_steps(&open),
            open: open.len(),
            next_due_ms: job.next_due_ms(now_ms),
        }
    }

    /// Unix time in milliseconds at which an occurrence is due; the acceptance of a job that runs once.
    pub(crate) fn due_ms(&self, occurrence: u32) -> u64 {
        if self.spec.repeat_count == 0 {
            self.accepted_ms
        } else {
            self.spec.due_ms(occurrence)
        }
    }
}
