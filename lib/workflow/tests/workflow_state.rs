//! The replicated state: jobs, attempts, the configuration and workers.

use tarragon_names::{DomainName, Millis, Name, PoolName, Resources, WorkerName};
use tarragon_workflow::{
    Answer, Command, Configuration, JobKey, JobPhase, JobSpec, Queue, RunEnd, RunEvent, StepKey,
    StepSpec, TaskKey, WorkerIncarnation, WorkerPool, WorkerRecord, WorkflowState,
};
use yare::parameterized;

const KEPT_MS: u64 = 1_000;

fn document(version: u64, text: &str) -> Configuration {
    Configuration {
        version,
        text: Name::from(text),
        queues: vec![Queue {
            name: Name::from("q"),
            host: Name::from("h"),
            prefix: Name::from("/q/"),
            pool: PoolName::from("p"),
            priority: 0,
            max_attempts: 2,
            stretch_permille: 1_000,
            target_latency: Millis(0),
            advice: None,
        }],
        pools: vec![WorkerPool {
            pool: PoolName::from("p"),
            enforces_capacity: false,
            is_powered_off: false,
        }],
        max_body_bytes: 1,
    }
}

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        resources: Resources::new(1, 1, 0),
        ..StepSpec::default()
    }
}

fn flow() -> WorkflowState {
    let flow = WorkflowState::new(KEPT_MS);
    flow.apply(1, &Command::PutConfiguration(document(1, "one")));
    flow
}

fn submit(flow: &WorkflowState, spec: JobSpec) {
    let (job, queue) = (JobKey(1), Name::from("q"));
    flow.apply(1, &Command::Submit { job, queue, spec });
}

fn submit_steps(flow: &WorkflowState, steps: Vec<StepSpec>) {
    submit(
        flow,
        JobSpec {
            steps,
            ..JobSpec::default()
        },
    );
}

fn task(step: u32, index: u32) -> TaskKey {
    let step = StepKey {
        job: JobKey(1),
        occurrence: 0,
        step,
    };
    TaskKey { step, index }
}

fn life() -> WorkerIncarnation {
    WorkerIncarnation {
        worker: WorkerName::from("w"),
        started_ms: 5,
    }
}

fn placed(task: TaskKey, run: u32) -> RunEvent {
    let life = life();
    RunEvent::Placed {
        task,
        run,
        incarnation: life,
    }
}

fn ended(number: u64, task: TaskKey, run: u32, end: RunEnd) -> RunEvent {
    RunEvent::Ended {
        incarnation: life(),
        number,
        task,
        run,
        end,
        checkpoint: None,
    }
}

fn orders(flow: &WorkflowState, records: Vec<RunEvent>) {
    flow.apply(2, &Command::RunEvents(records));
}

fn phase(flow: &WorkflowState) -> Option<JobPhase> {
    flow.with_job(JobKey(1), |job| job.phase)
}

/// Guards against a configuration that goes back, and against a second one under its number.
#[parameterized(
    higher = { 2, "two", Answer::Done, "two" },
    resent = { 1, "one", Answer::NotNewer, "one" },
    older = { 0, "zero", Answer::NotNewer, "one" },
    other_content = { 1, "other", Answer::Conflict, "one" },
)]
fn configuration(version: u64, text: &str, answer: Answer, in_force: &str) {
    let flow = flow();
    let command = Command::PutConfiguration(document(version, text));
    assert_eq!(flow.apply(2, &command), answer);
    assert_eq!(flow.configuration().text.as_str(), in_force);
}

/// Guards against a second job from a resend.
#[test]
fn resend_of_a_job_changes_nothing() {
    let flow = flow();
    submit_steps(&flow, vec![step(1)]);
    orders(&flow, vec![placed(task(0, 0), 1)]);
    submit_steps(&flow, vec![step(9)]);
    assert_eq!(phase(&flow), Some(JobPhase::Running));
    assert_eq!(
        flow.with_job(JobKey(1), |job| job.spec.steps[0].count),
        Some(1)
    );
}

/// Guards against more attempts than allowed, against fewer, and against ends that count although
/// the task did not fail.
#[parameterized(
    failed = { RunEnd::Failed, JobPhase::Failed },
    stopped = { RunEnd::Stopped, JobPhase::Running },
    lapsed = { RunEnd::Lapsed, JobPhase::Running },
    broken = { RunEnd::Broken, JobPhase::Running },
    lost = { RunEnd::Lost, JobPhase::Running },
)]
fn attempts(end: RunEnd, expected: JobPhase) {
    let flow = flow();
    submit_steps(&flow, vec![step(1)]);
    for run in 1..=2 {
        orders(
            &flow,
            vec![
                placed(task(0, 0), run),
                ended(run.into(), task(0, 0), run, end),
            ],
        );
    }
    assert_eq!(phase(&flow), Some(expected));
}

/// Guards against one failed run of a gang that counts once for each member.
#[test]
fn run_of_a_gang_fails_once() {
    let flow = flow();
    let gang = StepSpec {
        gang: true,
        ..step(2)
    };
    submit_steps(&flow, vec![gang]);
    let (a, b) = (task(0, 0), task(0, 1));
    let run_ends = vec![
        placed(a, 1),
        placed(b, 1),
        ended(1, a, 1, RunEnd::Failed),
        ended(2, b, 1, RunEnd::Failed),
    ];
    orders(&flow, run_ends);
    assert_eq!(phase(&flow), Some(JobPhase::Running));
    orders(
        &flow,
        vec![placed(a, 2), placed(b, 2), ended(3, a, 2, RunEnd::Done)],
    );
    assert_eq!(
        phase(&flow),
        Some(JobPhase::Completed),
        "one done end stands for the gang"
    );
}

