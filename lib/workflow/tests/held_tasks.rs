//! Count of the tasks whose progress the jobs hold.

use tarragon_names::{Millis, Name, PoolName, Resources, WorkerName};
use tarragon_workflow::{
    Command, Configuration, JobKey, JobSpec, Queue, RunEnd, RunEvent, StepKey, StepSpec, TaskKey,
    WorkerIncarnation, WorkflowState,
};
use yare::parameterized;

const RETENTION_MS: u64 = 1_000;

fn state() -> WorkflowState {
    let state = WorkflowState::new(RETENTION_MS);
    let queue = Queue {
        name: Name::from("q"),
        host: Name::from("h"),
        prefix: Name::from("/q/"),
        pool: PoolName::from("p"),
        priority: 0,
        max_attempts: 1,
        stretch_permille: 1_000,
        target_latency: Millis(0),
        advice: None,
    };
    let configuration = Configuration {
        version: 1,
        queues: vec![queue],
        ..Configuration::default()
    };
    state.apply(1, &Command::PutConfiguration(configuration));
    state
}

fn submit(state: &WorkflowState, at_ms: u64, key: u64, counts: &[u32], repeat_count: u32) {
    let step = |count: &u32| StepSpec {
        count: *count,
        resources: Resources::new(1, 1, 0),
        ..StepSpec::default()
    };
    let spec = JobSpec {
        steps: counts.iter().map(step).collect(),
        repeat_count,
        ..JobSpec::default()
    };
    let (job, queue) = (JobKey(key), Name::from("q"));
    state.apply(at_ms, &Command::Submit { job, queue, spec });
}

fn incarnation() -> WorkerIncarnation {
    WorkerIncarnation {
        worker: WorkerName::from("w"),
        started_ms: 5,
    }
}

fn place(state: &WorkflowState, occurrence: u32) {
    let event = RunEvent::Placed {
        task: task(occurrence),
        run: 1,
        incarnation: incarnation(),
    };
    state.apply(2, &Command::RunEvents(vec![event]));
}

fn end(state: &WorkflowState, occurrence: u32, end: RunEnd) {
    let event = RunEvent::Ended {
        incarnation: incarnation(),
        number: 1,
        task: task(occurrence),
        run: 1,
        end,
        checkpoint: None,
    };
    state.apply(3, &Command::RunEvents(vec![event]));
}

fn cancel(state: &WorkflowState) {
    state.apply(3, &Command::Cancel { job: JobKey(1) });
}

fn task(occurrence: u32) -> TaskKey {
    let (job, step) = (JobKey(1), 0);
    let step = StepKey {
        job,
        occurrence,
        step,
    };
    TaskKey { step, index: 0 }
}

/// Guards against a count that rises for good, so that jobs are refused although there is room, or
/// that misses tasks, so that too many are accepted.
#[parameterized(
    submitted = { &[3, 4], 1, |_| (), 7 },
    resent = { &[3, 4], 1, |s| submit(s, 1, 1, &[3, 4], 1), 7 },
    placed = { &[3, 4], 1, |s| place(s, 0), 7 },
    two_occurrences_open = { &[3, 4], 2, |s| { place(s, 0); place(s, 1) }, 14 },
    first_occurrence_done = { &[1], 2, |s| { place(s, 0); place(s, 1); end(s, 0, RunEnd::Done) }, 1 },
    completed = { &[1], 1, |s| { place(s, 0); end(s, 0, RunEnd::Done) }, 0 },
    failed = { &[3, 4], 1, |s| { place(s, 0); end(s, 0, RunEnd::Failed) }, 0 },
    cancelled = { &[3, 4], 1, cancel, 0 },
    cancelled_with_a_run = { &[3, 4], 1, |s| { place(s, 0); cancel(s) }, 7 },
)]
fn count_follows_the_jobs(
    counts: &[u32],
    repeat_count: u32,
    change: fn(&WorkflowState),
    expected: u64,
) {
    let state = state();
    submit(&state, 1, 1, counts, repeat_count);
    change(&state);
    assert_eq!(state.held_tasks(), expected);
    let restored = WorkflowState::new(RETENTION_MS);
    submit(&restored, 1, 9, &[100], 1);
    restored.restore(state.snapshot());
    assert_eq!(restored.held_tasks(), expected);
    // Ended jobs leave the state when another job of the same shard is submitted.
    for key in 2..200 {
        submit(&state, 10 + RETENTION_MS, key, &[1], 1);
    }
    assert_eq!(state.held_tasks(), expected + 198);
}
