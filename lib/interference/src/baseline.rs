//! Speed of workers without a source, from the durations of runs of all images.

use crate::{run_report::StepId, sign_test::median};

/// Least number of runs of a step, and of runs on a worker, that a baseline is drawn from; a median of
/// fewer is no better than a single run.
const MIN_RUNS: usize = 3;

/// Number of rounds in which the medians of steps and of workers are fitted to each other. The second
/// one removes the speed of the workers from the medians of the steps.
const ROUNDS: usize = 2;

/// Duration of a run without the source.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Duration {
    pub(crate) step: StepId,
    pub(crate) worker: u32,
    pub(crate) log_cost: f64,
}

/// Speed of workers without the source, and how far it may be relied on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baselines {
    /// Logarithm of how much longer runs take on a worker than elsewhere, ordered by worker.
    slowness: Vec<Median<u32>>,
}

impl Baselines {
    /// Fits a median for each step and each worker to the durations of runs without the source.
    ///
    /// The tasks of a step differ in nothing but their worker and chance, so what is left of the
    /// durations after the median of each step is the speed of the workers.
    pub(crate) fn fit(durations: &[Duration]) -> Self {
        let mut fitted = Self::default();
        for _ in 0..ROUNDS {
            let costs = durations.iter().map(|duration| {
                let known = find(&fitted.slowness, duration.worker);
                let known = known.map_or(0.0, |at| fitted.slowness[at].value);
                (duration.step, duration.log_cost - known)
            });
            let centers = medians(costs.collect());
            let residuals = durations.iter().filter_map(|duration| {
                let center = &centers[find(&centers, duration.step)?];
                Some((duration.worker, duration.log_cost - center.value))
            });
            fitted.slowness = medians(residuals.collect());
        }
        fitted
    }

    /// Returns whether a comparison may use the baseline of a worker.
    pub(crate) fn has_unused_runs(&self, worker: u32) -> bool {
        let at = find(&self.slowness, worker);
        at.is_some_and(|at| self.slowness[at].runs >= MIN_RUNS)
    }

    /// Returns the baseline of a worker and takes the runs of one comparison from it, since its error
    /// is common to all comparisons of a pair that use it.
    pub(crate) fn consume(&mut self, worker: u32) -> f64 {
        let Some(at) = find(&self.slowness, worker) else {
            return 0.0;
        };
        let baseline = &mut self.slowness[at];
        baseline.runs = baseline.runs.saturating_sub(MIN_RUNS);
        baseline.value
    }
}

/// Median of the values of a key.
#[derive(Clone, Copy, Debug)]
struct Median<K> {
    key: K,
    value: f64,
    /// Number of runs behind it that no comparison has used.
    runs: usize,
}

/// Medians of the values of each key that has enough of them, ordered by key.
fn medians<K>(mut values: Vec<(K, f64)>) -> Vec<Median<K>>
where
    K: Copy + Ord,
{
    values.sort_unstable_by_key(|(key, _)| *key);
    let groups = values.chunk_by(|(key, _), (other, _)| key == other);
    let groups = groups.filter(|group| group.len() >= MIN_RUNS);
    groups
        .filter_map(|group| {
            let mut values = group.iter().map(|(_, value)| *value).collect::<Vec<_>>();
            Some(Median {
                key: group[0].0,
                value: median(&mut values)?,
                runs: values.len(),
            })
        })
        .collect()
}

fn find<K>(medians: &[Median<K>], key: K) -> Option<usize>
where
    K: Copy + Ord,
{
    medians.binary_search_by_key(&key, |median| median.key).ok()
}
