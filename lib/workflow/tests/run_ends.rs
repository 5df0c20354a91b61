//! Ends of runs that are applied again, late or out of order.

use tarragon_names::{Millis, Name, PoolName, Resources, WorkerName};
use tarragon_workflow::{
    Command, Configuration, JobKey, JobPhase, JobSpec, Queue, RunEnd, RunEvent, StepKey, StepSpec,
    TaskKey, WorkerIncarnation, WorkflowState,
};
use yare::parameterized;

const MAX_ATTEMPTS: u32 = 4;

fn configuration() -> Configuration {
    Configuration {
        version: 1,
        text: Name::from("one"),
        queues: vec![Queue {
            name: Name::from("q"),
            host: Name::from("h"),
            prefix: Name::from("/q/"),
            pool: PoolName::from("p"),
            priority: 0,
            max_attempts: MAX_ATTEMPTS,
            stretch_permille: 1_000,
            target_latency: Millis(0),
            advice: None,
        }],
        pools: Vec::new(),
        max_body_bytes: 1,
        ..Configuration::default()
    }
}

fn task(index: u32) -> TaskKey {
    let step = StepKey {
        job: JobKey(1),
        occurrence: 0,
        step: 0,
    };
    TaskKey { step, index }
}

fn placed(index: u32, run: u32) -> RunEvent {
    RunEvent::Placed {
        task: task(index),
        run,
        incarnation: incarnation(index, run),
    }
}

/// Each run has a worker of its own, which numbers its only end with 1.
fn incarnation(index: u32, run: u32) -> WorkerIncarnation {
    WorkerIncarnation {
        worker: WorkerName::from(format!("w-{index}-{run}")),
        started_ms: 5,
    }
}

fn ended(index: u32, run: u32, end: RunEnd) -> RunEvent {
    ended_with(index, run, end, None)
}

fn ended_with(index: u32, run: u32, end: RunEnd, checkpoint: Option<&str>) -> RunEvent {
    RunEvent::Ended {
        incarnation: incarnation(index, run),
        number: 1,
        task: task(index),
        run,
        end,
        checkpoint: checkpoint.map(Name::from),
    }
}

fn lost(index: u32, run: u32) -> RunEvent {
    RunEvent::Lost {
        task: task(index),
        run,
        checkpoint: None,
    }
}

/// A state with one job of one step, to which these events were applied.
fn state_after(step: StepSpec, events: Vec<RunEvent>) -> WorkflowState {
    let state = WorkflowState::new(1_000);
    state.apply(1, &Command::PutConfiguration(configuration()));
    let step = StepSpec {
        resources: Resources::new(1, 1, 0),
        ..step
    };
    let spec = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    let (job, queue) = (JobKey(1), Name::from("q"));
    state.apply(1, &Command::Submit { job, queue, spec });
    state.apply(2, &Command::RunEvents(events));
    state
}

fn phase(state: &WorkflowState) -> Option<JobPhase> {
    state.with_job(JobKey(1), |job| job.phase)
}

fn tasks(count: u32) -> StepSpec {
    StepSpec {
        count,
        ..StepSpec::default()
    }
}

fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..tasks(count)
    }
}

/// Three failed runs of a task.
fn three_failed_runs() -> Vec<RunEvent> {
    let runs = (1..=3).flat_map(|run| [placed(0, run), ended(0, run, RunEnd::Failed)]);
    runs.collect()
}

/// Guards against a job that fails before its task has failed as often as the queue allows, because
/// the end of an earlier run is listed again after a later run has failed.
#[parameterized(
    first_run = { &[1] },
    last_run = { &[3] },
    each_run_in_order = { &[1, 2, 3] },
    each_run_in_reverse = { &[3, 2, 1] },
    one_run_three_times = { &[2, 1, 2, 1, 2] },
)]
fn end_that_is_listed_again_counts_once(runs: &[u32]) {
    let mut events = three_failed_runs();
    events.extend(runs.iter().map(|run| ended(0, *run, RunEnd::Failed)));
    let state = state_after(tasks(1), events);
    assert_eq!(phase(&state), Some(JobPhase::Running));
    let last = vec![placed(0, 4), ended(0, 4, RunEnd::Failed)];
    state.apply(3, &Command::RunEvents(last));
    assert_eq!(phase(&state), Some(JobPhase::Failed), "the limit holds");
}

/// Guards against a job that fails because of a task that is done.
#[parameterized(
    listed_again = { 1 },
    declared_lost_before = { 4 },
)]
fn failed_end_after_the_task_is_done_does_not_count(run: u32) {
    let mut events = three_failed_runs();
    events.extend([
        placed(0, 4),
        lost(0, 4),
        placed(0, 5),
        ended(0, 5, RunEnd::Done),
        ended(0, run, RunEnd::Failed),
    ]);
    let state = state_after(tasks(2), events);
    assert_eq!(phase(&state), Some(JobPhase::Running));
    let other = vec![placed(1, 1), ended(1, 1, RunEnd::Done)];
    state.apply(3, &Command::RunEvents(other));
    assert_eq!(phase(&state), Some(JobPhase::Completed));
}

