//! Cost of queue operations against the number of waiting jobs.

use std::time::Instant;

use serde_json::json;
use tarragon_names::{Class, JobId, Millis, Resources, Workload};
use tarragon_queue::{JobQueue, QueueConfig, QueuedJob, Quota};

use super::{
    options::Options,
    report::{Report, row},
    seeded_rng::SeededRng,
    timing::Timing,
};

const TEAMS: u64 = 390;
/// Calls of each operation per queue length, apart from the initial pushes.
const DEFAULT_STEPS: u64 = 20_000;
const FREE_CAPACITY: Resources = Resources::new(64_000, 262_144, 8);

/// Times each operation on a queue of 390 teams.
pub(crate) fn run(options: &Options) -> Report {
    let count = options.count.unwrap_or(DEFAULT_STEPS).min(200_000);
    let mut report = Report::new(options, &json!({"teams": TEAMS, "times": "microseconds"}));
    for jobs in [1_000, 10_000, 100_000] {
        let queue = JobQueue::new(QueueConfig {
            max_jobs: 1_000_000,
            ..QueueConfig::default()
        });
        let mut rng = SeededRng::new(options.seed);
        for team in 0..TEAMS {
            let cores = Resources::new(1_000, 4_096, 0).times(50 + rng.below(400));
            queue.set_quota(&team_name(team), Quota::new(cores));
            queue.add_usage(
                &team_name(team),
                &Resources::new(1_000, 4_096, 0).times(rng.below(500)),
            );
        }
        let mut next_id = 0;
        let mut push = Timing::new();
        while next_id < jobs {
            push_one(&queue, &mut next_id, &mut rng, &mut push);
        }
        let mut timings = [
            ("push", push),
            ("remove", Timing::new()),
            ("started", Timing::new()),
            ("candidates_1", Timing::new()),
            ("candidates_64", Timing::new()),
            ("next", Timing::new()),
            ("position", Timing::new()),
            ("warnings", Timing::new()),
        ];
        let start = Instant::now();
        for _ in 0..count {
            if start.elapsed() > options.case_limit {
                break;
            }
            step(&queue, &mut next_id, &mut rng, &mut timings);
        }
        for (operation, timing) in &timings {
            report.push(row! {
                "waiting_jobs" => jobs,
                "operation" => operation,
                "calls" => timing.count(),
                "mean_us" => timing.mean_micros(),
                "p50_us" => timing.quantile_micros(0.5),
                "p99_us" => timing.quantile_micros(0.99),
                "max_us" => timing.max_micros(),
            });
        }
    }
    report
}

/// Replaces the first job in queue order and runs each other operation once.
fn step(
    queue: &JobQueue,
    next_id: &mut u64,
    rng: &mut SeededRng,
    timings: &mut [(&str, Timing); 8],
) {
    let now = Millis(*next_id);
    let capacity = Resources::new(2_800 * 64_000, 2_800 * 262_144, 3_200);
    push_one(queue, next_id, rng, &mut timings[0].1);
    let first = timed(&mut timings[3].1, || queue.candidates(now, 1));
    timed(&mut timings[4].1, || queue.candidates(now, 64));
    timed(&mut timings[5].1, || {
        queue.next_fitting(now, &FREE_CAPACITY)
    });
    timed(&mut timings[7].1, || {
        queue.deadline_warnings(now, &capacity, 16)
    });
    let Some(job) = first.first() else { return };
    timed(&mut timings[6].1, || queue.position(job.job));
    timed(&mut timings[1].1, || queue.remove(job.job));
    timed(&mut timings[2].1, || {
        queue.add_usage(&job.team, &job.total_resources());
    });
    queue.subtract_usage(&team_name(rng.below(TEAMS)), &job.total_resources());
}

fn timed<F, R>(timing: &mut Timing, f: F) -> R
where
    F: FnOnce() -> R,
{
    let start = Instant::now();
    let result = f();
    timing.record(start.elapsed());
    result
}

fn push_one(queue: &JobQueue, next_id: &mut u64, rng: &mut SeededRng, timing: &mut Timing) {
    let job = job(*next_id, rng);
    *next_id += 1;
    timed(timing, || queue.push(job)).expect("max_jobs exceeds the number of jobs of a case");
}

/// A batch job of a random team and class; 30 % of the jobs have a deadline.
pub(crate) fn job(id: u64, rng: &mut SeededRng) -> QueuedJob {
    QueuedJob {
        job: JobId(id),
        team: team_name(rng.below(TEAMS)),
        class: Class::ALL[rng.index(Class::ALL.len())],
        deadline: rng
            .chance(0.3)
            .then(|| Millis(id + 60_000 + rng.below(7_200_000))),
        workload: Workload::Batch,
        resources: Resources::new(500 + rng.below(4_000), 1_024 + rng.below(8_192), 0),
        tasks: 1 + rng.below(8) as u32,
        run_time: Millis(1_000 + rng.below(600_000)),
        accepted_at: Millis(id),
    }
}

fn team_name(team: u64) -> tarragon_names::TeamName {
    format!("team-{team:03}").into()
}
