//! Commands applied to the replicated state of jobs, configuration and workers.

use std::collections::BTreeMap;

use tarragon_names::{DomainName, Millis, Name, PoolName, Resources, WorkerName};
use tarragon_workflow::{
    Answer, Command, Configuration, JobKey, JobPhase, JobSpec, MachinePhase, Queue, RunEnd,
    RunEvent, StepKey, StepSpec, TaskKey, Wave, WaveKey, WorkerIncarnation, WorkerPool,
    WorkerRecord, WorkflowState,
};
use yare::parameterized;

const RETENTION_MS: u64 = 1_000;

fn configuration(version: u64, text: &str) -> Configuration {
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
        ..Configuration::default()
    }
}

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        resources: Resources::new(1, 1, 0),
        ..StepSpec::default()
    }
}

fn state() -> WorkflowState {
    let state = WorkflowState::new(RETENTION_MS);
    state.apply(1, &Command::PutConfiguration(configuration(1, "one")));
    state
}

fn submit(state: &WorkflowState, spec: JobSpec) {
    let (job, queue) = (JobKey(1), Name::from("q"));
    state.apply(1, &Command::Submit { job, queue, spec });
}

fn submit_steps(state: &WorkflowState, steps: Vec<StepSpec>) {
    submit(
        state,
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

fn incarnation() -> WorkerIncarnation {
    WorkerIncarnation {
        worker: WorkerName::from("w"),
        started_ms: 5,
    }
}

fn placed(task: TaskKey, run: u32) -> RunEvent {
    let incarnation = incarnation();
    RunEvent::Placed {
        task,
        run,
        incarnation,
    }
}

fn ended(number: u64, task: TaskKey, run: u32, end: RunEnd) -> RunEvent {
    RunEvent::Ended {
        incarnation: incarnation(),
        number,
        task,
        run,
        end,
        checkpoint: None,
    }
}

fn apply_events(state: &WorkflowState, events: Vec<RunEvent>) {
    state.apply(2, &Command::RunEvents(events));
}

fn phase(state: &WorkflowState) -> Option<JobPhase> {
    state.with_job(JobKey(1), |job| job.phase)
}

/// Guards against replacing the configuration by an older version, or by different content under
/// the same version.
#[parameterized(
    higher = { 2, "two", Answer::Done, "two" },
    resent = { 1, "one", Answer::NotNewer, "one" },
    older = { 0, "zero", Answer::NotNewer, "one" },
    other_content = { 1, "other", Answer::Conflict, "one" },
)]
fn only_a_newer_configuration_takes_effect(
    version: u64,
    text: &str,
    answer: Answer,
    in_force: &str,
) {
    let state = state();
    let command = Command::PutConfiguration(configuration(version, text));
    assert_eq!(state.apply(2, &command), answer);
    assert_eq!(state.configuration().text.as_str(), in_force);
}

/// Guards against a resent submission that replaces the job and its progress.
#[test]
fn resent_job_does_not_replace_the_first() {
    let state = state();
    submit_steps(&state, vec![step(1)]);
    apply_events(&state, vec![placed(task(0, 0), 1)]);
    submit_steps(&state, vec![step(9)]);
    assert_eq!(phase(&state), Some(JobPhase::Running));
    assert_eq!(
        state.with_job(JobKey(1), |job| job.spec.steps[0].count),
        Some(1)
    );
}

/// Guards against a wrong number of attempts, and against counting runs that ended without a
/// failure of the task as failed attempts.
#[parameterized(
    failed = { RunEnd::Failed, JobPhase::Failed },
    stopped = { RunEnd::Stopped, JobPhase::Running },
    lapsed = { RunEnd::Lapsed, JobPhase::Running },
    broken = { RunEnd::Broken, JobPhase::Running },
    lost = { RunEnd::Lost, JobPhase::Running },
)]
fn only_failed_runs_count_as_attempts(end: RunEnd, expected: JobPhase) {
    let state = state();
    submit_steps(&state, vec![step(1)]);
    for run in 1..=2 {
        apply_events(
            &state,
            vec![
                placed(task(0, 0), run),
                ended(run.into(), task(0, 0), run, end),
            ],
        );
    }
    assert_eq!(phase(&state), Some(expected));
}

