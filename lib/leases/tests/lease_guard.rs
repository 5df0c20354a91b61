//! Rules of the worker's side, one by one; the model check in lib/scheduler covers their interplay.

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

/// A worker in session 3.1 with a lease from reading 100 on.
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

/// Guards against a start that a fence, a lease or an earlier copy of it forbids.
#[parameterized(
    plain = { &[], start(3, 1, 1), 200, 1 },
    repeated = { &[start(3, 1, 1)], start(3, 1, 1), 200, 0 },
    other_session = { &[], start(3, 2, 1), 200, 0 },
    deposed_leader = { &[], start(2, 1, 1), 200, 0 },
    lease_ended = { &[], start(3, 1, 1), 10_100, 0 },
    while_registering = {
        &[GuardEvent::Order(WorkerOrder::UnknownSession { term: Term(4) })],
        start(3, 1, 1), 200, 0
    },
    withdrawn = { &[stop(1)], start(3, 1, 1), 200, 0 },
    next_attempt = { &[stop(1)], start(3, 1, 2), 200, 1 },
    late_welcome = { &[welcome(3, 2, 50)], start(3, 2, 1), 200, 0 },
    expired_reply = { &[reply(3, 1, 100)], start(3, 1, 1), 10_100, 0 },
    renewed = { &[reply(3, 1, 150)], start(3, 1, 1), 10_100, 1 },
    renewed_for_other_session = { &[reply(3, 2, 150)], start(3, 1, 1), 10_100, 0 },
)]
fn start_is_fenced(before: &[GuardEvent], order: GuardEvent, at: u64, expected: usize) {
    let mut guard = guard();
    for event in before {
        guard.step(Millis(190), event.clone());
    }
    assert_eq!(starts(&guard.step(Millis(at), order)), expected);
}

/// Guards against an attempt that ended and begins again by a delayed copy of its start.
#[test]
fn ended_attempt_does_not_begin_again() {
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

/// Guards against a worker that wakes after its lease ended and goes on running its tasks.
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

/// Guards against tasks lost by a change of leader while the lease still runs.
#[test]
fn new_leader_gets_the_running_tasks() {
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
