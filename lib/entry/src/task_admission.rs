use std::sync::atomic::{AtomicU64, Ordering};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_replica::StateLimits;
use tarragon_workflow::{TaskProgress, WorkflowState};

/// Size of the progress of a task in the memory, in bytes; it is smaller in a snapshot.
const TASK_PROGRESS_BYTES: u64 = size_of::<TaskProgress>() as u64;

/// Time after which a caller that was refused for want of room may try again, in milliseconds.
const STATE_FULL_RETRY_MS: u64 = 1_000;

/// Bound on the tasks of all jobs together.
///
/// A job of a few hundred bytes may have many tasks, whose progress enlarges the state only when the
/// first of them is placed. The log would not show it at submission.
#[derive(Debug)]
pub(crate) struct TaskAdmission {
    max_tasks: u64,
    /// Tasks of jobs whose entries are not applied yet.
    reserved: AtomicU64,
}

/// Tasks that count as held until the entry of their job is applied or refused.
#[derive(Debug)]
pub(crate) struct TaskReservation<'a> {
    reserved: &'a AtomicU64,
    tasks: u64,
}

impl TaskAdmission {
    pub(crate) fn new(limits: StateLimits) -> Self {
        Self {
            max_tasks: limits.max_bytes() / TASK_PROGRESS_BYTES,
            reserved: AtomicU64::new(0),
        }
    }

    /// Reserves room for the tasks of a new job, or refuses it.
    pub(crate) fn reserve(
        &self,
        state: &WorkflowState,
        tasks: u64,
    ) -> Outcome<TaskReservation<'_>> {
        if tasks > self.max_tasks {
            let cause = format!("{tasks} tasks, at most {}", self.max_tasks);
            return Err(Failure::new(Code::TooLarge, cause));
        }
        let reserved = tasks + self.reserved.fetch_add(tasks, Ordering::Relaxed);
        let reservation = TaskReservation {
            reserved: &self.reserved,
            tasks,
        };
        // The state is read last, so a job that is applied meanwhile is counted twice at worst.
        let held = state.held_tasks() + reserved;
        if held > self.max_tasks {
            let cause = format!("{held} tasks with this job, at most {}", self.max_tasks);
            let failure = Failure::new(Code::StateFull, cause);
            return Err(failure.retry_after(STATE_FULL_RETRY_MS));
        }
        Ok(reservation)
    }
}

impl Drop for TaskReservation<'_> {
    fn drop(&mut self) {
        self.reserved.fetch_sub(self.tasks, Ordering::Relaxed);
    }
}
