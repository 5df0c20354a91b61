//! Snapshots of the replicated state in their stored form.

use std::sync::Arc;

use tarragon_entry::{Request, WorkflowLog};
use tarragon_names::{DomainName, Millis, Name, PoolName, Resources, TeamName, WorkerName};
use tarragon_replica::StateMachine;
use tarragon_wire::record;
use tarragon_workflow::{
    Command, Configuration, JobKey, JobPhase, JobSpec, KeyDigest, Queue, RunEnd, RunEvent, StepKey,
    StepSpec, Succession, TaskKey, Team, TeamTable, WorkerIncarnation, WorkerRecord, WorkflowState,
};
use yare::parameterized;

const RETENTION_MS: u64 = 1_000;

const MAX_ATTEMPTS: u32 = 4;

/// Snapshot as the release before [`TaskHistory`](tarragon_workflow::TaskHistory) wrote it, with the
/// state that [`state_after_two_failed_runs`] builds.
const EARLIER_RELEASE: &str = "\
    01036f6e650101710168032f712f01700004e8070000000101017101710168032f712f01700004e8070000010101\
    710001010101000000000000000000000000000000000000010100010001010103027733050302020000000002";

fn task() -> TaskKey {
    let step = StepKey {
        job: JobKey(1),
        occurrence: 0,
        step: 0,
    };
    TaskKey { step, index: 0 }
}

fn incarnation(run: u32) -> WorkerIncarnation {
    WorkerIncarnation {
        worker: WorkerName::from(format!("w{run}")),
        started_ms: 5,
    }
}

fn placed(run: u32) -> RunEvent {
    RunEvent::Placed {
        task: task(),
        run,
        incarnation: incarnation(run),
    }
}

fn failed(run: u32) -> RunEvent {
    RunEvent::Ended {
        incarnation: incarnation(run),
        number: 1,
        task: task(),
        run,
        end: RunEnd::Failed,
        checkpoint: None,
    }
}

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        resources: Resources::new(1, 1, 0),
        ..StepSpec::default()
    }
}

/// Configuration with one queue and no teams.
fn configuration() -> Configuration {
    let queue = Queue {
        name: Name::from("q"),
        host: Name::from("h"),
        prefix: Name::from("/q/"),
        pool: PoolName::from("p"),
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        stretch_permille: 1_000,
        target_latency: Millis(0),
        advice: None,
    };
    Configuration {
        version: 1,
        text: Name::from("one"),
        queues: vec![queue],
        pools: Vec::new(),
        max_body_bytes: 1,
        ..Configuration::default()
    }
}

fn spec() -> JobSpec {
    JobSpec {
        steps: vec![step(1)],
        ..JobSpec::default()
    }
}

/// State with one job of one task, to which these events were applied.
fn state_after(events: Vec<RunEvent>) -> WorkflowState {
    let state = WorkflowState::new(RETENTION_MS);
    state.apply(1, &Command::PutConfiguration(configuration()));
    let spec = spec();
    let (job, queue) = (JobKey(1), Name::from("q"));
    state.apply(1, &Command::Submit { job, queue, spec });
    state.apply(2, &Command::RunEvents(events));
    state
}

/// State with one job, whose only task has failed in two runs and is placed for the third time.
fn state_after_two_failed_runs() -> WorkflowState {
    state_after(vec![placed(1), failed(1), placed(2), failed(2), placed(3)])
}

/// State with one job, whose only task was placed three times and lost twice.
fn state_without_failures() -> WorkflowState {
    let lost = |run| RunEvent::Lost {
        task: task(),
        run,
        checkpoint: None,
    };
    state_after(vec![placed(1), lost(1), placed(2), lost(2), placed(3)])
}

fn earlier_release() -> Vec<u8> {
    let digits = EARLIER_RELEASE.as_bytes().chunks(2);
    let bytes = digits.map(|pair| {
        let pair = str::from_utf8(pair).expect("digits");
        u8::from_str_radix(pair, 16).expect("a hexadecimal number")
    });
    bytes.collect()
}

fn current_release() -> Vec<u8> {
    let log = WorkflowLog(Arc::new(state_after_two_failed_runs()));
    log.snapshot().expect("a snapshot").to_vec()
}

