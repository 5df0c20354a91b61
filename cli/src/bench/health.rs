//! Detection of bad workers and bad jobs: detection time, lost tasks and false positives.

use serde_json::json;

use super::{
    health_simulation::{
        BROKEN_FROM, BUSY_SHARE, END_AT, HealthSimulation, MEAN_RUN_MS, QUICK_FAILURE_PROBABILITY,
        REPAIRED_AT, Rule, SLOTS, WORKERS,
    },
    options::Options,
    report::{Report, row},
};

/// Breaks some workers, adds some bad jobs, and compares the quarantine rules on the same seed.
pub(crate) fn run(options: &Options) -> Report {
    let mut report = Report::new(
        options,
        &json!({
            "workers": WORKERS, "slots": SLOTS, "busy": BUSY_SHARE, "mean_run_ms": MEAN_RUN_MS,
            "virtual_ms": END_AT.0, "broken_from_ms": BROKEN_FROM.0, "repaired_ms": REPAIRED_AT.0,
            "quick_failures_of_good_tasks": QUICK_FAILURE_PROBABILITY,
        }),
    );
    for (bad_workers, bad_jobs) in [
        (0, 0.0),
        (0, 0.05),
        (1, 0.0),
        (8, 0.01),
        (8, 0.05),
        (40, 0.01),
        (100, 0.01),
    ] {
        for (name, rule) in [
            ("table", Rule::Table),
            ("in_a_row", Rule::InARow),
            ("none", Rule::None),
        ] {
            let mut simulation = HealthSimulation::new(rule, bad_workers, bad_jobs, options.seed);
            simulation.run();
            let mut detection_times = simulation
                .detected_at
                .values()
                .map(|at| at.since(BROKEN_FROM).0)
                .collect::<Vec<_>>();
            detection_times.sort_unstable();
            let quantile = |q: f64| {
                let index = (detection_times.len() as f64 * q) as usize;
                detection_times
                    .get(index.min(detection_times.len().saturating_sub(1)))
                    .copied()
                    .unwrap_or(0)
            };
            report.push(row! {
                "bad_workers" => bad_workers,
                "bad_jobs" => bad_jobs,
                "rule" => name,
                "detected" => detection_times.len(),
                "detect_p50_ms" => quantile(0.5),
                "detect_max_ms" => quantile(1.0),
                "lost_tasks" => simulation.lost_tasks,
                "false_quarantine" => simulation.false_quarantines,
                "bad_jobs_held" => simulation.bad_jobs_failed,
                "bad_job_tries" => simulation.bad_job_attempts as f64 / simulation.bad_jobs_seen.max(1) as f64,
                "good_jobs_held" => simulation.good_jobs_failed,
                "good_given_up" => simulation.good_jobs_given_up,
                "most_quarantined" => simulation.max_quarantined,
                "back_in_service" => simulation.restored_after_repair,
                "tasks_ended_well" => simulation.succeeded_tasks,
            });
        }
    }
    report
}
