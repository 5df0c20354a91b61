//! Announcements of workers that come late, out of order, or after the record of the worker was removed.

use tarragon_names::{DomainName, Name, PoolName, Resources, WorkerName};
use tarragon_workflow::{
    Answer, Command, JobKey, RunEnd, RunEvent, StepKey, Succession, TaskKey, WorkerIncarnation,
    WorkerRecord, WorkflowState,
};
use yare::parameterized;

const RETENTION_MS: u64 = 1_000;

/// Start times of two incarnations; the first may have announced itself late.
const FIRST_MS: u64 = 5;
const SECOND_MS: u64 = 6;

/// Start time of an incarnation that does not report it.
const UNKNOWN_MS: u64 = 0;

fn worker() -> WorkerName {
    WorkerName::from("w")
}

fn incarnation(started_ms: u64) -> WorkerIncarnation {
    WorkerIncarnation {
        worker: worker(),
        started_ms,
    }
}

fn put(started_ms: u64, is_draining: bool) -> Command {
    Command::PutWorker(WorkerRecord {
        incarnation: incarnation(started_ms),
        address: Name::from("w:80"),
        domain: DomainName::from("d"),
        pool: PoolName::from("p"),
        capacity: Resources::new(1, 1, 0),
        labels: Vec::new(),
        rack: None,
        is_draining,
        acknowledged: 0,
    })
}

fn ready(started_ms: u64) -> Command {
    put(started_ms, false)
}

fn draining(started_ms: u64) -> Command {
    put(started_ms, true)
}

fn removal(started_ms: u64) -> Command {
    Command::RemoveWorker(incarnation(started_ms))
}

fn end_of_run(number: u64) -> Command {
    let step = StepKey {
        job: JobKey(1),
        occurrence: 0,
        step: 0,
    };
    Command::RunEvents(vec![RunEvent::Ended {
        incarnation: incarnation(FIRST_MS),
        number,
        task: TaskKey { step, index: 0 },
        run: 1,
        end: RunEnd::Failed,
        checkpoint: None,
    }])
}

fn record_after(commands: &[Command]) -> Option<WorkerRecord> {
    let state = WorkflowState::new(RETENTION_MS);
    for command in commands {
        state.apply(1, command);
    }
    state.worker(&worker())
}

/// Guards against a task that is placed on a worker that leaves: an announcement from before it began
/// to drain is committed after the one that told it, or after the record was removed.
#[parameterized(
    after_the_later_one = { &[draining(FIRST_MS), ready(FIRST_MS)] },
    after_a_removal = { &[draining(FIRST_MS), removal(FIRST_MS), ready(FIRST_MS)] },
    after_two_removals = {
        &[draining(FIRST_MS), removal(FIRST_MS), ready(FIRST_MS), removal(FIRST_MS), ready(FIRST_MS)]
    },
)]
fn late_announcement_does_not_end_the_drain(commands: &[Command]) {
    let record = record_after(commands).expect("the worker is known");
    assert!(record.is_draining);
}

/// Guards against a restarted worker that gets no tasks because its earlier incarnation left. Without
/// its start time, an incarnation cannot be told from the one before.
#[parameterized(
    while_known = { &[draining(FIRST_MS), ready(SECOND_MS)] },
    after_a_removal = { &[draining(FIRST_MS), removal(FIRST_MS), ready(SECOND_MS)] },
    without_start_time = { &[draining(UNKNOWN_MS), removal(UNKNOWN_MS), ready(UNKNOWN_MS)] },
)]
fn next_incarnation_does_not_drain(commands: &[Command]) {
    let record = record_after(commands).expect("the worker is known");
    assert!(!record.is_draining);
}

/// Guards against ends that are listed and proposed again by a worker that was cut off until its record
/// was removed.
#[test]
fn acknowledged_number_survives_the_removal_of_the_record() {
    let commands = [
        ready(FIRST_MS),
        end_of_run(7),
        removal(FIRST_MS),
        ready(FIRST_MS),
    ];
    let record = record_after(&commands).expect("the worker is known");
    assert_eq!(record.acknowledged, 7);
}

/// Guards against a state that grows with every worker that was ever removed.
#[test]
fn removed_worker_is_forgotten_after_the_retention() {
    let state = WorkflowState::new(RETENTION_MS);
    state.apply(1, &draining(FIRST_MS));
    state.apply(1, &removal(FIRST_MS));
    state.apply(2 + RETENTION_MS, &ready(SECOND_MS));
    state.apply(2 + RETENTION_MS, &removal(SECOND_MS));
    let removed = state.snapshot().removed_workers;
    let removed = removed.iter().map(|worker| worker.incarnation.started_ms);
    assert_eq!(removed.collect::<Vec<_>>(), [SECOND_MS]);
}

