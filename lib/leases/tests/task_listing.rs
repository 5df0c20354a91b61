//! Guards against listing every task in each heartbeat, and against an incomplete first list of a
//! session, from which the leader would conclude that the missing tasks are lost.

use std::sync::Arc;

use tarragon_leases::{
    GuardAction, GuardConfig, GuardEvent, LeaseGuard, TaskSpec, WORKER_HEARTBEAT_INTERVAL,
    WORKER_LEASE_DURATION, WorkerOrder, WorkerReport,
};
use tarragon_names::{Attempt, Fence, JobId, Millis, Resources, Session, TaskId, Term, Workload};
use yare::parameterized;

const SESSION: Session = Session {
    term: Term(1),
    counter: 1,
};
const TASKS: u32 = 3;

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId(1),
        index,
    }
}

/// Creates a worker with three running tasks, in a session granted at time 1.
fn worker() -> LeaseGuard {
    let cfg = GuardConfig::new(
        "w".into(),
        "d".into(),
        "r".into(),
        Resources::new(10, 10, 0),
    );
    let mut guard = LeaseGuard::new(cfg);
    guard.step(Millis(1), GuardEvent::Tick);
    let welcome = WorkerOrder::Welcome {
        term: Term(1),
        session: SESSION,
        clock: Millis(1),
        lease: WORKER_LEASE_DURATION,
    };
    guard.step(Millis(1), GuardEvent::Order(welcome));
    for index in 0..TASKS {
        let spec = TaskSpec {
            name: "n".into(),
            workload: Workload::Batch,
            resources: Resources::new(1, 1, 0),
            run_ms: 1,
            payload: Arc::from([]),
        };
        let fence = Fence {
            term: Term(1),
            session: SESSION,
            seq: 1,
        };
        let start = WorkerOrder::Start {
            fence,
            task: task(index),
            attempt: Attempt(1),
            spec,
        };
        guard.step(Millis(2), GuardEvent::Order(start));
    }
    guard
}

/// Makes the worker send a heartbeat and returns the number of tasks that it lists.
fn listed_in_heartbeat(guard: &mut LeaseGuard, now: Millis, is_answered: bool) -> usize {
    let actions = guard.step(now, GuardEvent::Tick);
    let listed = actions.iter().find_map(|action| match action {
        GuardAction::Send(WorkerReport::Heartbeat { running, .. }) => Some(running.len()),
        _ => None,
    });
    if is_answered {
        let reply = WorkerOrder::HeartbeatReply {
            term: Term(1),
            session: SESSION,
            clock: now,
            lease: WORKER_LEASE_DURATION,
        };
        guard.step(now, GuardEvent::Order(reply));
    }
    listed.expect("the worker should send a heartbeat")
}

/// Guards against listing unchanged tasks, and against never repeating the full list.
#[parameterized(
    unchanged_tasks_are_omitted = { &[true; 4], &[3, 0, 0, 0] },
    full_list_is_repeated_until_answered = { &[false, false, true, true], &[3, 3, 3, 0] },
    every_eleventh_list_is_full = { &[true; 12], &[3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 3] },
)]
fn heartbeat_lists_changed_tasks(answered: &[bool], expected: &[usize]) {
    let mut guard = worker();
    let listed = answered.iter().enumerate().map(|(n, is_answered)| {
        let now = Millis(WORKER_HEARTBEAT_INTERVAL.0 * (n as u64 + 1) + 1);
        listed_in_heartbeat(&mut guard, now, *is_answered)
    });
    assert_eq!(listed.collect::<Vec<_>>(), expected);
}

/// Guards against omitting a changed usage although the heartbeat that listed it was lost.
#[test]
fn changed_usage_is_listed_until_acknowledged() {
    let mut guard = worker();
    let at = |n: u64| Millis(WORKER_HEARTBEAT_INTERVAL.0 * n + 1);
    assert_eq!(listed_in_heartbeat(&mut guard, at(1), true), 3);
    guard.step(
        at(1),
        GuardEvent::Usage {
            task: task(0),
            usage: Resources::new(2, 2, 0),
        },
    );
    assert_eq!(listed_in_heartbeat(&mut guard, at(2), false), 1);
    assert_eq!(listed_in_heartbeat(&mut guard, at(3), true), 1);
    assert_eq!(listed_in_heartbeat(&mut guard, at(4), true), 0);
}
