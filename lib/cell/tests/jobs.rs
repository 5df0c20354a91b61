//! Tests of job states, attempts, acceptance and snapshots.

mod common;

use common::{Fixture, entry, spec};
use tarragon_cell::{
    Answer, AttemptEnd, Command, ENDED_JOB_RETENTION_MS, JobRecord, JobSpec, JobState, Query,
    QueryAnswer, Quota,
};
use tarragon_codes::Code;
use tarragon_names::{JobId, Resources, Revision, Workload};
use yare::parameterized;

/// Guards against reporting `not_run` for a cancelled job that ran or may have run.
#[parameterized(
    never_assigned = { &[], JobState::NotRun },
    never_began = { &[AttemptEnd::NeverBegan], JobState::NotRun },
    stopped = { &[AttemptEnd::Stopped], JobState::Stopped },
    lost = { &[AttemptEnd::LeaseEnded], JobState::Unknown },
    lost_then_never_began = {
        &[AttemptEnd::LeaseEnded, AttemptEnd::NeverBegan], JobState::Unknown
    },
    failed_then_never_began = {
        &[AttemptEnd::Exited(1), AttemptEnd::NeverBegan], JobState::Stopped
    },
    exited_before_cancel = { &[AttemptEnd::Exited(0)], JobState::Ran },
)]
fn cancelled_job_reports_whether_it_began(ends: &[AttemptEnd], expected: JobState) {
    let cell = Fixture::new();
    let job = cell.accept(Workload::Batch, 1);
    for (at, ended) in ends.iter().enumerate() {
        assert!(cell.assign(job, 0, at as u32 + 1));
        if at + 1 == ends.len() && *ended != AttemptEnd::Exited(0) {
            cell.apply(&Command::Cancel { job });
            assert_eq!(cell.state(job), JobState::Cancelling);
        }
        cell.end(job, 0, at as u32 + 1, *ended);
    }
    cell.apply(&Command::Cancel { job });
    assert_eq!(cell.state(job), expected);
}

/// Guards against a task that is assigned twice, with a skipped attempt, or after its job was
/// cancelled or refused.
#[test]
fn only_the_next_attempt_of_a_waiting_task_is_assigned() {
    let cell = Fixture::new();
    let job = cell.accept(Workload::Batch, 1);
    assert!(!cell.assign(job, 0, 2));
    assert!(cell.assign(job, 0, 1));
    assert!(!cell.assign(job, 0, 1));
    assert!(!cell.assign(job, 0, 2));
    cell.end(job, 0, 1, AttemptEnd::Checkpointed);
    assert!(!cell.assign(job, 0, 1));
    cell.apply(&Command::Cancel { job });
    assert!(!cell.assign(job, 0, 2));
    let refused = cell.accept(Workload::Batch, 1);
    cell.apply(&Command::Refuse {
        job: refused,
        reason: Code::LargerThanAnyWorker.into(),
    });
    assert!(!cell.assign(refused, 0, 1));
    assert_eq!(cell.state(refused), JobState::NotRun);
}

/// Guards against a lost or failed task that is given up too early or retried without limit.
#[parameterized(
    lost = { Workload::Batch, AttemptEnd::LeaseEnded, 1, JobState::Queued },
    lost_twice = { Workload::Batch, AttemptEnd::LeaseEnded, 2, JobState::Unknown },
    failed = { Workload::Batch, AttemptEnd::Exited(3), 1, JobState::Queued },
    failed_twice = { Workload::Batch, AttemptEnd::Exited(3), 2, JobState::Ran },
    never_began_is_no_failure = { Workload::Batch, AttemptEnd::NeverBegan, 5, JobState::Queued },
    checkpointed_is_no_failure = { Workload::Batch, AttemptEnd::Checkpointed, 5, JobState::Queued },
    service_restarts = { Workload::Service, AttemptEnd::Exited(0), 5, JobState::Queued },
    all_or_nothing_failed_twice = {
        Workload::AllOrNothing, AttemptEnd::Exited(3), 2, JobState::Ran
    },
)]
fn failed_and_lost_attempts_count_towards_max_attempts(
    kind: Workload,
    ended: AttemptEnd,
    times: u32,
    expected: JobState,
) {
    let cell = Fixture::new();
    let job = cell.accept(kind, 1);
    for attempt in 1..=times {
        assert!(cell.assign(job, 0, attempt));
        cell.end(job, 0, attempt, ended);
    }
    assert_eq!(cell.state(job), expected);
}

/// Guards against repeating a finished task whose end arrives after the lease of its attempt
/// ended.
#[test]
fn late_end_is_accepted_until_the_next_attempt() {
    let cell = Fixture::new();
    let job = cell.accept(Workload::Batch, 2);
    for index in 0..2 {
        assert!(cell.assign(job, index, 1));
        cell.end(job, index, 1, AttemptEnd::LeaseEnded);
    }
    cell.end(job, 0, 1, AttemptEnd::Exited(0));
    assert!(!cell.assign(job, 0, 2));
    assert!(cell.assign(job, 1, 2));
    cell.end(job, 1, 1, AttemptEnd::Exited(0));
    assert_eq!(cell.state(job), JobState::Running);
    cell.end(job, 1, 2, AttemptEnd::Exited(0));
    let success = cell.cell.with_job(job, JobRecord::success).unwrap();
    assert_eq!((cell.state(job), success), (JobState::Ran, Some(true)));
}

