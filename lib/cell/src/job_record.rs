use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_codes::{Code, Failure};
use tarragon_names::{
    Attempt, Class, IdempotencyKey, JobId, TaskId, TeamName, WorkerName, Workload,
};

use crate::{
    Began, Ended, JobSpec, JobState, JobView, TaskRecord, TaskState, TaskView, task_record::Retry,
};

/// A job as the log keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// Identifier.
    pub id: JobId,
    /// The job as its caller asked for it.
    pub spec: Arc<JobSpec>,
    /// Idempotency key of the caller.
    pub key: Option<IdempotencyKey>,
    /// Owner by the catalogue at the time of acceptance.
    pub team: TeamName,
    /// Class by the catalogue at the time of acceptance.
    pub class: Class,
    /// Entry that governed the job at the time of acceptance.
    pub pattern: Pattern,
    /// Attempts of each task that may fail or be lost.
    pub max_attempts: u32,
    /// Time of acceptance.
    pub accepted_ms: u64,
    /// Time of the end.
    pub ended_ms: Option<u64>,
    /// Whether a cancellation stops each later start.
    pub cancelled: bool,
    /// Why the job was refused or failed, which stops each later start.
    pub refused: Option<Failure>,
    /// Tasks by their index.
    pub tasks: Vec<TaskRecord>,
}

impl JobRecord {
    pub(crate) fn new(
        id: JobId,
        at_ms: u64,
        key: Option<IdempotencyKey>,
        spec: JobSpec,
        entry: &CatalogueEntry,
    ) -> Self {
        Self {
            id,
            key,
            team: entry.owner.clone(),
            class: entry.class,
            pattern: entry.pattern.clone(),
            max_attempts: entry.limits.max_attempts,
            accepted_ms: at_ms,
            ended_ms: None,
            cancelled: false,
            refused: None,
            tasks: vec![TaskRecord::default(); spec.tasks as usize],
            spec: Arc::new(spec),
        }
    }

    /// Identifier of the task at `index`.
    pub fn task_id(&self, index: usize) -> TaskId {
        TaskId {
            job: self.id,
            index: index as u32,
        }
    }

    /// Tells whether a new attempt may start.
    pub fn may_start(&self) -> bool {
        self.ended_ms.is_none() && !self.cancelled && self.refused.is_none()
    }

    /// Assigned tasks with attempt and worker.
    pub fn assigned(&self) -> impl Iterator<Item = (TaskId, Attempt, &WorkerName)> {
        self.tasks
            .iter()
            .enumerate()
            .filter_map(|(index, task)| Some((self.task_id(index), task.attempt, task.worker()?)))
    }

    /// Tasks that wait for a worker, with the number of their next attempt.
    pub fn waiting(&self) -> impl Iterator<Item = (TaskId, Attempt)> {
        let may_start = self.may_start();
        self.tasks
            .iter()
            .enumerate()
            .filter(move |(_, task)| may_start && task.state == TaskState::Waiting)
            .map(|(index, task)| (self.task_id(index), task.attempt.next()))
    }

    /// State as it is told to callers.
    ///
    /// `NotRun` needs that no attempt is assigned, that no later start is possible and that no
    /// attempt may have begun.
    pub fn state(&self) -> JobState {
        if self.assigned().next().is_some() {
            return if self.may_start() {
                JobState::Running
            } else {
                JobState::Cancelling
            };
        }
        if self.ended_ms.is_none() {
            return JobState::Queued;
        }
        let began = self.tasks.iter().map(|task| task.began).max();
        match began.unwrap_or_default() {
            Began::Never => JobState::NotRun,
            Began::Maybe => JobState::Unknown,
            Began::Certainly if self.all_exited() => JobState::Ran,
            Began::Certainly if self.cancelled => JobState::Stopped,
            // A task whose last attempt was lost may have finished its work or not.
            Began::Certainly if self.refused.is_none() && self.any_lost() => JobState::Unknown,
            Began::Certainly => JobState::Ran,
        }
    }

    /// Whether all tasks ended with exit status 0; `None` before the end or if it is not known.
    pub fn success(&self) -> Option<bool> {
        match self.state() {
            JobState::Ran => Some(
                self.tasks
                    .iter()
                    .all(|task| task.state == TaskState::Ended(Ended::Exited(0))),
            ),
            JobState::Stopped | JobState::NotRun => Some(false),
            _ => None,
        }
    }

    /// The job as it is told to callers.
    pub fn view(&self, with_tasks: bool) -> JobView {
        let tasks = if with_tasks {
            self.tasks.as_slice()
        } else {
            &[]
        };
        JobView {
            job: self.id,
            name: self.spec.name.clone(),
            team: self.team.clone(),
            class: self.class,
            kind: self.spec.kind,
            state: self.state(),
            success: self.success(),
            reason: self.reason(),
            tasks: tasks
                .iter()
                .enumerate()
                .map(|(index, task)| TaskView {
                    index: index as u32,
                    attempt: task.attempt,
                    state: task.state.clone(),
                })
                .collect(),
        }
    }

    pub(crate) fn assign(&mut self, index: u32, attempt: Attempt, worker: &WorkerName) -> bool {
        if !self.may_start() {
            return false;
        }
        self.tasks
            .get_mut(index as usize)
            .is_some_and(|task| task.assign(attempt, worker.clone()))
    }

    pub(crate) fn end(&mut self, index: u32, attempt: Attempt, ended: Ended) -> bool {
        let retry = Retry {
            always: self.spec.kind == Workload::Service,
            allowed: self.may_start(),
            max_attempts: self.max_attempts,
        };
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return false;
        };
        if !task.end(attempt, ended, retry) {
            return false;
        }
        let failed = matches!(task.state, TaskState::Ended(end) if end != Ended::Exited(0));
        if self.may_start() && failed && self.spec.kind == Workload::AllOrNothing {
            // The other tasks are of no use without this one.
            self.refused = Some(Failure::new(
                Code::TaskFailed,
                format!("task {index} failed {} times", self.max_attempts),
            ));
        }
        true
    }

    /// Ends the job once nothing is assigned and nothing will start; tells whether it did.
    pub(crate) fn settle(&mut self, at_ms: u64) -> bool {
        if self.ended_ms.is_some() || self.assigned().next().is_some() {
            return false;
        }
        if self.may_start() && self.waiting().next().is_some() {
            return false;
        }
        for task in &mut self.tasks {
            task.give_up();
        }
        self.ended_ms = Some(at_ms);
        true
    }

    fn all_exited(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| matches!(task.state, TaskState::Ended(Ended::Exited(_))))
    }

    fn any_lost(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| task.state == TaskState::Ended(Ended::LeaseEnded))
    }

    fn reason(&self) -> Option<Failure> {
        if self.refused.is_some() {
            return self.refused.clone();
        }
        match (self.state(), self.success()) {
            (JobState::NotRun, _) => Some(Failure::new(
                Code::NotRun,
                "cancelled before any task began",
            )),
            (JobState::Unknown, _) => Some(Failure::new(
                Code::OutcomeUnknown,
                "the lease of the last attempt ended, so its outcome is not known",
            )),
            (JobState::Ran, Some(false)) => {
                self.tasks.iter().enumerate().find_map(|(index, task)| {
                    let TaskState::Ended(Ended::Exited(status)) = task.state else {
                        return None;
                    };
                    (status != 0).then(|| {
                        Failure::new(
                            Code::TaskFailed,
                            format!("task {index} exited with status {status}"),
                        )
                    })
                })
            }
            _ => None,
        }
    }
}