/// Guards against counting a failed run of a gang once for each member that reports it.
#[test]
fn failed_run_of_a_gang_counts_once() {
    let state = state();
    let gang = StepSpec {
        gang: true,
        ..step(2)
    };
    submit_steps(&state, vec![gang]);
    let (a, b) = (task(0, 0), task(0, 1));
    let events = vec![
        placed(a, 1),
        placed(b, 1),
        ended(1, a, 1, RunEnd::Failed),
        ended(2, b, 1, RunEnd::Failed),
    ];
    apply_events(&state, events);
    assert_eq!(phase(&state), Some(JobPhase::Running));
    apply_events(
        &state,
        vec![placed(a, 2), placed(b, 2), ended(3, a, 2, RunEnd::Done)],
    );
    assert_eq!(
        phase(&state),
        Some(JobPhase::Completed),
        "the success of one member completes the gang"
    );
}

/// Guards against running a task again although its success was reported after the run had been
/// recorded as lost.
#[test]
fn late_success_of_a_lost_run_completes_the_task() {
    let state = state();
    submit_steps(&state, vec![step(1)]);
    let (task, checkpoint) = (task(0, 0), None);
    apply_events(
        &state,
        vec![
            placed(task, 1),
            RunEvent::Lost {
                task,
                run: 1,
                checkpoint,
            },
        ],
    );
    apply_events(&state, vec![ended(1, task, 1, RunEnd::Done)]);
    assert_eq!(phase(&state), Some(JobPhase::Completed));
}

/// Guards against placing tasks of a job that is already cancelled.
#[test]
fn cancelled_job_gets_no_placement() {
    let state = state();
    submit_steps(&state, vec![step(1)]);
    assert_eq!(
        state.apply(2, &Command::Cancel { job: JobKey(1) }),
        Answer::Done
    );
    apply_events(&state, vec![placed(task(0, 0), 1)]);
    assert_eq!(
        state.with_job(JobKey(1), |job| job.placements().len()),
        Some(0)
    );
    assert_eq!(
        state.apply(3, &Command::Cancel { job: JobKey(9) }),
        Answer::NoSuchJob
    );
}

/// Guards against starting a step before the steps that it depends on are done, and against
/// starting an occurrence before it is due.
#[test]
fn steps_wait_for_dependencies_and_due_times() {
    let state = state();
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
    submit(&state, spec);
    let ready = |now_ms| {
        let steps = state.with_job(JobKey(1), |job| {
            job.ready_steps(&job.open_occurrences(now_ms, usize::MAX))
        });
        let steps = steps.unwrap().into_iter();
        steps
            .map(|s| (s.key.occurrence, s.key.step))
            .collect::<Vec<_>>()
    };
    assert_eq!(ready(99), []);
    assert_eq!(ready(100), [(0, 0)]);
    assert_eq!(ready(150), [(0, 0), (1, 0)]);
    apply_events(
        &state,
        vec![placed(task(0, 0), 1), ended(1, task(0, 0), 1, RunEnd::Done)],
    );
    assert_eq!(ready(100), [(0, 1)]);
}

/// Guards against losing parts of the state in a snapshot.
#[test]
fn snapshot_restores_the_whole_state() {
    let state = state();
    submit_steps(&state, vec![step(2)]);
    apply_events(
        &state,
        vec![
            placed(task(0, 0), 1),
            ended(7, task(0, 1), 1, RunEnd::Failed),
        ],
    );
    state.apply(3, &Command::PutWorker(worker(5)));
    let snapshot = state.snapshot();
    let restored = WorkflowState::new(RETENTION_MS);
    restored.restore(snapshot.clone());
    assert_eq!(restored.snapshot(), snapshot);
}