/// Guards against an older checkpoint that replaces a later one after a restart.
#[test]
fn run_of_a_checkpoint_survives_a_snapshot() {
    let state = state_after_two_failed_runs();
    let stopped = |run, checkpoint| RunEvent::Ended {
        incarnation: incarnation(run),
        number: 1,
        task: task(),
        run,
        end: RunEnd::Stopped,
        checkpoint: Some(Name::from(checkpoint)),
    };
    let apply = |state: &WorkflowState, event| state.apply(3, &Command::RunEvents(vec![event]));
    apply(&state, stopped(3, "new"));
    let snapshot = WorkflowLog(Arc::new(state)).snapshot().expect("a snapshot");
    let restored = WorkflowLog(Arc::new(WorkflowState::new(RETENTION_MS)));
    restored.restore(&snapshot).expect("the snapshot is read");
    apply(&restored.0, stopped(2, "old"));
    let checkpoint = restored.0.with_job(JobKey(1), |job| {
        job.task(&task()).and_then(|task| task.checkpoint.clone())
    });
    assert_eq!(checkpoint.flatten(), Some(Name::from("new")));
}

fn put(incarnation: WorkerIncarnation, is_draining: bool) -> Command {
    Command::PutWorker(WorkerRecord {
        incarnation,
        address: Name::from("w1:80"),
        domain: DomainName::from("d"),
        pool: PoolName::from("p"),
        capacity: Resources::new(1, 1, 0),
        labels: Vec::new(),
        rack: None,
        is_draining,
        acknowledged: 0,
    })
}

/// Guards against a worker that is no longer known to leave after a restart of the hosts, when its record
/// was removed before and an earlier announcement arrives.
#[test]
fn removed_worker_survives_a_snapshot() {
    let put = |is_draining| put(incarnation(1), is_draining);
    let state = state_after_two_failed_runs();
    state.apply(2, &put(true));
    state.apply(2, &Command::RemoveWorker(incarnation(1)));
    let snapshot = WorkflowLog(Arc::new(state)).snapshot().expect("a snapshot");
    let restored = WorkflowLog(Arc::new(WorkflowState::new(RETENTION_MS)));
    restored.restore(&snapshot).expect("the snapshot is read");
    restored.0.apply(3, &put(false));
    let record = restored.0.worker(&incarnation(1).worker);
    assert_eq!(record.map(|record| record.is_draining), Some(true));
}

/// Incarnation that follows `incarnation(1)` and names an earlier start time.
fn successor() -> WorkerIncarnation {
    WorkerIncarnation {
        started_ms: 4,
        ..incarnation(1)
    }
}

/// State in which the successor is recorded.
fn state_after_a_succession() -> WorkflowState {
    let state = state_after_two_failed_runs();
    let succession = Succession {
        earlier: incarnation(1),
        later_started_ms: successor().started_ms,
    };
    state.apply(2, &put(incarnation(1), false));
    state.apply(2, &Command::PutSuccession(succession));
    state.apply(2, &put(successor(), false));
    state
}

/// Guards against a delayed heartbeat that counts after a restart of the hosts, because the order of the
/// incarnations was lost.
#[test]
fn succession_survives_a_snapshot() {
    let log = WorkflowLog(Arc::new(state_after_a_succession()));
    let snapshot = log.snapshot().expect("a snapshot");
    let restored = WorkflowLog(Arc::new(WorkflowState::new(RETENTION_MS)));
    restored.restore(&snapshot).expect("the snapshot is read");
    assert_eq!(restored.0.snapshot(), log.0.snapshot());
    restored.0.apply(3, &put(incarnation(1), false));
    let record = restored.0.worker(&successor().worker);
    assert_eq!(record.map(|record| record.incarnation), Some(successor()));
}

/// Guards against a host that cannot read the snapshot of the release before, which stored no successions.
#[test]
fn snapshot_without_successions_is_read() {
    let mut expected = state_after_a_succession().snapshot();
    let histories = expected.histories();
    let removed_workers = expected.removed_workers.clone();
    let stored = record::encode(&(&expected, histories, removed_workers)).expect("a snapshot");
    let restored = WorkflowLog(Arc::new(WorkflowState::new(RETENTION_MS)));
    restored.restore(&stored).expect("the snapshot is read");
    expected.successions.clear();
    assert_eq!(restored.0.snapshot(), expected);
}

/// Guards against a snapshot that loses which runs have failed, so that an end that is listed again
/// counts again after a restart, and against a host that cannot read the snapshot of the release before.
#[parameterized(
    of_the_earlier_release = { earlier_release() },
    of_the_current_release = { current_release() },
)]
fn failed_runs_survive_a_snapshot(snapshot: Vec<u8>) {
    let restored = WorkflowLog(Arc::new(WorkflowState::new(RETENTION_MS)));
    restored.restore(&snapshot).expect("the snapshot is read");
    let state = &restored.0;
    let apply = |events| state.apply(3, &Command::RunEvents(events));
    let phase = || state.with_job(JobKey(1), |job| job.phase);
    apply(vec![failed(1), failed(2), failed(1)]);
    let count = state.with_job(JobKey(1), |job| {
        job.task(&task()).map(|task| task.failed_runs.count())
    });
    assert_eq!(count.flatten(), Some(2));
    apply(vec![failed(3)]);
    assert_eq!(phase(), Some(JobPhase::Running));
    apply(vec![placed(4), failed(4)]);
    assert_eq!(phase(), Some(JobPhase::Failed));
}

