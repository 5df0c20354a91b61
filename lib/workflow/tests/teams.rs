//! Teams: their keys, the owners of jobs, and teams that a later configuration no longer names.

use std::sync::Arc;

use tarragon_codes::Code;
use tarragon_names::{Millis, Name, PoolName, Resources, TeamName, WorkerName};
use tarragon_workflow::{
    Answer, Command, Configuration, JobKey, JobPhase, JobSpec, KeyDigest, Queue, RunEnd, RunEvent,
    StepKey, StepSpec, TaskKey, Team, TeamTable, WorkerIncarnation, WorkflowState,
};
use yare::parameterized;

const RETENTION_MS: u64 = 1_000;

const JOB: JobKey = JobKey(1);

fn team(name: &str, keys: &[&str]) -> Team {
    Team {
        name: TeamName::from(name),
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        weight: 1,
        cap: Resources::new(100, 100, 1),
    }
}

/// Table of these teams, with the queue "open" that allows anonymous calls.
fn table(teams: &[Team]) -> TeamTable {
    let table = TeamTable::new(teams.to_vec(), vec![Name::from("open")]);
    table.expect("a valid table")
}

fn two_teams() -> TeamTable {
    table(&[team("a", &["ka", "ka2"]), team("b", &["kb"])])
}

/// Guards against a call that is served without a valid key, and against a valid key that is refused.
#[parameterized(
    first_key = { "q", Some("ka"), Ok(Some("a")) },
    second_key = { "q", Some("ka2"), Ok(Some("a")) },
    other_team = { "q", Some("kb"), Ok(Some("b")) },
    beginning_of_a_key = { "q", Some("k"), Err(Code::UnknownKey) },
    longer_than_a_key = { "q", Some("kaa"), Err(Code::UnknownKey) },
    other_case = { "q", Some("KA"), Err(Code::UnknownKey) },
    no_key = { "q", None, Err(Code::UnknownKey) },
    no_key_on_an_anonymous_queue = { "open", None, Ok(None) },
    key_on_an_anonymous_queue = { "open", Some("kb"), Ok(Some("b")) },
    unknown_key_on_an_anonymous_queue = { "open", Some("x"), Err(Code::UnknownKey) },
)]
fn keys_identify_teams(queue: &str, key: Option<&str>, expected: Result<Option<&str>, Code>) {
    let table = two_teams();
    let key = key.map(|key| KeyDigest::of(key.as_bytes()));
    let found = table.authenticate(&Name::from(queue), key.as_ref());
    let found = found.map(|team| team.map(|team| team.name.as_str()));
    assert_eq!(found.map_err(|refusal| refusal.code), expected);
}

/// Guards against a header that identifies no key and is taken for an anonymous call.
#[test]
fn unreadable_key_matches_no_team() {
    let unreadable = Some(&KeyDigest::UNREADABLE);
    let table = two_teams();
    let refused = table.authenticate(&Name::from("open"), unreadable);
    assert_eq!(refused.unwrap_err().code, Code::UnknownKey);
}

/// Guards against keys that a configuration without teams requires or refuses.
#[test]
fn without_teams_every_call_is_accepted() {
    let table = table(&[]);
    assert_eq!(table, TeamTable::default());
    let owner = team("a", &["ka"]);
    let key = KeyDigest::of(b"any");
    assert!(matches!(
        table.authenticate(&Name::from("q"), Some(&key)),
        Ok(None)
    ));
    assert!(matches!(
        table.authenticate(&Name::from("q"), None),
        Ok(None)
    ));
    assert!(table.check_owner(Some(&owner), None).is_ok());
}

/// Guards against teams that reach the jobs of one another, also by leaving out their key or after the
/// owner was removed, and against a renamed team that loses its jobs.
#[parameterized(
    owner = { Some(("a", "ka")), Some("a"), true },
    other_team = { Some(("a", "ka")), Some("b"), false },
    no_key = { Some(("a", "ka")), None, false },
    job_without_a_team = { None, Some("b"), true },
    job_and_caller_without_a_team = { None, None, true },
    removed_owner = { Some(("old", "kold")), Some("b"), false },
    removed_owner_without_a_key = { Some(("old", "kold")), None, false },
    renamed_owner = { Some(("old", "kb")), Some("b"), true },
    key_of_a_renamed_owner_at_another_team = { Some(("old", "kb")), Some("a"), false },
    key_that_moved_from_a_configured_team = { Some(("a", "kb")), Some("b"), false },
)]
fn only_the_owner_reaches_a_job(
    owner: Option<(&str, &str)>,
    caller: Option<&str>,
    is_allowed: bool,
) {
    let owner = owner.map(|(name, key)| team(name, &[key]));
    let caller = caller.map(TeamName::from);
    let checked = two_teams().check_owner(owner.as_ref(), caller.as_ref());
    let refusal = checked.err().map(|refusal| refusal.code);
    assert_eq!(refusal, (!is_allowed).then_some(Code::OtherTeam));
}

