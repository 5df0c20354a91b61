//! Detection of bad workers and bad jobs: time, work lost and false positives.

use serde_json::json;

use super::{
    health_run::{BREAKS, BUSY, END, HealthRun, NOISE, REPAIRED, RUN, Rule, SLOTS, WORKERS},
    options::Options,
    report::{Report, row},
};

/// Breaks some workers, adds some bad jobs, and compares the rules on the same draws.
pub(crate) fn run(options: &Options) -> Report {
    let mut report = Report::new(
        options,
        &json!({
            "workers": WORKERS, "slots": SLOTS, "busy": BUSY, "mean_run_ms": RUN,
            "virtual_ms": END.0, "broken_from_ms": BREAKS.0, "repaired_ms": REPAIRED.0,
            "quick_failures_of_good_tasks": NOISE,
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
            let mut run = HealthRun::new(rule, bad_workers, bad_jobs, options.seed);
            run.run();
            let mut detected = run
                .detected
                .values()
                .map(|at| at.since(BREAKS).0)
                .collect::<Vec<_>>();
            detected.sort_unstable();
            let quantile = |part: f64| {
                let index = (detected.len() as f64 * part) as usize;
                detected
                    .get(index.min(detected.len().saturating_sub(1)))
                    .copied()
                    .unwrap_or(0)
            };
            report.push(row! {
                "bad_workers" => bad_workers,
                "bad_jobs" => bad_jobs,
                "rule" => name,
                "detected" => detected.len(),
                "detect_p50_ms" => quantile(0.5),
                "detect_max_ms" => quantile(1.0),
                "lost_tasks" => run.lost,
                "false_quarantine" => run.false_quarantines,
                "bad_jobs_held" => run.bad_held,
                "bad_job_tries" => run.bad_tries as f64 / run.bad_seen.max(1) as f64,
                "good_jobs_held" => run.good_held,
                "good_given_up" => run.good_given_up,
                "most_quarantined" => run.most_quarantined,
                "back_in_service" => run.restored_after_repair,
                "tasks_ended_well" => run.ended_well,
            });
        }
    }
    report
}