/// Guards against a failed run of a gang that counts again, because another member reports it after
/// the gang has failed in a later run.
#[test]
fn failed_run_of_a_gang_counts_once_after_a_later_run() {
    let mut events = Vec::new();
    for run in 1..=3 {
        let failed = ended(0, run, RunEnd::Failed);
        events.extend([placed(0, run), placed(1, run), failed, lost(1, run)]);
    }
    events.extend((1..=3).map(|run| ended(1, run, RunEnd::Failed)));
    let state = state_after(gang(2), events);
    assert_eq!(phase(&state), Some(JobPhase::Running));
}

/// Guards against work that is lost because the end of an earlier run, listed late or again, brings
/// back an older checkpoint.
#[parameterized(
    single_task = { tasks(1) },
    gang_of_one = { gang(1) },
)]
fn checkpoint_of_an_earlier_run_does_not_replace_a_later_one(step: StepSpec) {
    let events = vec![
        placed(0, 1),
        ended_with(0, 1, RunEnd::Stopped, Some("old")),
        placed(0, 2),
        ended_with(0, 2, RunEnd::Stopped, Some("new")),
        ended_with(0, 1, RunEnd::Stopped, Some("old")),
    ];
    let state = state_after(step, events);
    let checkpoint = state.with_job(JobKey(1), |job| {
        job.task(&task(0)).and_then(|task| task.checkpoint.clone())
    });
    assert_eq!(checkpoint.flatten(), Some(Name::from("new")));
}

/// Guards against a job that fails with the success of a task, because a configuration has lowered the
/// limit below the failures of another task or of the same one.
#[parameterized(
    of_another_task = { 1 },
    of_the_same_task = { 0 },
)]
fn success_after_a_lowered_limit_fails_no_job(index: u32) {
    let mut events = three_failed_runs();
    events.extend([placed(0, 4), placed(1, 1)]);
    let state = state_after(tasks(2), events);
    let mut lowered = configuration();
    lowered.version = 2;
    lowered.queues[0].max_attempts = 2;
    state.apply(3, &Command::PutConfiguration(lowered));
    let run = if index == 0 { 4 } else { 1 };
    let done = vec![ended(index, run, RunEnd::Done)];
    state.apply(4, &Command::RunEvents(done));
    assert_eq!(phase(&state), Some(JobPhase::Running));
}

/// Guards against ends of an earlier job under the same key, whose worker returns after the job was
/// dropped and submitted again.
#[parameterized(
    failed = { RunEnd::Failed },
    done = { RunEnd::Done },
)]
fn end_of_a_run_that_was_never_placed_has_no_effect(end: RunEnd) {
    let mut events = vec![placed(0, 1)];
    events.extend((2..=6).map(|run| ended(0, run, end)));
    let state = state_after(tasks(1), events);
    assert_eq!(phase(&state), Some(JobPhase::Running));
}

/// Guards against the progress of long-running tasks that grows with each failed run.
#[test]
fn long_running_task_keeps_one_failed_run() {
    let events = (1..=50).flat_map(|run| [placed(0, run), ended(0, run, RunEnd::Failed)]);
    let long_running = StepSpec {
        long_running: true,
        ..tasks(1)
    };
    let state = state_after(long_running, events.collect());
    assert_eq!(phase(&state), Some(JobPhase::Running));
    let failures = state.with_job(JobKey(1), |job| {
        job.task(&task(0)).map(|task| task.failed_runs.count())
    });
    assert_eq!(failures.flatten(), Some(1));
}

/// Guards against a checkpoint that only the member keeps that saved it, and against work that is lost
/// because a later checkpoint of the same run is not taken over.
#[test]
fn later_checkpoint_of_a_run_replaces_that_of_all_members() {
    let events = vec![
        placed(0, 1),
        placed(1, 1),
        ended_with(0, 1, RunEnd::Stopped, Some("early")),
        ended_with(1, 1, RunEnd::Stopped, Some("late")),
    ];
    let state = state_after(gang(2), events);
    for index in 0..2 {
        let checkpoint = state.with_job(JobKey(1), |job| {
            job.task(&task(index))
                .and_then(|task| task.checkpoint.clone())
        });
        assert_eq!(checkpoint.flatten(), Some(Name::from("late")));
    }
}

/// Guards against a failure that counts for two members of a larger gang, whatever the order in which
/// they report it.
#[test]
fn failed_run_of_a_gang_counts_once_in_any_order_of_members() {
    let mut events = Vec::new();
    for run in 1..=3 {
        events.extend((0..3).map(|index| placed(index, run)));
        events.extend((0..3).map(|index| lost(index, run)));
    }
    for (index, run) in [
        (2, 3),
        (0, 1),
        (1, 2),
        (1, 1),
        (0, 3),
        (2, 2),
        (2, 1),
        (0, 2),
    ] {
        events.push(ended(index, run, RunEnd::Failed));
    }
    let state = state_after(gang(3), events);
    assert_eq!(phase(&state), Some(JobPhase::Running));
    let fourth = vec![
        placed(0, 4),
        placed(1, 4),
        placed(2, 4),
        ended(1, 4, RunEnd::Failed),
    ];
    state.apply(3, &Command::RunEvents(fourth));
    assert_eq!(phase(&state), Some(JobPhase::Failed));
}