/// Guards against a table in which a key or a name stands for two teams.
#[parameterized(
    shared_key = { &[team("a", &["k"]), team("b", &["x", "k"])], "team b: a key is shared with team a" },
    same_name = { &[team("a", &["k"]), team("a", &["x"])], "team a: the name appears twice" },
)]
fn ambiguous_teams_are_refused(teams: &[Team], cause: &str) {
    let refused = TeamTable::new(teams.to_vec(), Vec::new()).unwrap_err();
    assert_eq!(
        (refused.code, refused.cause.as_str()),
        (Code::BadEntry, cause)
    );
}

/// Guards against a job that waits for ever because its cap lets no task of it start.
#[parameterized(
    task_within_the_cap = { 100, 1, false, true },
    many_tasks_that_run_one_after_another = { 100, 50, false, true },
    task_above_the_cap = { 101, 1, false, false },
    gang_within_the_cap = { 50, 2, true, true },
    gang_above_the_cap = { 50, 3, true, false },
)]
fn job_above_the_cap_is_refused(cpu: u64, count: u32, gang: bool, is_accepted: bool) {
    let step = StepSpec {
        count,
        gang,
        resources: Resources::new(cpu, 1, 0),
        ..StepSpec::default()
    };
    let spec = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    let refusal = team("a", &[]).check_job(&spec).err();
    let refusal = refusal.map(|refusal| refusal.code);
    assert_eq!(refusal, (!is_accepted).then_some(Code::QuotaExceeded));
}

/// Guards against keys and their digests in log lines and errors.
#[test]
fn debug_output_shows_no_key() {
    let table = table(&[team("a", &["secret-key"])]);
    let configuration = Configuration {
        text: Name::from("secret-key"),
        teams: Arc::new(table.clone()),
        ..Configuration::default()
    };
    let digest = format!(
        "{:?}",
        table.get(&TeamName::from("a")).map(|team| &team.keys)
    );
    assert_eq!(digest, "Some([KeyDigest(..)])");
    let command = Command::PutTeamConfiguration {
        configuration: configuration.clone(),
        teams: Arc::new(table),
    };
    let shown = format!(
        "{configuration:?} {command:?} {:?}",
        Command::PutConfiguration(configuration.clone())
    );
    assert!(!shown.contains("secret"), "{shown}");
    assert!(shown.contains("text: 10 bytes"), "{shown}");
}

fn put(state: &WorkflowState, version: u64, teams: &[Team]) {
    let queue = Queue {
        name: Name::from("q"),
        host: Name::from("h"),
        prefix: Name::from("/q/"),
        pool: PoolName::from("p"),
        priority: 0,
        max_attempts: 2,
        stretch_permille: 1_000,
        target_latency: Millis(0),
        advice: None,
    };
    let configuration = Configuration {
        version,
        text: Name::from(version.to_string()),
        queues: vec![queue],
        ..Configuration::default()
    };
    let teams = table(teams);
    let command = Command::PutTeamConfiguration {
        configuration,
        teams: Arc::new(teams),
    };
    assert_eq!(state.apply(version, &command), Answer::Done);
}

fn submit(state: &WorkflowState, at_ms: u64, job: JobKey, team: &str) -> Answer {
    let step = StepSpec {
        count: 1,
        resources: Resources::new(1, 1, 0),
        ..StepSpec::default()
    };
    let command = Command::SubmitForTeam {
        job,
        queue: Name::from("q"),
        team: TeamName::from(team),
        spec: JobSpec {
            steps: vec![step],
            ..JobSpec::default()
        },
    };
    state.apply(at_ms, &command)
}

fn owner(state: &WorkflowState, job: JobKey) -> Option<TeamName> {
    state.with_job(job, |job| job.team.clone()).flatten()
}

