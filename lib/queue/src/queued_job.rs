use tarragon_names::{Class, JobId, Millis, Resources, TeamName, Workload};

/// A job that waits for capacity on workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedJob {
    /// Identity of the job.
    pub job: JobId,
    /// Team whose quota the job counts against.
    pub team: TeamName,
    /// Class from the catalogue, before ageing.
    pub class: Class,
    /// Time by which the job should end; `None` for a job without a deadline.
    pub deadline: Option<Millis>,
    /// Whether the job is a batch, a service or all-or-nothing.
    pub workload: Workload,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Expected run time of a task; zero for a service.
    pub run_time: Millis,
    /// Time of acceptance, which a job keeps when it returns to the queue.
    pub accepted_at: Millis,
}

impl QueuedJob {
    /// Latest start that meets the deadline; `None` for a job without one.
    pub fn latest_start(&self) -> Option<Millis> {
        self.deadline.map(|deadline| deadline.since(self.run_time))
    }

    /// Resources that all waiting tasks need together.
    pub fn total_resources(&self) -> Resources {
        self.resources.times(u64::from(self.tasks))
    }

    /// Resources without which the job cannot start: all tasks of an all-or-nothing job, else one
    /// task.
    pub fn minimum_to_start(&self) -> Resources {
        if self.workload == Workload::AllOrNothing {
            self.total_resources()
        } else {
            self.resources
        }
    }

    /// Processor time that the job needs, in thousandths of a core times milliseconds.
    pub(crate) fn work(&self) -> u128 {
        u128::from(self.total_resources().cpu_milli) * u128::from(self.run_time.0)
    }
}