fn worker(started_ms: u64) -> WorkerRecord {
    WorkerRecord {
        incarnation: WorkerIncarnation {
            started_ms,
            ..incarnation()
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

/// Guards against replacing a worker's record by one of an earlier incarnation, and against
/// carrying acknowledgements over to a new incarnation.
#[test]
fn record_of_a_later_incarnation_is_kept() {
    let state = state();
    state.apply(3, &Command::PutWorker(worker(5)));
    submit_steps(&state, vec![step(1)]);
    apply_events(
        &state,
        vec![placed(task(0, 0), 1), ended(7, task(0, 0), 1, RunEnd::Done)],
    );
    let name = WorkerName::from("w");
    assert_eq!(state.worker(&name).unwrap().acknowledged, 7);
    state.apply(4, &Command::PutWorker(worker(6)));
    assert_eq!(state.worker(&name).unwrap().acknowledged, 0);
    assert_eq!(
        state.apply(5, &Command::PutWorker(worker(5))),
        Answer::NotNewer
    );
    state.apply(6, &Command::RemoveWorker(incarnation()));
    assert_eq!(state.worker(&name).unwrap().incarnation.started_ms, 6);
}

/// Guards against memory use that grows with every job, and against dropping an ended job before
/// its caller can read the result.
#[test]
fn ended_job_is_dropped_after_the_retention_time() {
    let state = state();
    submit_steps(&state, vec![step(1)]);
    apply_events(
        &state,
        vec![placed(task(0, 0), 1), ended(1, task(0, 0), 1, RunEnd::Done)],
    );
    let submit_other = |at_ms, key| {
        let spec = JobSpec {
            steps: vec![step(1)],
            ..JobSpec::default()
        };
        let queue = Name::from("q");
        state.apply(
            at_ms,
            &Command::Submit {
                job: JobKey(key),
                queue,
                spec,
            },
        );
    };
    // Expired jobs are dropped when other jobs are added to the same shard.
    (2..100).for_each(|key| submit_other(RETENTION_MS, key));
    assert_eq!(phase(&state), Some(JobPhase::Completed));
    (100..300).for_each(|key| submit_other(3 * RETENTION_MS, key));
    assert_eq!(phase(&state), None);
}

/// What the log records about the upkeep of a machine.
#[derive(Clone, Copy)]
enum MachineRecord {
    Ordered,
    Refused,
    Done,
}

use MachineRecord::{Done, Ordered, Refused};

/// Applies these records about the only machine of a wave.
fn record_machine(state: &WorkflowState, records: &[MachineRecord]) -> (WaveKey, Name) {
    let (key, machine) = (WaveKey(1), Name::from("m"));
    let wave = Wave {
        machines: BTreeMap::from([(machine.clone(), MachinePhase::Waiting)]),
        due_ms: 1_000,
        requested_ms: 0,
        max_machines_down: 1,
    };
    state.apply(1, &Command::StartWave { key, wave });
    for record in records {
        let machine = machine.clone();
        let command = match record {
            Ordered => Command::MachineOrdered {
                key,
                machine,
                incarnation: Some(incarnation()),
            },
            Refused => Command::MachineRefused { key, machine },
            Done => Command::MachineDone { key, machine },
        };
        state.apply(2, &command);
    }
    (key, machine)
}

/// Guards against an order that a later leader does not know of, and against a machine that is
/// ordered down again because a record of an earlier order is committed late.
#[parameterized(
    ordered = { &[Ordered], MachinePhase::Ordered { incarnation: Some(incarnation()) } },
    refused = { &[Ordered, Refused], MachinePhase::Waiting },
    confirmed = { &[Ordered, Done], MachinePhase::Done },
    late_order = { &[Ordered, Done, Ordered], MachinePhase::Done },
    late_refusal = { &[Ordered, Done, Refused], MachinePhase::Done },
    not_needed = { &[Done], MachinePhase::Done },
)]
fn machine_of_a_wave_takes_its_phase_from_the_log(
    records: &[MachineRecord],
    expected: MachinePhase,
) {
    let state = state();
    let (key, machine) = record_machine(&state, records);
    let wave = state.wave(key).expect("the wave is known");
    assert_eq!(wave.machines[&machine], expected);
    assert_eq!(wave.is_completed(), expected == MachinePhase::Done);
}

/// Guards against a run that is placed beside an upkeep order and ended by it.
#[parameterized(
    order_is_open = { &[Ordered], false },
    order_was_refused = { &[Ordered, Refused], true },
    order_comes_later = { &[], true },
)]
fn nothing_is_placed_beside_an_upkeep_order(records: &[MachineRecord], is_placed: bool) {
    let state = state();
    submit_steps(&state, vec![step(1)]);
    state.apply(1, &Command::PutWorker(worker(1)));
    record_machine(&state, records);
    apply_events(&state, vec![placed(task(0, 0), 1)]);
    let placements = state.with_job(JobKey(1), |job| job.placements().len());
    assert_eq!(placements, Some(usize::from(is_placed)));
}
