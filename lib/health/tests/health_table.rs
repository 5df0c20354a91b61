//! Verdicts on workers and jobs.

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

fn quarantined(verdicts: &[HealthDecision]) -> bool {
    verdicts
        .iter()
        .any(|verdict| matches!(verdict, HealthDecision::Quarantine { .. }))
}

/// Guards against a bad worker staying in service, and against good ones being taken out of it.
///
/// Each step is a job and its outcome on one worker: quick failure, slow failure or success.
#[parameterized(
    three_jobs = { &[(1, "q"), (2, "q"), (3, "q")], true },
    two_jobs = { &[(1, "q"), (2, "q")], false },
    same_job_again = { &[(1, "q"), (1, "q"), (1, "q")], false },
    slow_failures = { &[(1, "s"), (2, "s"), (3, "s")], false },
    success_in_between = { &[(1, "q"), (2, "q"), (9, "ok"), (3, "q")], false },
    success_before = { &[(9, "ok"), (1, "q"), (2, "q"), (3, "q")], true },
)]
fn worker_is_judged_by_distinct_jobs(steps: &[(u64, &str)], expected: bool) {
    let table = table(20);
    let mut found = false;
    for (now, (job, outcome)) in (0..).zip(steps) {
        let verdicts = match *outcome {
            "q" => table.record_failure(&worker(0), JobId(*job), Millis(now), true),
            "s" => table.record_failure(&worker(0), JobId(*job), Millis(now), false),
            _ => table.record_success(&worker(0), JobId(*job), Millis(now)),
        };
        found |= quarantined(&verdicts);
    }
    assert_eq!(found, expected);
    assert_eq!(table.is_quarantined(&worker(0)), expected);
}

/// Guards against bad jobs taking a good worker out of service: each fails elsewhere as well.
#[test]
fn bad_jobs_do_not_quarantine_workers() {
    let table = table(20);
    for n in 0..10 {
        table.record_success(&worker(n), JobId(1_000), Millis(0));
    }
    for (now, job) in (1..=30).enumerate() {
        for place in [job, job + 1, job + 2] {
            let name = worker(place as usize % 10);
            let verdicts = table.record_failure(&name, JobId(job), Millis(now as u64), true);
            assert!(!quarantined(&verdicts), "job {job}");
        }
    }
    assert_eq!(table.quarantined_count(), 0);
}

/// Guards against a bad job being retried for ever, and against holding a job that only met
/// workers on which nothing succeeds.
#[parameterized(
    good_workers = { 3, true },
    two_good_workers = { 2, false },
    bad_workers = { 0, false },
)]
fn job_is_held_after_failing_on_good_workers(good: usize, expected: bool) {
    let table = table(20);
    for n in 0..good {
        table.record_success(&worker(n), JobId(1), Millis(0));
    }
    let mut held = Vec::new();
    for n in 0..3 {
        held.extend(table.record_failure(&worker(n), JobId(2), Millis(1), true));
        // The same worker again is no further evidence.
        held.extend(table.record_failure(&worker(n), JobId(2), Millis(1), true));
    }
    let workers = (0..3).map(worker).collect();
    let verdict = HealthDecision::FailJob {
        job: JobId(2),
        workers,
    };
    assert_eq!(held, if expected { vec![verdict] } else { Vec::new() });
    assert_eq!(table.workers_with_failure(JobId(2)).len(), 3);
}

/// Guards against good jobs being held when many workers go bad that had run work before: their
/// old successes are void once several jobs failed there.
#[parameterized(
    none_failed = { 0, true },
    one_failed = { 1, true },
    several_failed = { 2, false },
)]
fn old_success_is_void_after_failures(others: u64, expected: bool) {
    let table = table(20);
    let mut held = false;
    for n in 0..3 {
        table.record_success(&worker(n), JobId(1), Millis(0));
        for other in 0..others {
            table.record_failure(&worker(n), JobId(100 + other), Millis(1), false);
        }
        held |= table
            .record_failure(&worker(n), JobId(2), Millis(2), true)
            .iter()
            .any(|verdict| matches!(verdict, HealthDecision::FailJob { job: JobId(2), .. }));
    }
    assert_eq!(held, expected);
}

/// Guards against a job's own success on a worker counting as the success of others.
#[test]
fn own_success_does_not_speak_against_a_job() {
    let table = table(20);
    for n in 0..3 {
        table.record_success(&worker(n), JobId(2), Millis(0));
    }
    for n in 0..3 {
        assert!(
            table
                .record_failure(&worker(n), JobId(2), Millis(1), true)
                .is_empty()
        );
    }
}

/// Guards against a fault that hits every worker taking all of them out of service.
#[parameterized(
    one_worker = { 1, 1 },
    small = { 9, 1 },
    fifty = { 50, 5 },
    hundred_and_five = { 105, 10 },
)]
fn at_most_a_tenth_is_quarantined(workers: usize, most: usize) {
    let table = table(workers);
    for round in 0..6 {
        for n in 0..workers {
            let job = JobId((round * workers + n) as u64);
            table.record_failure(&worker(n), job, Millis(round as u64), true);
        }
    }
    assert_eq!(table.quarantined_count(), most);
    let first = (0..workers).find(|n| table.is_quarantined(&worker(*n)));
    table.remove_worker(&worker(first.unwrap()));
    assert_eq!(table.quarantined_count(), most - 1);
}

/// Guards against probes that come too often, in parallel, or that restore a worker which still
/// fails.
#[test]
fn probes_back_off_until_one_succeeds() {
    let cfg = HealthConfig::default();
    let table = table(20);
    for job in 1..=3 {
        table.record_failure(&worker(0), JobId(job), Millis(0), true);
    }
    let mut now = Millis(0);
    let mut backoff = cfg.min_probe_delay;
    for job in 10..20 {
        assert!(
            table
                .take_due_probes(Millis(now.0 + backoff.0 - 1), 9)
                .is_empty()
        );
        now += backoff;
        assert_eq!(table.take_due_probes(now, 9), [worker(0)]);
        assert!(
            table
                .take_due_probes(now + cfg.max_probe_delay, 9)
                .is_empty(),
            "one probe at a time"
        );
        table.record_failure(&worker(0), JobId(job), now, true);
        backoff = Millis(backoff.0 * 2).min(cfg.max_probe_delay);
    }
    assert_eq!(backoff, cfg.max_probe_delay);
    // A task from before the quarantine ends well; the worker still fails what it starts.
    assert!(table.record_success(&worker(0), JobId(5), now).is_empty());
    now += backoff;
    assert_eq!(table.take_due_probes(now, 9), [worker(0)]);
    table.cancel_probe(&worker(0), now);
    now += backoff;
    assert_eq!(table.take_due_probes(now, 9), [worker(0)]);
    let restored = HealthDecision::Restore { worker: worker(0) };
    assert_eq!(table.record_success(&worker(0), JobId(30), now), [restored]);
    assert_eq!(table.quarantined_count(), 0);
}

/// Guards against the table growing with every job that ever failed.
#[test]
fn old_jobs_are_forgotten() {
    let table = table(3);
    table.record_failure(&worker(0), JobId(1), Millis(0), true);
    table.record_failure(&worker(0), JobId(2), Millis(5_000_000), true);
    table.forget_expired_jobs(Millis(5_000_001));
    assert!(table.workers_with_failure(JobId(1)).is_empty());
    assert_eq!(table.workers_with_failure(JobId(2)), [worker(0)]);
    table.forget_job(JobId(2));
    assert!(table.workers_with_failure(JobId(2)).is_empty());
}
