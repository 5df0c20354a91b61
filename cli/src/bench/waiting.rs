//! Waiting time by class, from an event loop over the decision code with a virtual clock.

use hdrhistogram::Histogram;
use serde_json::json;
use tarragon_names::{Class, Millis};

use super::{
    job_mix::{Errors, JobMix},
    options::Options,
    report::{Report, row},
    waiting_run::{CHECKPOINT_DELAY, Policy, STOP_DELAY, WaitingRun},
};

/// Virtual time of one case; the first quarter is not measured.
const HOURS: u64 = 4;
const HOUR: u64 = 3_600_000;

/// Runs each mix at three loads with the product's policy and with the baseline.
pub(crate) fn run(options: &Options) -> Report {
    let length = Millis(options.count.unwrap_or(HOURS).clamp(1, 24) * HOUR);
    let mut report = Report::new(
        options,
        &json!({
            "virtual_hours": length.0 / HOUR,
            "baseline": "first come, first served with first fit and declared sizes",
            "checkpoint_ms": CHECKPOINT_DELAY.0,
            "stop_ms": STOP_DELAY.0,
            "wait": "seconds from acceptance to the first start of each task",
        }),
    );
    for mix in [JobMix::lukang(), JobMix::kovacik()] {
        for errors in [Errors::None, Errors::Guess, Errors::Habit] {
            for load in [70_u32, 90, 100] {
                for policy in [Policy::Product, Policy::Baseline] {
                    let part = f64::from(load) / 100.0;
                    let mut run = WaitingRun::new(&mix, policy, errors, part, options.seed);
                    run.run(length, options.limit);
                    report_run(&mut report, &mix, errors, load, policy, &run);
                }
            }
        }
    }
    report
}

fn report_run(
    report: &mut Report,
    mix: &JobMix,
    errors: Errors,
    load: u32,
    policy: Policy,
    run: &WaitingRun<'_>,
) {
    for class in Class::ALL {
        let outcome = &run.outcomes[class as usize];
        let seconds =
            |waits: &Histogram<u64>, quantile| waits.value_at_quantile(quantile) as f64 / 1e3;
        report.push(row! {
            "deployment" => mix.deployment.name,
            "declared" => errors.name(),
            "load_percent" => load,
            "policy" => policy.name(),
            "class" => class.to_string(),
            "tasks" => outcome.waits.len(),
            "wait_p50_s" => seconds(&outcome.waits, 0.5),
            "wait_p99_s" => seconds(&outcome.waits, 0.99),
            "deadlines" => outcome.deadlines,
            "met" => outcome.met as f64 / outcome.deadlines.max(1) as f64,
            "not_started" => outcome.not_started,
            "used" => run.used_share(),
            "preempted" => run.preempted,
            "stopped" => run.stopped,
            "complete" => run.complete,
        });
    }
}
