//! Individual rules of the worker's side; the model check in lib/scheduler tests them together.

use tarragon_leases::{
    GuardAction, GuardConfig, GuardEvent, LeaseGuard, TaskEnd, TaskSpec, WORKER_LEASE_DURATION,
    WorkerOrder, WorkerReport,
};
use tarragon_names::{Attempt, Fence, JobId, Millis, Resources, Session, TaskId, Term, Workload};
use yare::parameterized;

const TASK: TaskId = TaskId {
    job: JobId(7),
    index: 0,
};

fn session(term: u64, counter: u64) -> Session {
    Session {
        term: Term(term),
        counter,
    }
}

fn welcome(term: u64, counter: u64, clock: u64) -> GuardEvent {
    GuardEvent::Order(WorkerOrder::Welcome {
        term: Term(term),
        session: session(term, counter),
        clock: Millis(clock),
        lease: WORKER_LEASE_DURATION,
    })
}

fn reply(term: u64, counter: u64, clock: u64) -> GuardEvent {
    GuardEvent::Order(WorkerOrder::HeartbeatReply {
        term: Term(term),
        session: session(term, counter),
        clock: Millis(clock),
        lease: WORKER_LEASE_DURATION,
    })
}

fn fence(term: u64, counter: u64) -> Fence {
    Fence {
        term: Term(term),
        session: session(term, counter),
        seq: 1,
    }
}

fn start(term: u64, counter: u64, attempt: u32) -> GuardEvent {
    GuardEvent::Order(WorkerOrder::Start {
        fence: fence(term, counter),
        task: TASK,
        attempt: Attempt(attempt),
        spec: TaskSpec {
            name: "a".into(),
            workload: Workload::Batch,
            resources: Resources::ZERO,
            run_ms: 0,
            payload: [].into(),
        },
    })
}

fn stop(attempt: u32) -> GuardEvent {
    GuardEvent::Order(WorkerOrder::Stop {
        fence: fence(3, 1),
        task: TASK,
        attempt: Attempt(attempt),
    })
}

/// Creates a worker in session 3.1 whose lease counts from reading 100.
fn guard() -> LeaseGuard {
    let cfg = GuardConfig::new("w".into(), "d".into(), "r".into(), Resources::ZERO);
    let mut guard = LeaseGuard::new(cfg);
    guard.step(Millis(100), GuardEvent::Tick);
    guard.step(Millis(110), welcome(3, 1, 100));
    guard
}

fn starts(actions: &[GuardAction]) -> usize {
    let is_start = |action: &&GuardAction| matches!(action, GuardAction::Start { .. });
    actions.iter().filter(is_start).count()
}

/// Guards against starting an attempt with an outdated fencing token, without a lease, or twice.
#[parameterized(
    first_start = { &[], start(3, 1, 1), 200, 1 },
    duplicate_order = { &[start(3, 1, 1)], start(3, 1, 1), 200, 0 },
    other_session = { &[], start(3, 2, 1), 200, 0 },
    deposed_leader = { &[], start(2, 1, 1), 200, 0 },
    lease_ended = { &[], start(3, 1, 1), 10_100, 0 },
    while_registering = {
        &[GuardEvent::Order(WorkerOrder::UnknownSession { term: Term(4) })],
        start(3, 1, 1), 200, 0
    },
    withdrawn_before_start = { &[stop(1)], start(3, 1, 1), 200, 0 },
    next_attempt = { &[stop(1)], start(3, 1, 2), 200, 1 },
    welcome_to_earlier_registration = { &[welcome(3, 2, 50)], start(3, 2, 1), 200, 0 },
    reply_without_extension = { &[reply(3, 1, 100)], start(3, 1, 1), 10_100, 0 },
    lease_renewed = { &[reply(3, 1, 150)], start(3, 1, 1), 10_100, 1 },
    lease_renewed_for_other_session = { &[reply(3, 2, 150)], start(3, 1, 1), 10_100, 0 },
)]
fn attempt_starts_only_if_permitted(
    before: &[GuardEvent],
    order: GuardEvent,
    at: u64,
    expected: usize,
) {
    let mut guard = guard();
    for event in before {
        guard.step(Millis(190), event.clone());
    }
    assert_eq!(starts(&guard.step(Millis(at), order)), expected);
}

/// Guards against starting an ended attempt again when a delayed copy of its start order arrives.
#[test]
fn ended_attempt_is_not_started_again() {
    let mut guard = guard();
    let ended = GuardEvent::Ended {
        task: TASK,
        attempt: Attempt(1),
        end: TaskEnd::Exited(0),
    };
    let recorded = GuardEvent::Order(WorkerOrder::EndRecorded {
        task: TASK,
        attempt: Attempt(1),
    });
    guard.step(Millis(200), start(3, 1, 1));
    guard.step(Millis(300), ended);
    assert!(!guard.is_idle());
    let resent = guard.step(Millis(400), start(3, 1, 1));
    let is_end = |action| matches!(action, &GuardAction::Send(WorkerReport::TaskEnded { .. }));
    assert!(resent.iter().any(is_end));
    guard.step(Millis(500), recorded);
    assert!(guard.is_idle());
    assert_eq!(starts(&guard.step(Millis(600), start(3, 1, 1))), 0);
}

/// Guards against tasks that keep running when a suspended worker resumes after its lease ended.
#[test]
fn tasks_stop_when_the_lease_ends() {
    let mut guard = guard();
    guard.step(Millis(200), start(3, 1, 1));
    let actions = guard.step(Millis(10_100), reply(3, 1, 150));
    let stopped = GuardAction::Stop {
        task: TASK,
        attempt: Attempt(1),
    };
    assert_eq!(actions.first(), Some(&stopped));
    assert!(matches!(
        &actions[1],
        GuardAction::Send(WorkerReport::Register { running, ended, .. })
            if running.is_empty() && ended.as_slice() == [(TASK, Attempt(1), TaskEnd::Stopped)]
    ));
}

/// Guards against losing tasks in a change of leader while the lease is still valid.
#[test]
fn running_tasks_are_reported_to_a_new_leader() {
    let mut guard = guard();
    guard.step(Millis(200), start(3, 1, 1));
    let unknown = WorkerOrder::UnknownSession { term: Term(4) };
    guard.step(Millis(300), GuardEvent::Order(unknown));
    let actions = guard.step(Millis(310), welcome(4, 1, 300));
    assert!(matches!(
        &*actions,
        [GuardAction::Send(WorkerReport::Heartbeat { running, .. })] if running.len() == 1
    ));
    assert_eq!(starts(&guard.step(Millis(320), start(4, 1, 1))), 0);
    assert_eq!(guard.running().count(), 1);
}
