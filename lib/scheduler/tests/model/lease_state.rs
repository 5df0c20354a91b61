use std::collections::BTreeSet;

use tarragon_catalogue::{CatalogueEntry, Limits};
use tarragon_cell::{AttemptEnd, Cell, Command, JobRecord, JobSpec};
use tarragon_leases::{
    GuardAction, GuardEvent, LeaseGuard, RunningTask, TaskEnd, TaskSpec, WorkerLeases, WorkerReport,
};
use tarragon_names::{
    Attempt, Class, Fence, JobId, LogIndex, Millis, Resources, Revision, TaskId, WorkerName,
    Workload,
};

use super::lease_message::{EndKind, Message, Report};

/// True time advances in steps of this length; the lease is two steps.
const TIME_STEP_MS: u64 = 1_000;

/// Job of the model.
const JOB: JobId = JobId(2);

/// Only task of the job.
pub(super) const TASK: TaskId = TaskId { job: JOB, index: 0 };

/// A record of the replicated log.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Record {
    Assign(Attempt, usize),
    End(Attempt, Outcome),
    Cancel,
}

/// End of an attempt, as the log records it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Outcome {
    Reported(EndKind),
    LeaseEnded,
}

/// State of the model: the log, the leaders, the workers and the messages between them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    pub(super) time: u64,
    pub(super) log: Vec<Record>,
    pub(super) leaders: Vec<WorkerLeases>,
    pub(super) guards: Vec<LeaseGuard>,
    pub(super) in_flight: BTreeSet<Message>,
    pub(super) repeats: u8,
    pub(super) has_begun: bool,
}

impl State {
    pub(super) fn now(&self) -> Millis {
        Millis(self.time * TIME_STEP_MS)
    }

    /// Clock of a worker. The first worker's clock is 1% slow, the second's 1% fast.
    fn clock(&self, worker: usize) -> Millis {
        let rate = if worker == 0 { 990 } else { 1_010 };
        Millis(100_000 + self.time * rate)
    }

    /// Fencing token of the current leader. Its sequence number is zero, since it does not affect
    /// whether an order is accepted and would only multiply the states.
    pub(super) fn fence(&self, worker: usize) -> Option<Fence> {
        let fence = self.leaders.last()?.clone().fence(&name(worker))?;
        Some(Fence { seq: 0, ..fence })
    }

    pub(super) fn send(&mut self, message: Message) {
        self.in_flight.insert(message);
    }

    pub(super) fn step_guard(&mut self, worker: usize, event: GuardEvent) {
        let clock = self.clock(worker);
        for action in self.guards[worker].step(clock, event) {
            match action {
                GuardAction::Start { .. } => self.has_begun = true,
                GuardAction::Stop { attempt, .. } => {
                    let end = TaskEnd::Stopped;
                    self.step_guard(worker, ended(attempt, end));
                }
                GuardAction::Send(report) => {
                    let report = match report {
                        WorkerReport::Register { clock, ended, .. } => {
                            for (_, attempt, end) in ended {
                                self.send(Message::ToLeader(
                                    worker,
                                    Report::Ended(attempt, EndKind::from(end)),
                                ));
                            }
                            Report::Register(clock)
                        }
                        WorkerReport::Heartbeat {
                            session,
                            clock,
                            running,
                        } => Report::Heartbeat(session, clock, attempt_of(&running)),
                        WorkerReport::TaskEnded { attempt, end, .. } => {
                            Report::Ended(attempt, EndKind::from(end))
                        }
                        WorkerReport::Leaving { .. } => continue,
                    };
                    self.send(Message::ToLeader(worker, report));
                }
                _ => {}
            }
        }
    }

    /// Cell that results from applying the log.
    fn cell(&self) -> Cell {
        let cell = Cell::default();
        let mut commands = vec![
            Command::PutEntry {
                request_id: "r".into(),
                expected: Revision(0),
                entry: entry(),
            },
            Command::AcceptJob {
                key: None,
                spec: job_spec(),
            },
        ];
        commands.extend(self.log.iter().map(|record| match *record {
            Record::Assign(attempt, worker) => Command::Assign {
                tasks: vec![(TASK, attempt, name(worker))],
            },
            Record::End(attempt, outcome) => Command::End {
                task: TASK,
                attempt,
                ended: match outcome {
                    Outcome::Reported(EndKind::Exited) => AttemptEnd::Exited(0),
                    Outcome::Reported(EndKind::Stopped) => AttemptEnd::Stopped,
                    Outcome::Reported(EndKind::NeverBegan) => AttemptEnd::NeverBegan,
                    Outcome::LeaseEnded => AttemptEnd::LeaseEnded,
                },
            },
            Record::Cancel => Command::Cancel { job: JOB },
        }));
        for (index, command) in commands.iter().enumerate() {
            cell.apply(LogIndex(index as u64 + 1), 0, command);
        }
        cell
    }

    pub(super) fn job<R>(&self, read: fn(&JobRecord) -> R) -> R {
        self.cell().with_job(JOB, read).unwrap()
    }

    pub(super) fn assigned(&self) -> Option<(Attempt, usize)> {
        self.job(|job| {
            let (_, attempt, worker) = job.assigned_tasks().next()?;
            Some((attempt, usize::from(worker.as_str() == "w1")))
        })
    }

    /// Appends an end unless the log contains it, so that repeated reports create no new states.
    pub(super) fn append_end(&mut self, attempt: Attempt, outcome: Outcome) {
        let record = Record::End(attempt, outcome);
        if !self.log.contains(&record) {
            self.log.push(record);
        }
    }

    /// Attempts that run on workers with a valid lease, with those workers.
    pub(super) fn running_attempts(&self) -> Vec<(Attempt, usize)> {
        let runs = |(worker, guard): (usize, &LeaseGuard)| {
            let (_, attempt) = guard.running().next()?;
            (self.clock(worker) < guard.lease_until()).then_some((attempt, worker))
        };
        self.guards.iter().enumerate().filter_map(runs).collect()
    }
}

pub(super) fn name(worker: usize) -> WorkerName {
    if worker == 0 {
        "w0".into()
    } else {
        "w1".into()
    }
}

pub(super) fn ended(attempt: Attempt, end: TaskEnd) -> GuardEvent {
    GuardEvent::Ended {
        task: TASK,
        attempt,
        end,
    }
}

fn attempt_of(running: &[RunningTask]) -> Option<Attempt> {
    running.first().map(|task| task.attempt)
}

pub(super) fn spec() -> TaskSpec {
    TaskSpec {
        name: "a".into(),
        workload: Workload::Batch,
        resources: Resources::ZERO,
        run_ms: 0,
        payload: [].into(),
    }
}

fn job_spec() -> JobSpec {
    JobSpec {
        name: "a".into(),
        kind: Workload::Batch,
        tasks: 1,
        resources: Resources::new(1, 1, 0),
        run_ms: 1,
        deadline_ms: None,
        payload: "".into(),
    }
}

fn entry() -> CatalogueEntry {
    CatalogueEntry {
        pattern: "a".to_owned().into(),
        owner: "t".into(),
        class: Class::Standard,
        workloads: vec![Workload::Batch],
        pool: None,
        repeatable: false,
        limits: Limits::default(),
    }
}
