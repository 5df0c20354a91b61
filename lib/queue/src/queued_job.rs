use tarragon_names::{Class, JobId, Millis, Resources, TeamName, Workload};

/// A job that waits for workers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedJob {
    /// The job.
    pub job: JobId,
    /// Team that owns it.
    pub team: TeamName,
    /// Class from the catalogue, before ageing.
    pub class: Class,
    /// Time by which the job should have ended.
    pub deadline: Option<Millis>,
    /// Kind of work.
    pub workload: Workload,
    /// What each task needs.
    pub resources: Resources,
    /// Number of tasks that wait.
    pub tasks: u32,
    /// Expected run time of a task; zero for a service.
    pub run_time: Millis,
    /// Time of acceptance, which a job keeps when it comes back to the queue.
    pub accepted_at: Millis,
}

impl QueuedJob {
    /// Latest start that still meets the deadline.
    pub fn latest_start(&self) -> Option<Millis> {
        self.deadline.map(|deadline| deadline.since(self.run_time))
    }

    /// What all waiting tasks need together.
    pub fn total_resources(&self) -> Resources {
        self.resources.times(u64::from(self.tasks))
    }

    /// The least that the job needs in order to start.
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