/// Guards against a task that runs again after an end that became known late.
#[test]
fn late_end_of_an_earlier_run_counts() {
    let flow = flow();
    submit_steps(&flow, vec![step(1)]);
    let (task, saved) = (task(0, 0), None);
    orders(
        &flow,
        vec![
            placed(task, 1),
            RunEvent::Lost {
                task,
                run: 1,
                checkpoint: saved,
            },
        ],
    );
    orders(&flow, vec![ended(1, task, 1, RunEnd::Done)]);
    assert_eq!(phase(&flow), Some(JobPhase::Completed));
}

/// Guards against a start of a job that was cancelled before.
#[test]
fn cancelled_job_gets_no_placement() {
    let flow = flow();
    submit_steps(&flow, vec![step(1)]);
    assert_eq!(
        flow.apply(2, &Command::Cancel { job: JobKey(1) }),
        Answer::Done
    );
    orders(&flow, vec![placed(task(0, 0), 1)]);
    assert_eq!(
        flow.with_job(JobKey(1), |job| job.placements().len()),
        Some(0)
    );
    assert_eq!(
        flow.apply(3, &Command::Cancel { job: JobKey(9) }),
        Answer::NoSuchJob
    );
}

/// Guards against a step that starts before those that it depends on are done, and against
/// occurrences that start before their time.
#[test]
fn steps_and_occurrences_wait_for_their_turn() {
    let flow = flow();
    let steps = vec![
        step(1),
        StepSpec {
            depends_on: vec![0],
            ..step(1)
        },
    ];
    let spec = JobSpec {
        steps,
        first_at_ms: 100,
        interval: Millis(50),
        repeat_count: 2,
        ..JobSpec::default()
    };
    submit(&flow, spec);
    let ready = |now_ms| {
        let steps = flow.with_job(JobKey(1), |job| job.ready_steps(now_ms));
        let steps = steps.unwrap().into_iter();
        steps
            .map(|s| (s.key.occurrence, s.key.step))
            .collect::<Vec<_>>()
    };
    assert_eq!(ready(99), []);
    assert_eq!(ready(100), [(0, 0)]);
    assert_eq!(ready(150), [(0, 0), (1, 0)]);
    orders(
        &flow,
        vec![placed(task(0, 0), 1), ended(1, task(0, 0), 1, RunEnd::Done)],
    );
    assert_eq!(ready(100), [(0, 1)]);
}

/// Guards against state that a snapshot loses.
#[test]
fn snapshot_holds_the_whole_state() {
    let flow = flow();
    submit_steps(&flow, vec![step(2)]);
    orders(
        &flow,
        vec![
            placed(task(0, 0), 1),
            ended(7, task(0, 1), 1, RunEnd::Failed),
        ],
    );
    flow.apply(3, &Command::PutWorker(worker(5)));
    let image = flow.snapshot();
    let restored = WorkflowState::new(KEPT_MS);
    restored.restore(image.clone());
    assert_eq!(restored.snapshot(), image);
}

fn worker(born_ms: u64) -> WorkerRecord {
    WorkerRecord {
        incarnation: WorkerIncarnation {
            started_ms: born_ms,
            ..life()
        },
        address: Name::from("w:1"),
        domain: DomainName::from("d"),
        pool: PoolName::from("p"),
        capacity: Resources::new(1, 1, 0),
        labels: Vec::new(),
        rack: None,
        is_draining: false,
        acknowledged: 0,
    }
}

/// Guards against an earlier life of a worker that takes the place of a later one, and against
/// acknowledgements that pass from one life to the next.
#[test]
fn later_life_of_a_worker_stays() {
    let flow = flow();
    flow.apply(3, &Command::PutWorker(worker(5)));
    submit_steps(&flow, vec![step(1)]);
    orders(
        &flow,
        vec![placed(task(0, 0), 1), ended(7, task(0, 0), 1, RunEnd::Done)],
    );
    let name = WorkerName::from("w");
    assert_eq!(flow.worker(&name).unwrap().acknowledged, 7);
    flow.apply(4, &Command::PutWorker(worker(6)));
    assert_eq!(flow.worker(&name).unwrap().acknowledged, 0);
    assert_eq!(
        flow.apply(5, &Command::PutWorker(worker(5))),
        Answer::NotNewer
    );
    flow.apply(6, &Command::RemoveWorker(life()));
    assert_eq!(flow.worker(&name).unwrap().incarnation.started_ms, 6);
}

/// Guards against memory that grows with every job, and against states that cannot be asked for.
#[test]
fn ended_job_is_kept_for_its_time() {
    let flow = flow();
    submit_steps(&flow, vec![step(1)]);
    orders(
        &flow,
        vec![placed(task(0, 0), 1), ended(1, task(0, 0), 1, RunEnd::Done)],
    );
    let other = |at_ms, key| {
        let spec = JobSpec {
            steps: vec![step(1)],
            ..JobSpec::default()
        };
        let queue = Name::from("q");
        flow.apply(
            at_ms,
            &Command::Submit {
                job: JobKey(key),
                queue,
                spec,
            },
        );
    };
    // Jobs are dropped as others are added to their shard.
    (2..100).for_each(|key| other(KEPT_MS, key));
    assert_eq!(phase(&flow), Some(JobPhase::Completed));
    (100..300).for_each(|key| other(3 * KEPT_MS, key));
    assert_eq!(phase(&flow), None);
}
