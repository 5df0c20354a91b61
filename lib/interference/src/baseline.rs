//! Speed of workers without a source, from the durations of runs of all images.

use std::collections::BTreeMap;

use crate::{run_report::StepId, sign_test::median};

/// Least number of runs of a step, and of runs on a worker, that a baseline is drawn from.
const MIN_RUNS: usize = 3;

/// Number of rounds in which the medians of steps and of workers are fitted to each other.
const ROUNDS: usize = 2;

/// Duration of a run without the source.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Duration {
    pub(crate) step: StepId,
    pub(crate) worker: u32,
    pub(crate) log_cost: f64,
}

/// Baseline of a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerBaseline {
    /// Logarithm of how much longer runs take there than elsewhere.
    pub(crate) log_slowness: f64,
    /// Number of comparisons that the baseline supports without its own error dominating them.
    pub(crate) budget: usize,
}

/// Fits a median for each step and each worker to the durations of runs without the source.
///
/// The tasks of a step differ in nothing but their worker and chance, so what is left of the
/// durations after the median of each step is the speed of the workers.
pub(crate) fn worker_baselines(durations: &[Duration]) -> BTreeMap<u32, WorkerBaseline> {
    let mut slowness = BTreeMap::<u32, f64>::new();
    let mut baselines = BTreeMap::new();
    for _ in 0..ROUNDS {
        let mut by_step = BTreeMap::<StepId, Vec<f64>>::new();
        for duration in durations {
            let known = slowness.get(&duration.worker).copied().unwrap_or(0.0);
            let steps = by_step.entry(duration.step).or_default();
            steps.push(duration.log_cost - known);
        }
        by_step.retain(|_, costs| costs.len() >= MIN_RUNS);
        let centers = by_step
            .into_iter()
            .filter_map(|(step, mut costs)| Some((step, median(&mut costs)?)))
            .collect::<BTreeMap<_, _>>();
        let mut by_worker = BTreeMap::<u32, Vec<f64>>::new();
        for duration in durations {
            if let Some(center) = centers.get(&duration.step) {
                let residuals = by_worker.entry(duration.worker).or_default();
                residuals.push(duration.log_cost - center);
            }
        }
        by_worker.retain(|_, residuals| residuals.len() >= MIN_RUNS);
        baselines = by_worker
            .into_iter()
            .filter_map(|(worker, mut residuals)| {
                let baseline = WorkerBaseline {
                    log_slowness: median(&mut residuals)?,
                    budget: residuals.len() / MIN_RUNS,
                };
                Some((worker, baseline))
            })
            .collect();
        slowness = baselines
            .iter()
            .map(|(worker, baseline)| (*worker, baseline.log_slowness))
            .collect();
    }
    baselines
}
