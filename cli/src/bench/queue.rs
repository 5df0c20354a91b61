//! Cost of queue operations against the number of waiting jobs.

use std::time::Instant;

use serde_json::json;
use tarragon_names::{Class, JobId, Millis, Resources, Workload};
use tarragon_queue::{JobQueue, QueueConfig, QueuedJob, Quota};

use super::{
    draw::Draw,
    options::Options,
    report::{Report, row},
    timing::Timing,
};

const TEAMS: u64 = 390;
const OPERATIONS: u64 = 20_000;
const FREE: Resources = Resources::new(64_000, 262_144, 8);

/// Times each operation on a queue of 390 teams.
pub(crate) fn run(options: &Options) -> Report {
    let count = options.count.unwrap_or(OPERATIONS).min(200_000);
    let mut report = Report::new(options, &json!({"teams": TEAMS, "times": "microseconds"}));
    for jobs in [1_000, 10_000, 100_000] {
        let queue = JobQueue::new(QueueConfig {
            max_jobs: 1_000_000,
            ..QueueConfig::default()
        });
        let mut draw = Draw::new(options.seed);
        for team in 0..TEAMS {
            let cores = Resources::new(1_000, 4_096, 0).times(50 + draw.below(400));
            queue.set_quota(&team_name(team), Quota::new(cores));
            queue.add_usage(
                &team_name(team),
                &Resources::new(1_000, 4_096, 0).times(draw.below(500)),
            );
        }
        let mut next = 0;
        let mut push = Timing::new();
        while next < jobs {
            push_one(&queue, &mut next, &mut draw, &mut push);
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
        let begun = Instant::now();
        for _ in 0..count {
            if begun.elapsed() > options.limit {
                break;
            }
            step(&queue, &mut next, &mut draw, &mut timings);
        }
        for (operation, timing) in &timings {
            report.push(row! {
                "waiting_jobs" => jobs,
                "operation" => operation,
                "calls" => timing.count(),
                "mean_us" => timing.mean_micros(),
                "p50_us" => timing.micros(0.5),
                "p99_us" => timing.micros(0.99),
                "max_us" => timing.max_micros(),
            });
        }
    }
    report
}

/// Replaces the first job in order and runs each other operation once.
fn step(queue: &JobQueue, next: &mut u64, draw: &mut Draw, timings: &mut [(&str, Timing); 8]) {
    let now = Millis(*next);
    let capacity = Resources::new(2_800 * 64_000, 2_800 * 262_144, 3_200);
    push_one(queue, next, draw, &mut timings[0].1);
    let first = timed(&mut timings[3].1, || queue.candidates(now, 1));
    timed(&mut timings[4].1, || queue.candidates(now, 64));
    timed(&mut timings[5].1, || queue.next_fitting(now, &FREE));
    timed(&mut timings[7].1, || {
        queue.deadline_warnings(now, &capacity, 16)
    });
    let Some(job) = first.first() else { return };
    timed(&mut timings[6].1, || queue.position(job.job));
    timed(&mut timings[1].1, || queue.remove(job.job));
    timed(&mut timings[2].1, || {
        queue.add_usage(&job.team, &job.total_resources());
    });
    queue.subtract_usage(&team_name(draw.below(TEAMS)), &job.total_resources());
}

fn timed<F, R>(timing: &mut Timing, f: F) -> R
where
    F: FnOnce() -> R,
{
    let start = Instant::now();
    let result = f();
    timing.add(start.elapsed());
    result
}

fn push_one(queue: &JobQueue, next: &mut u64, draw: &mut Draw, timing: &mut Timing) {
    let job = job(*next, draw);
    *next += 1;
    timed(timing, || queue.push(job)).expect("the queue has room for every job of the run");
}

/// A job of a random team; a third have a deadline.
pub(crate) fn job(id: u64, draw: &mut Draw) -> QueuedJob {
    QueuedJob {
        job: JobId(id),
        team: team_name(draw.below(TEAMS)),
        class: Class::ALL[draw.index(Class::ALL.len())],
        deadline: draw
            .chance(0.3)
            .then(|| Millis(id + 60_000 + draw.below(7_200_000))),
        workload: Workload::Batch,
        resources: Resources::new(500 + draw.below(4_000), 1_024 + draw.below(8_192), 0),
        tasks: 1 + draw.below(8) as u32,
        run_time: Millis(1_000 + draw.below(600_000)),
        accepted_at: Millis(id),
    }
}

fn team_name(team: u64) -> tarragon_names::TeamName {
    format!("team-{team:03}").into()
}
