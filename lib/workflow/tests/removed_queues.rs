//! Queues that a later configuration no longer names.

use tarragon_names::{Millis, Name, PoolName, Resources};
use tarragon_workflow::{
    Answer, Command, Configuration, JobKey, JobSpec, Queue, StepSpec, WorkflowState,
};
use yare::parameterized;

const RETENTION_MS: u64 = 1_000;

/// Number of configurations, each of which replaces all routes of the one before.
const CONFIGURATIONS: u64 = 60;

fn queue_name(version: u64, route: u64, prefix_len: usize) -> Name {
    let digits = format!("{version}-{route}-");
    Name::from(format!("h/{digits}{}", "x".repeat(prefix_len)))
}

fn put_configuration(state: &WorkflowState, version: u64, routes: u64, prefix_len: usize) {
    let queue = |route| {
        let name = queue_name(version, route, prefix_len);
        Queue {
            prefix: name.clone(),
            name,
            host: Name::from("h"),
            pool: PoolName::from("p"),
            priority: 0,
            max_attempts: 2,
            stretch_permille: 1_000,
            target_latency: Millis(0),
            advice: None,
        }
    };
    let configuration = Configuration {
        version,
        text: Name::from(format!("version {version}")),
        queues: (0..routes).map(queue).collect(),
        ..Configuration::default()
    };
    let answer = state.apply(version, &Command::PutConfiguration(configuration));
    assert_eq!(answer, Answer::Done);
}

fn submit(state: &WorkflowState, at_ms: u64, job: u64, queue: Name) -> Answer {
    let step = StepSpec {
        count: 1,
        resources: Resources::new(1, 1, 0),
        ..StepSpec::default()
    };
    let spec = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    let job = JobKey(job);
    state.apply(at_ms, &Command::Submit { job, queue, spec })
}

/// Size of the names and prefixes of the queues in a snapshot, in bytes.
fn queue_bytes(state: &WorkflowState) -> usize {
    let queues = state.snapshot().queues;
    queues.values().map(|q| q.name.len() + q.prefix.len()).sum()
}

/// Guards against a state that grows with every configuration, by many routes or by large ones, until
/// no snapshot fits.
#[parameterized(
    many_routes = { 400, 10 },
    large_routes = { 3, 60_000 },
)]
fn replaced_routes_leave_the_state(routes: u64, prefix_len: usize) {
    let state = WorkflowState::new(RETENTION_MS);
    let mut largest = 0;
    for version in 1..=CONFIGURATIONS {
        put_configuration(&state, version, routes, prefix_len);
        largest = largest.max(queue_bytes(&state));
    }
    let of_one = routes as usize * 2 * (prefix_len + 10);
    assert!(largest <= 2 * of_one + (256 << 10), "{largest} bytes");
    for route in 0..routes {
        let name = queue_name(CONFIGURATIONS, route, prefix_len);
        assert!(state.queue(&name).is_some(), "configured queue {route}");
    }
}

/// Guards against a job that can no longer be placed because its queue was dropped, and against a
/// queue that stays after its last job has left the state.
#[test]
fn removed_queue_stays_while_a_job_belongs_to_it() {
    let state = WorkflowState::new(RETENTION_MS);
    put_configuration(&state, 1, 400, 10);
    let queue = queue_name(1, 7, 10);
    assert_eq!(submit(&state, 1, 1, queue.clone()), Answer::Done);
    for version in 2..=CONFIGURATIONS {
        put_configuration(&state, version, 400, 10);
        assert!(state.queue(&queue).is_some(), "version {version}");
    }
    let job = JobKey(1);
    state.apply(100, &Command::Cancel { job });
    // Ended jobs leave the state when another job of the same shard is submitted.
    for key in 2..200 {
        let other = queue_name(CONFIGURATIONS, 0, 10);
        let at_ms = 200 + RETENTION_MS;
        assert_eq!(submit(&state, at_ms, key, other), Answer::Done);
    }
    assert!(state.with_job(job, |_| ()).is_none());
    for version in CONFIGURATIONS + 1..2 * CONFIGURATIONS {
        put_configuration(&state, version, 400, 10);
    }
    assert!(state.queue(&queue).is_none());
}

/// Guards against a job without a queue, which nothing would ever place, if its queue was dropped
/// between the leader's decision and the entry.
#[test]
fn job_for_a_dropped_queue_is_refused_and_a_known_one_acknowledged() {
    let state = WorkflowState::new(RETENTION_MS);
    for version in 1..=CONFIGURATIONS {
        put_configuration(&state, version, 400, 10);
    }
    let (dropped, kept) = (queue_name(1, 0, 10), queue_name(CONFIGURATIONS, 0, 10));
    assert_eq!(submit(&state, 1, 1, dropped.clone()), Answer::NoSuchQueue);
    assert_eq!(state.job_count(), 0);
    assert_eq!(submit(&state, 1, 1, kept), Answer::Done);
    assert_eq!(submit(&state, 1, 1, dropped), Answer::Done);
}

/// Guards against replicas that drop different queues because one of them started from a snapshot.
#[test]
fn restored_replica_drops_the_same_queues() {
    let (state, restored) = (
        WorkflowState::new(RETENTION_MS),
        WorkflowState::new(RETENTION_MS),
    );
    for version in 1..=CONFIGURATIONS {
        put_configuration(&state, version, 400, 10);
        submit(&state, version, version, queue_name(version, 1, 10));
        if version == CONFIGURATIONS / 2 {
            restored.restore(state.snapshot());
        } else if version > CONFIGURATIONS / 2 {
            put_configuration(&restored, version, 400, 10);
            submit(&restored, version, version, queue_name(version, 1, 10));
        }
    }
    assert_eq!(restored.snapshot(), state.snapshot());
}
