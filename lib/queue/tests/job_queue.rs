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

/// Guards against a wrong order of class, slack, share and age. Jobs are numbered by acceptance;
/// team `used` runs on half of its quota.
#[parameterized(
    class_first = { &[(1, "a", Class::Overnight, 0), (2, "a", Class::Standard, 0), (3, "a", Class::Urgent, 0)], &[3, 2, 1] },
    tight_before_fair = { &[(1, "a", Class::Standard, 0), (2, "a", Class::Standard, 50_000)], &[2, 1] },
    loose_deadline_waits = { &[(1, "a", Class::Standard, 0), (2, "a", Class::Standard, 900_000)], &[1, 2] },
    tighter_first = { &[(1, "a", Class::Standard, 40_000), (2, "b", Class::Standard, 30_000)], &[2, 1] },
    class_before_slack = { &[(1, "a", Class::Standard, 10_000), (2, "a", Class::Urgent, 0)], &[2, 1] },
    share_before_age = { &[(1, "used", Class::Standard, 0), (2, "a", Class::Standard, 0)], &[2, 1] },
    age_within_team = { &[(2, "a", Class::Standard, 0), (1, "a", Class::Standard, 0)], &[1, 2] },
    teams_alternate = { &[(1, "a", Class::Standard, 0), (2, "a", Class::Standard, 0), (3, "b", Class::Standard, 0)], &[1, 3, 2] },
)]
fn order_is_class_slack_share_age(jobs: &[(u64, &str, Class, u64)], expected: &[u64]) {
    let queue = queue();
    queue.add_usage(&"used".into(), &CORE.times(5));
    for (id, team, class, deadline) in jobs {
        let mut job = job(*id, team, *class);
        job.deadline = (*deadline > 0).then_some(Millis(*deadline));
        queue.push(job).unwrap();
    }
    assert_eq!(order(&queue, 10), expected);
}

/// Guards against a team that runs on borrowed quota going ahead of one that does not use its own,
/// and against idle quota going unused.
#[test]
fn idle_quota_is_lent_and_returned_first() {
    let queue = queue();
    queue.add_usage(&"borrower".into(), &CORE.times(12));
    assert!(queue.quotas().team(&"borrower".into()).borrows());
    queue.push(job(1, "borrower", Class::Standard)).unwrap();
    assert_eq!(order(&queue, 10), [1], "idle quota is lent");
    queue.add_usage(&"lender".into(), &CORE.times(9));
    queue.push(job(2, "lender", Class::Standard)).unwrap();
    assert_eq!(order(&queue, 10), [2, 1], "the lender goes first");
    queue.subtract_usage(&"borrower".into(), &CORE.times(10));
    assert_eq!(order(&queue, 10), [1, 2], "the order follows the use");
}

/// Guards against a team passing its ceiling and against its jobs blocking other teams.
#[parameterized(
    room_for_one = { 1, Workload::Batch, 1, &[1, 3] },
    full = { 2, Workload::Batch, 1, &[3] },
    batch_starts_in_part = { 1, Workload::Batch, 5, &[1, 3] },
    whole_job_does_not = { 1, Workload::AllOrNothing, 5, &[3] },
)]
fn ceiling_holds_a_team_back(used: u64, kind: Workload, tasks: u32, expected: &[u64]) {
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
    // The other team uses more of its quota, so it comes after the capped one.
    queue.add_usage(&"other".into(), &CORE);
    queue.push(job(3, "other", Class::Standard)).unwrap();
    assert_eq!(order(&queue, 10), expected);
    let capped: TeamName = "capped".into();
    assert!(queue.quotas().ceiling_allows(&capped, &CORE.times(2)));
    assert!(!queue.quotas().ceiling_allows(&capped, &CORE.times(3)));
}

