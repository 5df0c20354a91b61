//! Guards against stand-in tasks whose run time or usage deviates from the declared one by more than
//! the factor, or differs between runs.

use std::sync::Arc;

use tarragon_leases::TaskSpec;
use tarragon_names::{Attempt, JobId, Millis, Resources, TaskId, Workload};
use tarragon_standin::WorkerTask;
use yare::parameterized;

fn spec(name: &str, workload: Workload, payload: &str) -> TaskSpec {
    TaskSpec {
        name: name.into(),
        workload,
        resources: Resources::new(1_000, 1_000, 1),
        run_ms: 1_000,
        payload: Arc::from(payload.as_bytes()),
    }
}

fn task(job: u64, factor: u32, spec: &TaskSpec) -> WorkerTask {
    let id = TaskId {
        job: JobId(job),
        index: 0,
    };
    WorkerTask::start(Millis(5_000), 7, factor, id, Attempt(1), spec)
}

#[parameterized(
    exact = { 1, 1_000, 1_000 },
    double = { 2, 500, 2_000 },
    fourfold = { 4, 250, 4_000 },
)]
fn deviations_stay_within_the_factor(factor: u32, min: u64, max: u64) {
    let mut has_deviation = false;
    for job in 0..200 {
        let spec = spec(&format!("reel-{}", job % 10), Workload::Batch, "");
        let task = task(job, factor, &spec);
        let run = task.ends_at.unwrap() - task.started_at;
        for amount in [run.0, task.usage.cpu_milli, task.usage.memory_mb] {
            assert!(
                (min - 1..=max + 1).contains(&amount),
                "{amount} is not within {min} to {max}: {task:?}"
            );
            has_deviation |= amount.abs_diff(1_000) > 200;
        }
        assert_eq!(task, self::task(job, factor, &spec));
    }
    assert_eq!(has_deviation, factor > 1);
}

#[parameterized(
    empty_payload = { "", 0 },
    requested = { "exit=3", 3 },
    other_payload = { "reel 7", 0 },
)]
fn exit_status_comes_from_payload(payload: &str, status: i32) {
    assert_eq!(
        task(1, 1, &spec("a", Workload::Batch, payload)).exit_status,
        status
    );
}

#[test]
fn service_never_ends_by_itself() {
    assert_eq!(task(1, 4, &spec("a", Workload::Service, "")).ends_at, None);
}

#[test]
fn throttled_task_runs_longer() {
    let mut task = task(1, 1, &spec("a", Workload::Batch, ""));
    task.throttle(Millis(5_500), 500);
    assert_eq!(task.ends_at, Some(Millis(6_500)));
    assert_eq!(task.usage.cpu_milli, 500);
}
