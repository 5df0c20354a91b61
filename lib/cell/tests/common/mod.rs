//! A cell whose catalogue has one entry, which covers the prefix `a` and allows all kinds of jobs.

use std::sync::atomic::{AtomicU64, Ordering};

use tarragon_catalogue::{CatalogueEntry, Limits};
use tarragon_cell::{Answer, AttemptEnd, Cell, Command, JobRecord, JobSpec, JobState};
use tarragon_names::{
    Attempt, Class, JobId, LogIndex, Resources, Revision, TaskId, WorkerName, Workload,
};

pub struct Fixture {
    pub cell: Cell,
    index: AtomicU64,
}

pub fn entry(pattern: &str) -> CatalogueEntry {
    CatalogueEntry {
        pattern: pattern.to_owned().into(),
        owner: "reels".into(),
        class: Class::Standard,
        workloads: vec![Workload::Batch, Workload::Service, Workload::AllOrNothing],
        pool: None,
        repeatable: false,
        limits: Limits {
            max_attempts: 2,
            max_jobs: 5,
            max_task: Resources::new(8_000, 0, 0),
            ..Limits::default()
        },
    }
}

pub fn spec(kind: Workload, tasks: u32) -> JobSpec {
    JobSpec {
        name: "a1".into(),
        kind,
        tasks,
        resources: Resources::new(1_000, 100, 0),
        run_ms: 1_000,
        deadline_ms: None,
        payload: "".into(),
    }
}

impl Fixture {
    pub fn new() -> Self {
        let fixture = Self {
            cell: Cell::default(),
            index: AtomicU64::new(0),
        };
        fixture.apply(&Command::PutEntry {
            request_id: "setup".into(),
            expected: Revision(0),
            entry: entry("a*"),
        });
        fixture
    }

    pub fn apply(&self, command: &Command) -> Answer {
        self.apply_at(0, command)
    }

    pub fn apply_at(&self, at_ms: u64, command: &Command) -> Answer {
        let index = self.index.fetch_add(1, Ordering::Relaxed) + 1;
        self.cell.apply(LogIndex(index), at_ms, command)
    }

    pub fn accept(&self, kind: Workload, tasks: u32) -> JobId {
        let command = Command::AcceptJob {
            key: None,
            spec: spec(kind, tasks),
        };
        match self.apply(&command) {
            Answer::Accepted(job) => job,
            other => panic!("expected the job to be accepted, got {other:?}"),
        }
    }

    pub fn assign(&self, job: JobId, index: u32, attempt: u32) -> bool {
        let task = TaskId { job, index };
        let worker = WorkerName::from("w1");
        let tasks = vec![(task, Attempt(attempt), worker)];
        self.apply(&Command::Assign { tasks }) == Answer::Assigned(vec![task])
    }

    pub fn end(&self, job: JobId, index: u32, attempt: u32, ended: AttemptEnd) {
        self.apply(&Command::End {
            task: TaskId { job, index },
            attempt: Attempt(attempt),
            ended,
        });
    }

    pub fn state(&self, job: JobId) -> JobState {
        self.cell.with_job(job, JobRecord::state).unwrap()
    }
}
