//! Time of the dispatcher's steps and jobs in time, by the number of workers and the load.

use serde_json::json;

use super::{
    dispatch_simulation::{DispatchLoad, DispatchSimulation},
    options::Options,
    report::{Report, row},
};

/// Simulated seconds of each case.
const DEFAULT_SECONDS: u64 = 20;

/// Numbers of workers with factors on the arrival rates, in general and in the burst.
const CASES: [(u64, f64, f64); 5] = [
    (48, 1.0, 1.0),
    (350, 1.0, 1.0),
    (1_100, 1.0, 1.0),
    (1_100, 1.0, 2.0),
    (3_000, 1.0, 1.0),
];

pub(crate) fn run(options: &Options) -> Report {
    let seconds = options.count.unwrap_or(DEFAULT_SECONDS);
    let mut report = Report::new(
        options,
        &json!({"mix": "short, gang and batch jobs with advice", "seconds": seconds}),
    );
    for (workers, rate, burst) in CASES {
        let load = DispatchLoad {
            workers,
            seconds,
            rate,
            burst,
            seed: options.seed,
        };
        let result = DispatchSimulation::new(load).run();
        let classes = &result.classes;
        let in_time = |class| {
            let counts = classes.get(class).copied().unwrap_or_default();
            counts.in_time * 100 / counts.jobs.max(1)
        };
        report.push(row! {
            "workers" => workers,
            "burst" => burst,
            "busy_percent" => (result.busy_percent * 10.0).round() / 10.0,
            "step_p50_us" => result.steps.quantile_micros(0.5),
            "step_p99_us" => result.steps.quantile_micros(0.99),
            "step_max_us" => result.steps.max_micros(),
            "starts" => result.starts,
            "stops" => result.stops,
            "advice" => result.advice_requests,
            "short_in_time" => in_time("short"),
            "gang_in_time" => in_time("gang"),
            "batch_in_time" => in_time("batch"),
            "in_time_by_tenth" => result.in_time_by_tenth,
            "events" => result.events,
        });
    }
    report
}
