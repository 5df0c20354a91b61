//! Waiting time by class, from a discrete-event simulation of the scheduling decisions.

use hdrhistogram::Histogram;
use serde_json::json;
use tarragon_names::{Class, Millis};

use super::{
    job_mix::{DeclarationErrors, JobMix},
    options::Options,
    policy::Policy,
    report::{Report, row},
    waiting_simulation::{CHECKPOINT_DELAY, STOP_DELAY, WaitingSimulation},
};

/// Virtual time of one case; the first quarter is warm-up and not measured.
const DEFAULT_HOURS: u64 = 4;
const HOUR_MS: u64 = 3_600_000;

/// Runs each job mix and kind of declaration errors at three loads, with the product's policy and
/// with the baseline.
pub(crate) fn run(options: &Options) -> Report {
    let duration = Millis(options.count.unwrap_or(DEFAULT_HOURS).clamp(1, 24) * HOUR_MS);
    let mut report = Report::new(
        options,
        &json!({
            "virtual_hours": duration.0 / HOUR_MS,
            "baseline": "first come, first served with first fit and declared sizes",
            "checkpoint_ms": CHECKPOINT_DELAY.0,
            "stop_ms": STOP_DELAY.0,
            "wait": "seconds from acceptance to the first start of each task",
        }),
    );
    for mix in [JobMix::lukang(), JobMix::kovacik()] {
        for errors in [
            DeclarationErrors::None,
            DeclarationErrors::Guess,
            DeclarationErrors::Habit,
        ] {
            for load in [70_u32, 90, 100] {
                for policy in [Policy::Product, Policy::Baseline] {
                    let load_share = f64::from(load) / 100.0;
                    let mut simulation =
                        WaitingSimulation::new(&mix, policy, errors, load_share, options.seed);
                    simulation.run(duration, options.case_limit);
                    report_simulation(&mut report, &mix, errors, load, policy, &simulation);
                }
            }
        }
    }
    report
}

fn report_simulation(
    report: &mut Report,
    mix: &JobMix,
    errors: DeclarationErrors,
    load: u32,
    policy: Policy,
    simulation: &WaitingSimulation<'_>,
) {
    for class in Class::ALL {
        let outcome = &simulation.outcomes[class as usize];
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
            "used" => simulation.used_share(),
            "preempted" => simulation.preempted,
            "stopped" => simulation.stopped,
            "complete" => simulation.complete,
        });
    }
}
