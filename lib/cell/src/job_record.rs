use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_codes::{Code, Failure};
use tarragon_names::{
    Attempt, Class, IdempotencyKey, JobId, TaskId, TeamName, WorkerName, Workload,
};

use crate::{
    AttemptEnd, JobSpec, JobState, JobView, StartCertainty, TaskRecord, TaskState, TaskView,
    task_record::RetryPolicy,
};

/// Replicated state of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// Index of the log entry that accepted the job.
    pub id: JobId,
    /// Job as requested by the caller.
    pub spec: Arc<JobSpec>,
    /// Idempotency key; `None` if the caller sent none.
    pub key: Option<IdempotencyKey>,
    /// Owner of the catalogue entry at the time of acceptance.
    pub team: TeamName,
    /// Class of the catalogue entry at the time of acceptance.
    pub class: Class,
    /// Pattern of the catalogue entry that covered the job at the time of acceptance.
    pub pattern: Pattern,
    /// Number of failed or lost attempts after which a task ends, unless it belongs to a service.
    pub max_attempts: u32,
    /// Time of acceptance in milliseconds.
    pub accepted_ms: u64,
    /// Time of the end in milliseconds; `None` while the job waits or runs.
    pub ended_ms: Option<u64>,
    /// Whether the job was cancelled, so that no task of it starts any more.
    pub cancelled: bool,
    /// Why the job was refused or failed; if set, no task of it starts any more.
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

    /// Returns whether the job may start new attempts.
    pub fn can_start_tasks(&self) -> bool {
        self.ended_ms.is_none() && !self.cancelled && self.refused.is_none()
    }

    /// Tasks that are assigned to a worker, with attempt and worker.
    pub fn assigned_tasks(&self) -> impl Iterator<Item = (TaskId, Attempt, &WorkerName)> {
        self.tasks
            .iter()
            .enumerate()
            .filter_map(|(index, task)| Some((self.task_id(index), task.attempt, task.worker()?)))
    }

    /// Tasks that wait for a worker, with their next attempt; none if the job may not start any.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = (TaskId, Attempt)> {
        let can_start = self.can_start_tasks();
        self.tasks
            .iter()
            .enumerate()
            .filter(move |(_, task)| can_start && task.state == TaskState::Waiting)
            .map(|(index, task)| (self.task_id(index), task.attempt.next()))
    }

    /// State reported to callers.
    ///
    /// A job is `NotRun` only if no attempt is assigned, none can start later and none may have
    /// begun.
    pub fn state(&self) -> JobState {
        if self.assigned_tasks().next().is_some() {
            return if self.can_start_tasks() {
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
            StartCertainty::Never => JobState::NotRun,
            StartCertainty::Maybe => JobState::Unknown,
            StartCertainty::Certainly if self.all_exited() => JobState::Ran,
            StartCertainty::Certainly if self.cancelled => JobState::Stopped,
            // A task whose last attempt was lost may or may not have finished its work.
            StartCertainty::Certainly if self.refused.is_none() && self.any_lost() => {
                JobState::Unknown
            }
            StartCertainty::Certainly => JobState::Ran,
        }
    }

    /// Whether all tasks exited with status 0; `None` before the end or if the outcome is unknown.
    pub fn success(&self) -> Option<bool> {
        match self.state() {
            JobState::Ran => Some(
                self.tasks
                    .iter()
                    .all(|task| task.state == TaskState::Ended(AttemptEnd::Exited(0))),
            ),
            JobState::Stopped | JobState::NotRun => Some(false),
            _ => None,
        }
    }

    /// Job as reported to callers.
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
        if !self.can_start_tasks() {
            return false;
        }
        self.tasks
            .get_mut(index as usize)
            .is_some_and(|task| task.assign(attempt, worker.clone()))
    }

    pub(crate) fn record_end(&mut self, index: u32, attempt: Attempt, ended: AttemptEnd) -> bool {
        let retry = RetryPolicy {
            restarts_always: self.spec.kind == Workload::Service,
            is_allowed: self.can_start_tasks(),
            max_attempts: self.max_attempts,
        };
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return false;
        };
        if !task.record_end(attempt, ended, retry) {
            return false;
        }
        let failed = matches!(task.state, TaskState::Ended(end) if end != AttemptEnd::Exited(0));
        if self.can_start_tasks() && failed && self.spec.kind == Workload::AllOrNothing {
            // Tasks of an all-or-nothing job are useless without each other.
            self.refused = Some(Failure::new(
                Code::TaskFailed,
                format!("task {index} failed {} times", self.max_attempts),
            ));
        }
        true
    }

    /// Ends the job if no task is assigned and none will start; returns whether it ended now.
    pub(crate) fn end_if_finished(&mut self, at_ms: u64) -> bool {
        if self.ended_ms.is_some() || self.assigned_tasks().next().is_some() {
            return false;
        }
        if self.can_start_tasks() && self.waiting_tasks().next().is_some() {
            return false;
        }
        for task in &mut self.tasks {
            task.end_waiting();
        }
        self.ended_ms = Some(at_ms);
        true
    }

    fn all_exited(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| matches!(task.state, TaskState::Ended(AttemptEnd::Exited(_))))
    }

    fn any_lost(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| task.state == TaskState::Ended(AttemptEnd::LeaseEnded))
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
                    let TaskState::Ended(AttemptEnd::Exited(status)) = task.state else {
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