/// Team with a name and a number of keys.
fn large_team(version: u64, keys: usize) -> Team {
    let keys = (0..keys).map(|key| format!("{version}-{key}"));
    let keys = keys.collect::<Vec<_>>();
    let keys = keys.iter().map(String::as_str).collect::<Vec<_>>();
    team(&format!("team-{version}"), &keys)
}

/// Guards against a job that stands still, or runs without a cap, because its team was removed from the
/// configuration, and against an end of it that is not counted.
#[test]
fn job_of_a_removed_team_goes_on() {
    let state = WorkflowState::new(RETENTION_MS);
    put(&state, 1, &[team("a", &["ka"]), team("b", &["kb"])]);
    assert_eq!(submit(&state, 2, JOB, "b"), Answer::Done);
    for version in 3..40 {
        put(&state, version, &[large_team(version, 1_000)]);
    }
    let known = state.team(&TeamName::from("b")).expect("the removed team");
    assert_eq!(*known, team("b", &["kb"]));
    let step = StepKey {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    let task = TaskKey { step, index: 0 };
    let incarnation = WorkerIncarnation {
        worker: WorkerName::from("w"),
        started_ms: 1,
    };
    let placed = RunEvent::Placed {
        task,
        run: 1,
        incarnation: incarnation.clone(),
    };
    let ended = RunEvent::Ended {
        incarnation,
        number: 1,
        task,
        run: 1,
        end: RunEnd::Done,
        checkpoint: None,
    };
    state.apply(50, &Command::RunEvents(vec![placed, ended]));
    let phase = state.with_job(JOB, |job| job.phase);
    assert_eq!(phase, Some(JobPhase::Completed));
}

/// Guards against a state that grows with each configuration that replaces its teams, by many teams or
/// by teams with many keys, and against replicas that drop different teams after a restart of one.
#[parameterized(
    few_keys = { 1, 2_000 },
    many_keys = { 1_000, 40 },
)]
fn removed_teams_leave_the_state(keys: usize, configurations: u64) {
    let state = WorkflowState::new(RETENTION_MS);
    let restored = WorkflowState::new(RETENTION_MS);
    let mut largest = 0;
    for version in 1..=configurations {
        put(&state, version, &[large_team(version, keys)]);
        if version == configurations / 2 {
            restored.restore(state.snapshot());
        } else if version > configurations / 2 {
            put(&restored, version, &[large_team(version, keys)]);
        }
        let teams = state.teams();
        let bytes = teams.iter().map(|team| team.keys.len() * 32 + 128);
        largest = largest.max(bytes.sum::<usize>());
    }
    assert!(
        largest <= (256 << 10) + 2 * (keys * 32 + 128),
        "{largest} bytes"
    );
    assert_eq!(restored.snapshot(), state.snapshot());
}

/// Guards against a job without a cap, whose owner a snapshot would lose, if its team was dropped
/// between the leader's decision and the entry.
#[test]
fn job_of_a_dropped_team_is_refused_and_a_known_one_keeps_its_owner() {
    let state = WorkflowState::new(RETENTION_MS);
    put(&state, 1, &[team("a", &["ka"])]);
    assert_eq!(submit(&state, 1, JOB, "a"), Answer::Done);
    assert_eq!(submit(&state, 1, JobKey(2), "dropped"), Answer::NoSuchTeam);
    assert_eq!(state.job_count(), 1);
    assert_eq!(submit(&state, 1, JOB, "dropped"), Answer::Done);
    assert_eq!(owner(&state, JOB), Some(TeamName::from("a")));
}

/// Guards against a snapshot that gives a job to another team.
#[test]
fn owners_survive_a_snapshot() {
    let state = WorkflowState::new(RETENTION_MS);
    put(
        &state,
        1,
        &[team("a", &["ka"]), team("b", &["kb"]), team("c", &[])],
    );
    for (job, team) in [(1, "c"), (2, "a"), (3, "b"), (4, "a")] {
        assert_eq!(submit(&state, 1, JobKey(job), team), Answer::Done);
    }
    put(&state, 2, &[team("b", &["kb"])]);
    let restored = WorkflowState::new(RETENTION_MS);
    restored.restore(state.snapshot());
    assert_eq!(restored.snapshot(), state.snapshot());
    for (job, team) in [(1, "c"), (2, "a"), (3, "b"), (4, "a")] {
        assert_eq!(owner(&restored, JobKey(job)), Some(TeamName::from(team)));
    }
    assert_eq!(restored.configuration(), state.configuration());
}