/// Guards against histories that a snapshot gives to another task, step, occurrence or job.
#[test]
fn histories_return_to_their_tasks() {
    let state = state_after_two_failed_runs();
    let spec = JobSpec {
        steps: vec![step(3), step(2)],
        repeat_count: 2,
        ..JobSpec::default()
    };
    for job in [JobKey(2), JobKey(3)] {
        let (queue, spec) = (Name::from("q"), spec.clone());
        state.apply(3, &Command::Submit { job, queue, spec });
        for (occurrence, step, index) in [(0, 0, 2), (0, 1, 1), (1, 0, 1)] {
            let step = StepKey {
                job,
                occurrence,
                step,
            };
            let task = TaskKey { step, index };
            let runs = 1 + u32::try_from(job.0).expect("a small number") + occurrence;
            let checkpoint = Some(Name::from(task.to_string()));
            let events = (1..=runs.min(MAX_ATTEMPTS - 1)).flat_map(|run| {
                let placed = RunEvent::Placed {
                    task,
                    run,
                    incarnation: incarnation(run),
                };
                let failed = RunEvent::Ended {
                    incarnation: incarnation(run),
                    number: 1,
                    task,
                    run,
                    end: RunEnd::Failed,
                    checkpoint: checkpoint.clone(),
                };
                [placed, failed]
            });
            state.apply(4, &Command::RunEvents(events.collect()));
        }
    }
    let expected = state.snapshot();
    let stored = WorkflowLog(Arc::new(state)).snapshot().expect("a snapshot");
    let restored = WorkflowLog(Arc::new(WorkflowState::new(RETENTION_MS)));
    restored.restore(&stored).expect("the snapshot is read");
    assert_eq!(restored.0.snapshot(), expected);
}

/// Guards against a first failure that does not count, because the snapshot of the release before holds
/// no failed runs of the task.
#[test]
fn first_failure_after_a_snapshot_of_the_earlier_release_counts() {
    let restored = WorkflowLog(Arc::new(WorkflowState::new(RETENTION_MS)));
    let mut snapshot = state_without_failures().snapshot();
    snapshot.restore_histories(None);
    restored.0.restore(snapshot);
    let late = vec![failed(1), failed(2)];
    restored.0.apply(3, &Command::RunEvents(late));
    let count = restored.0.with_job(JobKey(1), |job| {
        job.task(&task()).map(|task| task.failed_runs.count())
    });
    assert_eq!(count.flatten(), Some(2));
}

fn team(name: &str, key: &str) -> Team {
    Team {
        name: TeamName::from(name),
        keys: vec![KeyDigest::of(key.as_bytes())],
        weight: 2,
        cap: Resources::new(3, 4, 5),
    }
}

fn put_teams(state: &WorkflowState, version: u64, teams: Vec<Team>) {
    let configuration = Configuration {
        version,
        ..configuration()
    };
    let teams = TeamTable::new(teams, vec![Name::from("q")]).expect("valid teams");
    let command = Command::PutTeamConfiguration {
        configuration,
        teams: Arc::new(teams),
    };
    state.apply(version, &command);
}

/// State with a job without a team, one of a team in force, and one of a removed team.
fn state_with_teams() -> WorkflowState {
    let state = state_after_two_failed_runs();
    put_teams(&state, 2, vec![team("a", "ka"), team("removed", "kr")]);
    for (job, team) in [(2, "removed"), (3, "a")] {
        let command = Command::SubmitForTeam {
            job: JobKey(job),
            queue: Name::from("q"),
            team: TeamName::from(team),
            spec: spec(),
        };
        state.apply(2, &command);
    }
    put_teams(&state, 3, vec![team("a", "ka2")]);
    state
}

/// Guards against jobs that lose their team, and against a removed team that loses its cap and weight,
/// after a restart of the hosts.
#[test]
fn teams_survive_a_snapshot() {
    let log = WorkflowLog(Arc::new(state_with_teams()));
    let snapshot = log.snapshot().expect("a snapshot");
    let restored = WorkflowLog(Arc::new(WorkflowState::new(RETENTION_MS)));
    restored.restore(&snapshot).expect("the snapshot is read");
    assert_eq!(restored.0.snapshot(), log.0.snapshot());
    assert_eq!(restored.0.configuration(), log.0.configuration());
    let removed = TeamName::from("removed");
    let record = restored.0.team(&removed);
    assert_eq!(record.as_deref(), Some(&team("removed", "kr")));
    for (job, owner) in [
        (1, None),
        (2, Some(removed)),
        (3, Some(TeamName::from("a"))),
    ] {
        let found = restored.0.with_job(JobKey(job), |job| job.team.clone());
        assert_eq!(found, Some(owner), "job {job}");
    }
}