/// Guards against a leader that takes a restarted worker for one that has always been up, and counts with
/// too short a lease.
#[parameterized(
    replaced = { &[ready(FIRST_MS), ready(SECOND_MS)], true },
    removed_and_back = { &[ready(FIRST_MS), removal(FIRST_MS), ready(SECOND_MS)], true },
    returned_as_the_same = { &[ready(SECOND_MS), removal(SECOND_MS), ready(SECOND_MS)], false },
    announced_late = { &[ready(SECOND_MS), ready(FIRST_MS)], false },
    first_one = { &[ready(SECOND_MS)], false },
)]
fn earlier_incarnation_is_remembered(commands: &[Command], is_restarted: bool) {
    let state = WorkflowState::new(RETENTION_MS);
    for command in commands {
        state.apply(1, command);
    }
    let restored = WorkflowState::new(RETENTION_MS);
    restored.restore(state.snapshot());
    assert_eq!(restored.is_restarted(&incarnation(SECOND_MS)), is_restarted);
}

/// Guards against the same when the clock of the worker went back between its two starts.
#[test]
fn earlier_incarnation_with_a_later_start_time_is_remembered() {
    let state = WorkflowState::new(RETENTION_MS);
    for command in [ready(SECOND_MS), removal(SECOND_MS), ready(FIRST_MS)] {
        state.apply(1, &command);
    }
    assert!(state.is_restarted(&incarnation(FIRST_MS)));
}

/// Guards against a state that grows with every restart of a worker.
#[test]
fn replaced_incarnation_is_forgotten_after_the_retention() {
    let state = WorkflowState::new(RETENTION_MS);
    for restart in 1..=20 {
        state.apply(restart * RETENTION_MS, &ready(restart));
    }
    assert!(state.snapshot().removed_workers.len() <= 2);
}

/// Records that the incarnation with the start time `later_ms` has followed the one with `earlier_ms`.
fn succession(earlier_ms: u64, later_ms: u64) -> Command {
    Command::PutSuccession(Succession {
        earlier: incarnation(earlier_ms),
        later_started_ms: later_ms,
    })
}

/// Guards against a worker that stays shut out after its clock went back, and against announcements of an
/// incarnation that has ended.
#[parameterized(
    without_a_proof = { &[ready(SECOND_MS), ready(FIRST_MS)], SECOND_MS },
    with_a_proof = {
        &[ready(SECOND_MS), succession(SECOND_MS, FIRST_MS), ready(FIRST_MS)],
        FIRST_MS
    },
    late_announcement_of_the_former = {
        &[ready(SECOND_MS), succession(SECOND_MS, FIRST_MS), ready(FIRST_MS), ready(SECOND_MS)],
        FIRST_MS
    },
    former_is_removed_before_the_proof = {
        &[
            ready(SECOND_MS),
            removal(SECOND_MS),
            succession(SECOND_MS, FIRST_MS),
            ready(FIRST_MS),
            ready(SECOND_MS),
        ],
        FIRST_MS
    },
    proof_about_another_incarnation = {
        &[ready(SECOND_MS), succession(SECOND_MS + 1, FIRST_MS), ready(FIRST_MS)],
        SECOND_MS
    },
    later_proof_against_an_earlier_one = {
        &[
            ready(SECOND_MS),
            succession(SECOND_MS, FIRST_MS),
            ready(FIRST_MS),
            succession(FIRST_MS, SECOND_MS),
            ready(SECOND_MS),
            ready(FIRST_MS),
        ],
        SECOND_MS
    },
    proof_about_an_unknown_start_time = {
        &[ready(SECOND_MS), succession(SECOND_MS, UNKNOWN_MS), ready(UNKNOWN_MS)],
        SECOND_MS
    },
)]
fn proof_decides_which_incarnation_is_recorded(commands: &[Command], recorded_ms: u64) {
    let record = record_after(commands).expect("the worker is known");
    assert_eq!(record.incarnation, incarnation(recorded_ms));
}

/// Guards against ends that are listed and proposed again by an incarnation that a late announcement of an
/// earlier one had replaced.
#[test]
fn acknowledged_number_survives_a_wrong_replacement() {
    let commands = [
        ready(FIRST_MS),
        end_of_run(7),
        ready(SECOND_MS),
        succession(SECOND_MS, FIRST_MS),
        ready(FIRST_MS),
    ];
    let record = record_after(&commands).expect("the worker is known");
    assert_eq!(record.acknowledged, 7);
}

/// Guards against a refused announcement that is reported as recorded.
#[test]
fn announcement_of_a_succeeded_incarnation_is_not_newer() {
    let state = WorkflowState::new(RETENTION_MS);
    for command in [ready(SECOND_MS), succession(SECOND_MS, FIRST_MS)] {
        state.apply(1, &command);
    }
    assert!(state.is_outdated(&incarnation(SECOND_MS)));
    assert_eq!(state.apply(1, &ready(SECOND_MS)), Answer::NotNewer);
}

/// Guards against a state that grows with every clock that goes back.
#[test]
fn succession_is_forgotten_with_its_earlier_incarnation() {
    let state = WorkflowState::new(RETENTION_MS);
    for restart in 1..=20 {
        let (earlier_ms, later_ms) = (200 - restart, 199 - restart);
        let at_ms = restart * RETENTION_MS;
        state.apply(at_ms, &ready(earlier_ms));
        state.apply(at_ms, &succession(earlier_ms, later_ms));
        state.apply(at_ms, &ready(later_ms));
    }
    let snapshot = state.snapshot();
    assert_eq!(snapshot.workers[&worker()].incarnation, incarnation(179));
    assert!(snapshot.removed_workers.len() <= 2);
    assert!(snapshot.successions.len() <= 2);
}
