//! Order of waiting jobs, quotas and ageing.

use std::thread;

use proptest::prelude::*;
use tarragon_names::{Class, JobId, Millis, Resources, TeamName, Workload};
use tarragon_queue::{JobQueue, PushError, QueueConfig, QueuedJob, Quota};
use yare::parameterized;

const CORE: Resources = Resources::new(1_000, 1_024, 0);
const CAPACITY: Resources = Resources::new(1_000, 1_024, 0);

fn job(id: u64, team: &str, class: Class) -> QueuedJob {
    QueuedJob {
        job: JobId(id),
        team: team.into(),
        class,
        deadline: None,
        workload: Workload::Batch,
        resources: CORE,
        tasks: 1,
        run_time: Millis(1_000),
        accepted_at: Millis(id),
    }
}

fn queue() -> JobQueue {
    JobQueue::new(QueueConfig {
        default_quota: Quota::new(CORE.times(10)),
        ..QueueConfig::default()
    })
}

fn order(queue: &JobQueue, now: u64) -> Vec<u64> {
    let jobs = queue.candidates(Millis(now), 100);
    jobs.iter().map(|job| job.job.0).collect()
}

/// Guards against a wrong order of jobs. The tuples are (job, team, class, deadline), where a
/// deadline of 0 means none. Jobs are numbered by acceptance; team `used` uses half of its quota.
#[parameterized(
    higher_class_first = { &[(1, "a", Class::Overnight, 0), (2, "a", Class::Standard, 0), (3, "a", Class::Urgent, 0)], &[3, 2, 1] },
    low_slack_before_fair_share = { &[(1, "a", Class::Standard, 0), (2, "a", Class::Standard, 50_000)], &[2, 1] },
    distant_deadline_in_fair_share_order = { &[(1, "a", Class::Standard, 0), (2, "a", Class::Standard, 900_000)], &[1, 2] },
    less_slack_first = { &[(1, "a", Class::Standard, 40_000), (2, "b", Class::Standard, 30_000)], &[2, 1] },
    class_before_deadline = { &[(1, "a", Class::Standard, 10_000), (2, "a", Class::Urgent, 0)], &[2, 1] },
    share_before_age = { &[(1, "used", Class::Standard, 0), (2, "a", Class::Standard, 0)], &[2, 1] },
    acceptance_order_within_team = { &[(2, "a", Class::Standard, 0), (1, "a", Class::Standard, 0)], &[1, 2] },
    teams_with_equal_share_alternate = { &[(1, "a", Class::Standard, 0), (2, "a", Class::Standard, 0), (3, "b", Class::Standard, 0)], &[1, 3, 2] },
)]
fn order_is_class_then_deadline_then_share_then_acceptance(
    jobs: &[(u64, &str, Class, u64)],
    expected: &[u64],
) {
    let queue = queue();
    queue.add_usage(&"used".into(), &CORE.times(5));
    for (id, team, class, deadline) in jobs {
        let mut job = job(*id, team, *class);
        job.deadline = (*deadline > 0).then_some(Millis(*deadline));
        queue.push(job).unwrap();
    }
    assert_eq!(order(&queue, 10), expected);
}

/// Guards against idle quota that no team may use, and against a team that uses borrowed quota and
/// still goes ahead of one within its guarantee.
#[test]
fn borrowing_team_goes_after_teams_within_their_guarantee() {
    let queue = queue();
    queue.add_usage(&"borrower".into(), &CORE.times(12));
    assert!(queue.quotas().team(&"borrower".into()).borrows());
    queue.push(job(1, "borrower", Class::Standard)).unwrap();
    assert_eq!(order(&queue, 10), [1], "a team may borrow idle quota");
    queue.add_usage(&"lender".into(), &CORE.times(9));
    queue.push(job(2, "lender", Class::Standard)).unwrap();
    assert_eq!(
        order(&queue, 10),
        [2, 1],
        "a team within its guarantee goes first"
    );
    queue.subtract_usage(&"borrower".into(), &CORE.times(10));
    assert_eq!(order(&queue, 10), [1, 2], "the order follows the usage");
}