/// Guards against a host that cannot read the snapshot of the release before, which stored no teams, or
/// that keeps the teams that it knew before.
#[test]
fn snapshot_without_teams_is_read() {
    let expected = state_after_a_succession().snapshot();
    let (histories, removed) = (expected.histories(), expected.removed_workers.clone());
    let parts = (&expected, histories, removed, expected.successions.clone());
    let stored = record::encode(&parts).expect("a snapshot");
    let restored = WorkflowLog(Arc::new(state_with_teams()));
    restored.restore(&stored).expect("the snapshot is read");
    assert_eq!(restored.0.snapshot(), expected);
    assert!(restored.0.teams().is_empty());
    assert_eq!(restored.snapshot().expect("a snapshot"), stored);
}

/// Guards against entries, messages and snapshots that hosts of the release before cannot read although
/// the configuration has no teams. The bytes of the configuration are in the snapshot of that release.
#[test]
fn bytes_without_teams_are_those_of_the_earlier_release() {
    let earlier = earlier_release();
    let encode = |command: &Command| record::encode(command).expect("an entry").to_vec();
    let encoded = encode(&Command::PutConfiguration(configuration()));
    let (variant, rest) = encoded.split_first().expect("bytes");
    assert_eq!(*variant, 0);
    assert!(earlier.starts_with(rest), "{rest:?}");
    let submission = Command::Submit {
        job: JobKey(1),
        queue: Name::from("q"),
        spec: spec(),
    };
    assert_eq!(encode(&submission)[..4], [1, 1, 1, b'q']);
    let request = Request::put_configuration(configuration()).with_key(None);
    assert_eq!(request, Request::PutConfiguration(configuration()));
    let request = record::encode(&request).expect("a message");
    assert_eq!((request[0], &request[1..]), (3, rest));
}

/// Guards against a host that forgets with a snapshot which start orders may still be carried out, and
/// would acknowledge the ends of their tasks as the next leader.
#[test]
fn unanswered_starts_survive_a_snapshot() {
    let log = WorkflowLog(Arc::new(state_without_failures()));
    let command = Command::StartsUnanswered(vec![task()]);
    log.0.apply(10, &command);
    let stored = log.snapshot().expect("a snapshot");
    let restored = WorkflowLog(Arc::new(WorkflowState::new(RETENTION_MS)));
    restored.restore(&stored).expect("the snapshot is read");
    assert_eq!(restored.0.snapshot(), log.0.snapshot());
    let worker = WorkerName::from("w3");
    assert_eq!(restored.0.unanswered_starts(11), [(task(), Some(worker))]);
    assert_eq!(restored.0.unanswered_starts(30_000), []);
}

/// Guards against a task that runs again after a restart of the hosts, because the snapshot lost which
/// occurrences of its job are done.
#[parameterized(
    in_the_form_of_earlier_releases = { 1_000 },
    stored_apart = { 1_001 },
)]
fn done_occurrences_survive_the_log(count: u32) {
    let state = WorkflowState::new(RETENTION_MS);
    state.apply(1, &Command::PutConfiguration(configuration()));
    let spec = JobSpec {
        repeat_count: u32::MAX,
        ..spec()
    };
    let (job, queue) = (JobKey(1), Name::from("q"));
    state.apply(1, &Command::Submit { job, queue, spec });
    let in_occurrence = |occurrence| {
        let mut task = task();
        task.step.occurrence = occurrence;
        task
    };
    for occurrence in 0..count {
        let task = in_occurrence(occurrence);
        let placed = RunEvent::Placed {
            task,
            run: 1,
            incarnation: incarnation(1),
        };
        let ended = RunEvent::Ended {
            incarnation: incarnation(1),
            number: u64::from(occurrence) + 1,
            task,
            run: 1,
            end: RunEnd::Done,
            checkpoint: None,
        };
        state.apply(2, &Command::RunEvents(vec![placed, ended]));
    }
    let log = WorkflowLog(Arc::new(state));
    let stored = log.snapshot().expect("a snapshot");
    let restored = WorkflowLog(Arc::new(WorkflowState::new(RETENTION_MS)));
    restored.restore(&stored).expect("the snapshot is read");
    let open = restored.0.with_job(job, |job| job.open_occurrences(10, 1));
    assert_eq!(open, Some(vec![count]));
    assert_eq!(restored.0.snapshot(), log.0.snapshot());
}