/// Guards against overnight work that never runs because more urgent work keeps arriving.
#[parameterized(
    fresh = { 6 * 3_600_000, &[2, 1] },
    one_step = { 6 * 3_600_000 + 1, &[1, 2] },
    two_steps = { 10 * 3_600_000 + 1, &[1, 2] },
)]
fn age_raises_a_job_by_one_class_a_step(now: u64, expected: &[u64]) {
    let queue = queue();
    queue.push(job(1, "a", Class::Overnight)).unwrap();
    let mut young = job(2, "b", Class::Standard);
    young.accepted_at = Millis(now);
    queue.push(young).unwrap();
    assert_eq!(order(&queue, now), expected);
    let class = queue.position(JobId(1)).unwrap().class;
    let steps = usize::from(expected[0] == 1) + usize::from(now > 8 * 3_600_000);
    assert_eq!(class, Class::ALL[2 - steps]);
}

/// Guards against a job that comes back to the queue losing the age that it had.
#[test]
fn returned_job_keeps_its_age() {
    let queue = queue();
    queue.push(job(1, "a", Class::Overnight)).unwrap();
    let taken = queue.remove(JobId(1)).unwrap();
    queue.push((*taken).clone()).unwrap();
    assert_eq!(queue.push((*taken).clone()), Err(PushError::Duplicate));
    queue.candidates(Millis(7 * 3_600_000), 1);
    assert_eq!(queue.position(JobId(1)).unwrap().class, Class::Standard);
}

/// Guards against a queue that grows without bound.
#[parameterized(
    total = { 2, 10, Err(PushError::QueueFull) },
    team = { 10, 2, Err(PushError::TeamFull) },
    neither = { 10, 10, Ok(()) },
)]
fn length_is_bounded(max_jobs: usize, max_team_jobs: usize, third: Result<(), PushError>) {
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

/// Guards against a job whose task fits nowhere blocking the ones behind it.
#[test]
fn next_passes_over_what_does_not_fit() {
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

/// Guards against a deadline that is missed without notice, and against notice given twice.
#[test]
fn late_jobs_are_warned_of_once() {
    let queue = queue();
    for id in 1..=5 {
        let mut job = job(id, "a", Class::Standard);
        // Five jobs of one second on one core: the backlog is worked off after 5 s.
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

/// Guards against lost jobs and against a deadlock between threads that push, take and count use.
#[test]
fn threads_share_the_queue() {
    let queue = queue();
    let taken = thread::scope(|scope| {
        let threads = [0, 1, 2, 3].map(|thread| {
            let queue = &queue;
            scope.spawn(move || {
                let mut taken = 0;
                for id in 0..500 {
                    let team = format!("t{}", id % 7);
                    queue
                        .push(job(id * 4 + thread, &team, Class::Standard))
                        .unwrap();
                    queue.add_usage(&team.as_str().into(), &CORE);
                    for first in queue.candidates(Millis(id), 2) {
                        taken += usize::from(queue.remove(first.job).is_some());
                    }
                    queue.subtract_usage(&team.as_str().into(), &CORE);
                    queue.position(JobId(id));
                }
                taken
            })
        });
        threads
            .map(|thread| thread.join().unwrap())
            .iter()
            .sum::<usize>()
    });
    assert_eq!(queue.len(), 2_000 - taken);
    assert_eq!(queue.candidates(Millis(500), 2_000).len(), queue.len());
    assert_eq!(queue.quotas().team(&"t0".into()).used, Resources::ZERO);
}

/// Guards against an index that loses or keeps a job: the candidates are the waiting jobs, sorted
/// like a plain sort by the same rule.
#[test]
fn candidates_match_a_plain_sort() {
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
        let got = queue.candidates(now, 100);
        prop_assert_eq!(got.len(), waiting.len());
        prop_assert_eq!(queue.len(), waiting.len());
        for limit in [1, 5, 20] {
            let first = queue.candidates(now, limit);
            prop_assert_eq!(&*first, &got[..limit.min(got.len())]);
        }
        let tight = |job: &QueuedJob| job.latest_start().filter(|start| start.0 <= 140_000);
        for pair in got.windows(2) {
            let key = |job: &QueuedJob| {
                (job.class, tight(job).is_none(), tight(job))
            };
            prop_assert!(key(&pair[0]) <= key(&pair[1]));
            let fair = key(&pair[0]) == key(&pair[1]) && tight(&pair[0]).is_none();
            if fair && pair[0].team == pair[1].team {
                prop_assert!((pair[0].accepted_at, pair[0].job) < (pair[1].accepted_at, pair[1].job));
            }
        }
    });
}