/// Guards against a team that exceeds its ceiling, and against its jobs blocking other teams.
#[parameterized(
    one_task_below_ceiling = { 1, Workload::Batch, 1, &[1, 3] },
    at_ceiling = { 2, Workload::Batch, 1, &[3] },
    batch_may_start_in_part = { 1, Workload::Batch, 5, &[1, 3] },
    all_or_nothing_needs_all_tasks = { 1, Workload::AllOrNothing, 5, &[3] },
)]
fn ceiling_limits_a_team_and_not_the_others(
    used: u64,
    kind: Workload,
    tasks: u32,
    expected: &[u64],
) {
    let queue = queue();
    let quota = Quota {
        guaranteed: CORE.times(100),
        ceiling: Some(CORE.times(2)),
    };
    queue.set_quota(&"capped".into(), quota);
    queue.add_usage(&"capped".into(), &CORE.times(used));
    for id in [1, 2] {
        let mut job = job(id, "capped", Class::Standard);
        (job.workload, job.tasks) = (kind, tasks);
        queue.push(job).unwrap();
    }
    // The other team uses a larger share of its quota, so its job follows those of `capped`.
    queue.add_usage(&"other".into(), &CORE);
    queue.push(job(3, "other", Class::Standard)).unwrap();
    assert_eq!(order(&queue, 10), expected);
    let capped: TeamName = "capped".into();
    assert!(queue.quotas().ceiling_allows(&capped, &CORE.times(2)));
    assert!(!queue.quotas().ceiling_allows(&capped, &CORE.times(3)));
}

/// Guards against overnight jobs that never start because more urgent jobs keep arriving.
#[parameterized(
    not_promoted = { 6 * 3_600_000, &[2, 1] },
    promoted_once = { 6 * 3_600_000 + 1, &[1, 2] },
    promoted_twice = { 10 * 3_600_000 + 1, &[1, 2] },
)]
fn waiting_job_is_promoted_by_one_class_per_delay(now: u64, expected: &[u64]) {
    let queue = queue();
    queue.push(job(1, "a", Class::Overnight)).unwrap();
    let mut newer = job(2, "b", Class::Standard);
    newer.accepted_at = Millis(now);
    queue.push(newer).unwrap();
    assert_eq!(order(&queue, now), expected);
    let class = queue.position(JobId(1)).unwrap().class;
    let promotions = usize::from(expected[0] == 1) + usize::from(now > 8 * 3_600_000);
    assert_eq!(class, Class::ALL[2 - promotions]);
}

/// Guards against a job that has to wait again for its promotion after it returns to the queue.
#[test]
fn returned_job_keeps_its_time_of_acceptance() {
    let queue = queue();
    queue.push(job(1, "a", Class::Overnight)).unwrap();
    let removed = queue.remove(JobId(1)).unwrap();
    queue.push((*removed).clone()).unwrap();
    assert_eq!(queue.push((*removed).clone()), Err(PushError::Duplicate));
    queue.candidates(Millis(7 * 3_600_000), 1);
    assert_eq!(queue.position(JobId(1)).unwrap().class, Class::Standard);
}

/// Guards against a queue that grows without limit.
#[parameterized(
    total_limit = { 2, 10, Err(PushError::QueueFull) },
    team_limit = { 10, 2, Err(PushError::TeamFull) },
    below_limits = { 10, 10, Ok(()) },
)]
fn number_of_waiting_jobs_is_limited(
    max_jobs: usize,
    max_team_jobs: usize,
    third: Result<(), PushError>,
) {
    let queue = JobQueue::new(QueueConfig {
        max_jobs,
        max_team_jobs,
        ..QueueConfig::default()
    });
    queue.push(job(1, "a", Class::Urgent)).unwrap();
    queue.push(job(2, "a", Class::Urgent)).unwrap();
    assert_eq!(queue.push(job(3, "a", Class::Urgent)), third);
    queue.remove(JobId(1)).unwrap();
    assert_eq!(queue.push(job(4, "a", Class::Urgent)), third.or(Ok(())));
}

/// Guards against a job that does not fit blocking the jobs behind it.
#[test]
fn next_fitting_skips_jobs_that_do_not_fit() {
    let queue = queue();
    let mut large = job(1, "a", Class::Urgent);
    large.resources = CORE.times(8);
    queue.push(large).unwrap();
    queue.push(job(2, "a", Class::Standard)).unwrap();
    let next = |free| queue.next_fitting(Millis(10), &free).map(|job| job.job.0);
    assert_eq!(next(CORE.times(8)), Some(1));
    assert_eq!(next(CORE.times(7)), Some(2));
    assert_eq!(next(Resources::ZERO), None);
}

