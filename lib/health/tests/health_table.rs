//! Decisions on workers and jobs.

use tarragon_health::{HealthConfig, HealthDecision, HealthTable};
use tarragon_names::{JobId, Millis, WorkerName};
use yare::parameterized;

fn worker(n: usize) -> WorkerName {
    format!("w{n}").into()
}

fn table(workers: usize) -> HealthTable {
    let table = HealthTable::default();
    (0..workers).for_each(|n| table.add_worker(&worker(n)));
    table
}

fn has_quarantine(decisions: &[HealthDecision]) -> bool {
    decisions
        .iter()
        .any(|decision| matches!(decision, HealthDecision::Quarantine { .. }))
}

fn suspect(n: usize, failed_jobs: usize) -> HealthDecision {
    HealthDecision::Suspect {
        worker: worker(n),
        failed_jobs,
    }
}

fn clear(n: usize) -> HealthDecision {
    HealthDecision::Clear { worker: worker(n) }
}

/// Guards against keeping a faulty worker in service, and against quarantining a healthy one.
///
/// Each step is a job and its outcome on one worker: quick failure (`q`), slow failure (`s`) or
/// success (`ok`).
#[parameterized(
    three_jobs = { &[(1, "q"), (2, "q"), (3, "q")], true },
    two_jobs = { &[(1, "q"), (2, "q")], false },
    same_job_again = { &[(1, "q"), (1, "q"), (1, "q")], false },
    slow_failures = { &[(1, "s"), (2, "s"), (3, "s")], false },
    success_in_between = { &[(1, "q"), (2, "q"), (9, "ok"), (3, "q")], false },
    success_before = { &[(9, "ok"), (1, "q"), (2, "q"), (3, "q")], true },
)]
fn quick_failures_of_distinct_jobs_quarantine_a_worker(steps: &[(u64, &str)], expected: bool) {
    let table = table(20);
    let mut is_quarantined = false;
    for (now, (job, outcome)) in (0..).zip(steps) {
        let decisions = match *outcome {
            "q" => table.record_failure(&worker(0), JobId(*job), Millis(now), true),
            "s" => table.record_failure(&worker(0), JobId(*job), Millis(now), false),
            _ => table.record_success(&worker(0), JobId(*job), Millis(now)),
        };
        is_quarantined |= has_quarantine(&decisions);
    }
    assert_eq!(is_quarantined, expected);
    assert_eq!(table.is_quarantined(&worker(0)), expected);
}

/// Guards against quarantining healthy workers because of faulty jobs, which fail on several.
#[test]
fn faulty_jobs_do_not_quarantine_workers() {
    let table = table(20);
    for n in 0..10 {
        table.record_success(&worker(n), JobId(1_000), Millis(0));
    }
    for (now, job) in (1..=30).enumerate() {
        for place in [job, job + 1, job + 2] {
            let name = worker(place as usize % 10);
            let decisions = table.record_failure(&name, JobId(job), Millis(now as u64), true);
            assert!(!has_quarantine(&decisions), "job {job}");
        }
    }
    assert_eq!(table.quarantined_count(), 0);
}

/// Guards against retrying a faulty job for ever, and against failing a job that ran only on
/// workers on which no job succeeds.
#[parameterized(
    three_good_workers = { 3, true },
    two_good_workers = { 2, false },
    no_good_workers = { 0, false },
)]
fn job_fails_after_failures_on_good_workers(good: usize, expected: bool) {
    let table = table(20);
    for n in 0..good {
        table.record_success(&worker(n), JobId(1), Millis(0));
    }
    let mut decisions = Vec::new();
    for n in 0..3 {
        decisions.extend(table.record_failure(&worker(n), JobId(2), Millis(1), true));
        // A repeated failure on the same worker adds no evidence.
        decisions.extend(table.record_failure(&worker(n), JobId(2), Millis(1), true));
    }
    let mut expected_decisions = vec![suspect(0, 1), suspect(0, 1), clear(0)];
    if expected {
        expected_decisions.push(HealthDecision::FailJob {
            job: JobId(2),
            workers: (0..3).map(worker).collect(),
        });
    }
    assert_eq!(decisions, expected_decisions);
    assert_eq!(table.workers_with_failure(JobId(2)).len(), 3);
}

/// Guards against failing healthy jobs when many workers become faulty after earlier successes;
/// those successes no longer count once several jobs have failed.
#[parameterized(
    no_other_job_failed = { 0, true },
    one_other_job_failed = { 1, true },
    two_other_jobs_failed = { 2, false },
)]
fn successes_before_several_failures_do_not_count(others: u64, expected: bool) {
    let table = table(20);
    let mut is_job_failed = false;
    for n in 0..3 {
        table.record_success(&worker(n), JobId(1), Millis(0));
        for other in 0..others {
            table.record_failure(&worker(n), JobId(100 + other), Millis(1), false);
        }
        is_job_failed |= table
            .record_failure(&worker(n), JobId(2), Millis(2), true)
            .iter()
            .any(|decision| matches!(decision, HealthDecision::FailJob { job: JobId(2), .. }));
    }
    assert_eq!(is_job_failed, expected);
}