/// Guards against accepting a job that the catalogue entry or a bound of the cell excludes.
#[parameterized(
    no_entry = { |s| s.name = "b".into(), Code::NoEntry },
    kind_not_allowed = { |s| s.kind = Workload::Request, Code::KindNotAllowed },
    no_tasks = { |s| s.tasks = 0, Code::Malformed },
    zero_resources = { |s| s.resources = Resources::ZERO, Code::Malformed },
    too_many_tasks = { |s| s.tasks = 1_001, Code::BeyondLimits },
    too_large_task = { |s| s.resources.cpu_milli = 8_001, Code::BeyondLimits },
    too_long_run_time = { |s| s.run_ms = u64::MAX, Code::BeyondLimits },
    too_large_payload = { |s| s.payload = "x".repeat(70_000).into(), Code::TooLarge },
)]
fn job_outside_the_limits_is_rejected(change: fn(&mut JobSpec), code: Code) {
    let cell = Fixture::new();
    let mut spec = spec(Workload::Batch, 1);
    change(&mut spec);
    let answer = cell.apply(&Command::AcceptJob { key: None, spec });
    assert!(matches!(answer, Answer::Failed(failure) if failure.code == code));
}

/// Guards against a limit on unfinished jobs that is not enforced, and against counts that do not
/// fall when a job ends.
#[parameterized(
    entry_limit = { 0, 5, Code::QueueFull },
    team_limit = { 3, 3, Code::QuotaExceeded },
)]
fn unfinished_jobs_are_limited(quota: u32, limit: u32, code: Code) {
    let cell = Fixture::new();
    cell.apply(&Command::PutQuota {
        request_id: "q".into(),
        expected: Revision(0),
        team: "reels".into(),
        quota: Quota {
            max_jobs: quota,
            ..Quota::default()
        },
    });
    let jobs = (0..limit)
        .map(|_| cell.accept(Workload::Batch, 1))
        .collect::<Vec<_>>();
    let one_more = Command::AcceptJob {
        key: None,
        spec: spec(Workload::Batch, 1),
    };
    let full = cell.apply(&one_more);
    assert!(matches!(full, Answer::Failed(failure) if failure.code == code));
    cell.apply(&Command::Cancel { job: jobs[0] });
    assert!(matches!(cell.apply(&one_more), Answer::Accepted(_)));
}

/// Guards against a resent job that runs twice, and against one key for two different jobs.
#[test]
fn key_returns_the_first_job() {
    let cell = Fixture::new();
    let accept = |tasks| Command::AcceptJob {
        key: Some("k".into()),
        spec: spec(Workload::Batch, tasks),
    };
    let first = cell.apply(&accept(1));
    assert_eq!(cell.apply(&accept(1)), first);
    let other = cell.apply(&accept(2));
    assert!(matches!(other, Answer::Failed(failure) if failure.code == Code::KeyReused));
    assert!(matches!(
        cell.cell.query(&Query::JobByKey("k".into())),
        QueryAnswer::Job(_)
    ));
}

/// Guards against ended jobs that are never removed or are removed too early.
#[test]
fn ended_jobs_are_kept_for_a_day() {
    let cell = Fixture::new();
    let job = cell.accept(Workload::Batch, 1);
    cell.apply_at(1_000, &Command::Cancel { job });
    let is_kept = |at_ms| {
        let drain = Command::DrainWorker {
            worker: "w".into(),
            draining: true,
        };
        cell.apply_at(at_ms, &drain);
        cell.cell.with_job(job, |_| ()).is_some()
    };
    assert!(is_kept(999 + ENDED_JOB_RETENTION_MS));
    assert!(!is_kept(1_000 + ENDED_JOB_RETENTION_MS));
}

/// Guards against a resent write that is applied twice, and against a lost update when two
/// operators write at once.
#[test]
fn writes_are_conditional_and_idempotent() {
    let cell = Fixture::new();
    let put = |id: &str, expected| Command::PutEntry {
        request_id: id.into(),
        expected: Revision(expected),
        entry: entry("b"),
    };
    assert_eq!(cell.apply(&put("1", 0)), Answer::Written(Revision(2)));
    let racing = cell.apply(&put("2", 0));
    assert!(matches!(&racing, Answer::Failed(failure) if failure.code == Code::RevisionConflict));
    assert_eq!(cell.apply(&put("3", 2)), Answer::Written(Revision(3)));
    assert_eq!(cell.apply(&put("1", 0)), Answer::Written(Revision(2)));
    assert_eq!(cell.apply(&put("2", 0)), racing);
    let reused = cell.apply(&put("1", 3));
    assert!(matches!(reused, Answer::Failed(failure) if failure.code == Code::KeyReused));
}

/// Guards against a snapshot that loses state or cannot be decoded.
#[test]
fn snapshot_restores_everything() {
    let cell = Fixture::new();
    let job = cell.accept(Workload::Batch, 3);
    assert!(cell.assign(job, 0, 1));
    cell.apply(&Command::AcceptJob {
        key: Some("k".into()),
        spec: spec(Workload::Service, 1),
    });
    cell.apply(&Command::Refuse {
        job: JobId(4),
        reason: Code::LargerThanAnyWorker.into(),
    });
    let state = cell.cell.snapshot();
    let bytes = postcard::to_allocvec(&state).unwrap();
    let copy = Fixture::new();
    copy.cell.restore(postcard::from_bytes(&bytes).unwrap());
    assert_eq!(copy.cell.snapshot(), state);
    assert_eq!(copy.state(job), JobState::Running);
    assert_eq!(copy.cell.unfinished_jobs(), cell.cell.unfinished_jobs());
}
