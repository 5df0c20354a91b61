use std::collections::BTreeMap;

use parking_lot::Mutex;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_replica::StateLimits;
use tarragon_workflow::{JobKey, TaskProgress, WorkflowState};

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
    /// Jobs whose entries are not applied yet.
    reserved: Mutex<BTreeMap<JobKey, ReservedTasks>>,
}

/// Tasks of a job whose entry is not applied yet.
#[derive(Debug)]
struct ReservedTasks {
    tasks: u64,
    /// Number of submissions of the job that wait for the entry.
    submissions: usize,
}

/// Tasks that count as held until the entry of their job is applied or refused.
#[derive(Debug)]
pub(crate) struct TaskReservation<'a> {
    reserved: &'a Mutex<BTreeMap<JobKey, ReservedTasks>>,
    job: JobKey,
}

impl TaskAdmission {
    pub(crate) fn new(limits: StateLimits) -> Self {
        Self {
            max_tasks: limits.max_bytes() / TASK_PROGRESS_BYTES,
            reserved: Mutex::default(),
        }
    }

    /// Reserves room for the tasks of a new job, or refuses it. A submission that arrives again before
    /// its entry is applied shares the room of the first one.
    pub(crate) fn reserve(
        &self,
        state: &WorkflowState,
        job: JobKey,
        tasks: u64,
    ) -> Outcome<TaskReservation<'_>> {
        if tasks > self.max_tasks {
            let cause = format!("{tasks} tasks, at most {}", self.max_tasks);
            return Err(Failure::new(Code::TooLarge, cause));
        }
        let mut reserved = self.reserved.lock();
        let known = reserved.get(&job);
        let has_room = known.is_some_and(|known| tasks <= known.tasks)
            || state.with_job(job, |_| ()).is_some();
        if !has_room {
            let others = reserved.values().map(|job| job.tasks).sum::<u64>();
            // The state is read last, so a job that is applied meanwhile is counted twice at worst.
            let held = others + tasks + state.held_tasks();
            if held > self.max_tasks {
                let cause = format!("{held} tasks with this job, at most {}", self.max_tasks);
                let failure = Failure::new(Code::StateFull, cause);
                return Err(failure.retry_after(STATE_FULL_RETRY_MS));
            }
        }
        let known = reserved.entry(job).or_insert(ReservedTasks {
            tasks,
            submissions: 0,
        });
        known.tasks = known.tasks.max(tasks);
        known.submissions += 1;
        Ok(TaskReservation {
            reserved: &self.reserved,
            job,
        })
    }
}

impl Drop for TaskReservation<'_> {
    fn drop(&mut self) {
        let mut reserved = self.reserved.lock();
        if let Some(known) = reserved.get_mut(&self.job) {
            known.submissions -= 1;
            if known.submissions == 0 {
                reserved.remove(&self.job);
            }
        }
    }
}