/// Guards against a missed deadline without a warning, and against repeated warnings.
#[test]
fn each_late_job_is_reported_once() {
    let queue = queue();
    for id in 1..=5 {
        let mut job = job(id, "a", Class::Standard);
        // Five jobs of one second each on one core take 5 s.
        job.deadline = Some(Millis(if id == 5 { 3_000 } else { 60_000 }));
        queue.push(job).unwrap();
    }
    let warnings = queue.deadline_warnings(Millis(10), &CAPACITY, 10);
    assert_eq!(warnings.len(), 1);
    assert_eq!(warnings[0].job, JobId(5));
    assert_eq!(warnings[0].expected_start, Millis(5_010));
    assert!(
        queue
            .deadline_warnings(Millis(20), &CAPACITY, 10)
            .is_empty()
    );
    assert_eq!(
        queue.deadline_warnings(Millis(58_000), &CAPACITY, 2).len(),
        2,
        "bounded"
    );
    assert_eq!(
        queue.deadline_warnings(Millis(58_000), &CAPACITY, 10).len(),
        2
    );
}

/// Guards against lost jobs and a deadlock between threads that push and remove jobs and change the
/// usage of teams.
#[test]
fn concurrent_calls_lose_no_jobs() {
    let queue = queue();
    let removed = thread::scope(|scope| {
        let threads = [0, 1, 2, 3].map(|thread| {
            let queue = &queue;
            scope.spawn(move || {
                let mut removed = 0;
                for id in 0..500 {
                    let team = format!("t{}", id % 7);
                    queue
                        .push(job(id * 4 + thread, &team, Class::Standard))
                        .unwrap();
                    queue.add_usage(&team.as_str().into(), &CORE);
                    for first in queue.candidates(Millis(id), 2) {
                        removed += usize::from(queue.remove(first.job).is_some());
                    }
                    queue.subtract_usage(&team.as_str().into(), &CORE);
                    queue.position(JobId(id));
                }
                removed
            })
        });
        threads
            .map(|thread| thread.join().unwrap())
            .iter()
            .sum::<usize>()
    });
    assert_eq!(queue.len(), 2_000 - removed);
    assert_eq!(queue.candidates(Millis(500), 2_000).len(), queue.len());
    assert_eq!(queue.quotas().team(&"t0".into()).used, Resources::ZERO);
}

/// Guards against an index that loses a job or keeps a removed one. After random operations, the
/// candidates must be exactly the waiting jobs, ordered by class and deadline, and within a team by
/// acceptance.
#[test]
fn candidates_are_all_waiting_jobs_in_order() {
    let step = (0_u8..5, 0_u64..40, 0_u64..3, 0_usize..3, 0_u64..200_000);
    proptest!(|(steps in prop::collection::vec(step, 1..80))| {
        let queue = queue();
        let mut waiting = Vec::<QueuedJob>::new();
        for (op, id, team, class, deadline) in steps {
            match op {
                0 => {
                    queue.remove(JobId(id));
                    waiting.retain(|job| job.job != JobId(id));
                }
                1 => queue.add_usage(&format!("t{team}").into(), &CORE),
                _ => {
                    let mut job = job(id, &format!("t{team}"), Class::ALL[class]);
                    job.deadline = (deadline > 100_000).then_some(Millis(deadline));
                    let known = waiting.iter().any(|job| job.job == JobId(id));
                    prop_assert_eq!(queue.push(job.clone()).is_err(), known);
                    if !known {
                        waiting.push(job);
                    }
                }
            }
        }
        let now = Millis(80_000);
        let candidates = queue.candidates(now, 100);
        prop_assert_eq!(candidates.len(), waiting.len());
        prop_assert_eq!(queue.len(), waiting.len());
        for limit in [1, 5, 20] {
            let first = queue.candidates(now, limit);
            prop_assert_eq!(&*first, &candidates[..limit.min(candidates.len())]);
        }
        let cutoff_start = |job: &QueuedJob| job.latest_start().filter(|start| start.0 <= 140_000);
        for pair in candidates.windows(2) {
            let key = |job: &QueuedJob| {
                (job.class, cutoff_start(job).is_none(), cutoff_start(job))
            };
            prop_assert!(key(&pair[0]) <= key(&pair[1]));
            let in_fair_share_order = key(&pair[0]) == key(&pair[1]) && cutoff_start(&pair[0]).is_none();
            if in_fair_share_order && pair[0].team == pair[1].team {
                prop_assert!((pair[0].accepted_at, pair[0].job) < (pair[1].accepted_at, pair[1].job));
            }
        }
    });
}