/// Guards against counting a job's own success on a worker as a success of other jobs.
#[test]
fn own_success_is_no_evidence_against_a_job() {
    let table = table(20);
    for n in 0..3 {
        table.record_success(&worker(n), JobId(2), Millis(0));
    }
    for (n, expected) in [vec![suspect(0, 1)], vec![clear(0)], vec![]]
        .iter()
        .enumerate()
    {
        let decisions = table.record_failure(&worker(n), JobId(2), Millis(1), true);
        assert_eq!(decisions, *expected);
    }
}

/// Guards against a sound worker that stays suspected or quarantined because of jobs that fail
/// everywhere, and against a bad one that is cleared as soon as one of its failed jobs is such a
/// job.
#[parameterized(
    suspected_for_one = { 1, 1, true },
    suspected_for_two = { 2, 2, true },
    one_of_two_failed_here_alone = { 2, 1, false },
    quarantined = { 3, 3, true },
    quarantined_for_one_that_failed_here_alone = { 3, 2, false },
)]
fn failures_elsewhere_clear_a_worker(failed: u64, elsewhere: u64, expected: bool) {
    let table = table(20);
    for job in 0..failed {
        table.record_failure(&worker(0), JobId(job), Millis(0), true);
    }
    let mut decisions = Vec::new();
    for job in 0..elsewhere {
        decisions.extend(table.record_failure(&worker(1), JobId(job), Millis(1), true));
    }
    let expected_decisions = if expected { vec![clear(0)] } else { vec![] };
    assert_eq!(decisions, expected_decisions);
    assert_eq!(table.is_quarantined(&worker(0)), failed >= 3 && !expected);
    assert_eq!(
        table.take_due_probes(Millis(1_000_000), 9).len(),
        table.quarantined_count()
    );
}

/// Guards against a longer quarantine of a sound worker whose probe is a job that fails everywhere.
#[test]
fn probe_with_a_job_that_fails_elsewhere_is_repeated() {
    let table = table(20);
    for job in 1..=3 {
        table.record_failure(&worker(0), JobId(job), Millis(0), true);
    }
    table.record_failure(&worker(1), JobId(9), Millis(0), true);
    let now = HealthConfig::default().min_probe_delay;
    assert_eq!(table.take_due_probes(now, 9), [worker(0)]);
    let decisions = table.record_failure(&worker(0), JobId(9), now, true);
    assert_eq!(decisions, [clear(1)]);
    assert_eq!(table.take_due_probes(now, 9), [worker(0)]);
}

/// Guards against quarantining every worker when a fault affects all of them.
#[parameterized(
    one_worker = { 1, 1 },
    small = { 9, 1 },
    fifty = { 50, 5 },
    hundred_and_five = { 105, 10 },
)]
fn at_most_ten_percent_are_quarantined(workers: usize, limit: usize) {
    let table = table(workers);
    for round in 0..6 {
        for n in 0..workers {
            let job = JobId((round * workers + n) as u64);
            table.record_failure(&worker(n), job, Millis(round as u64), true);
        }
    }
    assert_eq!(table.quarantined_count(), limit);
    let first = (0..workers).find(|n| table.is_quarantined(&worker(*n)));
    table.remove_worker(&worker(first.unwrap()));
    assert_eq!(table.quarantined_count(), limit - 1);
}

/// Guards against probes that are too frequent or run in parallel, and against restoring a worker
/// that still fails.
#[test]
fn probes_back_off_until_one_succeeds() {
    let cfg = HealthConfig::default();
    let table = table(20);
    for job in 1..=3 {
        table.record_failure(&worker(0), JobId(job), Millis(0), true);
    }
    let mut now = Millis(0);
    let mut probe_delay = cfg.min_probe_delay;
    for job in 10..20 {
        assert!(
            table
                .take_due_probes(Millis(now.0 + probe_delay.0 - 1), 9)
                .is_empty()
        );
        now += probe_delay;
        assert_eq!(table.take_due_probes(now, 9), [worker(0)]);
        assert!(
            table
                .take_due_probes(now + cfg.max_probe_delay, 9)
                .is_empty(),
            "no further probe should be due before the outcome of the first"
        );
        table.record_failure(&worker(0), JobId(job), now, true);
        probe_delay = Millis(probe_delay.0 * 2).min(cfg.max_probe_delay);
    }
    assert_eq!(probe_delay, cfg.max_probe_delay);
    // A task that started before the quarantine succeeds, although new tasks still fail.
    assert!(table.record_success(&worker(0), JobId(5), now).is_empty());
    now += probe_delay;
    assert_eq!(table.take_due_probes(now, 9), [worker(0)]);
    table.cancel_probe(&worker(0), now);
    now += probe_delay;
    assert_eq!(table.take_due_probes(now, 9), [worker(0)]);
    let restored = HealthDecision::Restore { worker: worker(0) };
    assert_eq!(table.record_success(&worker(0), JobId(30), now), [restored]);
    assert_eq!(table.quarantined_count(), 0);
}

/// Guards against memory use that grows with every job that ever failed.
#[test]
fn expired_and_ended_jobs_are_removed() {
    let table = table(3);
    table.record_failure(&worker(0), JobId(1), Millis(0), true);
    table.record_failure(&worker(0), JobId(2), Millis(5_000_000), true);
    table.forget_expired_jobs(Millis(5_000_001));
    assert!(table.workers_with_failure(JobId(1)).is_empty());
    assert_eq!(table.workers_with_failure(JobId(2)), [worker(0)]);
    table.forget_job(JobId(2));
    assert!(table.workers_with_failure(JobId(2)).is_empty());
}
