//! Durations of the runs of open steps, from which the speeds of workers and the expected duration of
//! further runs follow.

use std::collections::BTreeMap;

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::StepKey;

/// Number of steps of which durations are kept.
const MAX_STEPS: usize = 2_048;

/// Number of runs of a step whose durations are kept.
const MAX_RUNS: usize = 32;

/// Number of runs from which the duration of a further run is expected: a straggler among fewer
/// decides the result.
const MIN_RUNS: usize = 3;

/// Number of runs on other workers with which a run is compared at least.
const MIN_OTHER_RUNS: usize = 2;

/// Shortest duration that tells something about the speed of a worker. Of a shorter run, the orders and
/// reports take most.
pub(crate) const MIN_DURATION: Millis = Millis(200);

/// A successful run of a step.
#[derive(Clone, Debug)]
pub(crate) struct StepRun {
    pub(crate) worker: WorkerName,
    pub(crate) ran: Millis,
    /// Duration that the run would have had on the mean worker, as known when it ended.
    on_mean_worker: u64,
}

/// Durations of successful runs by step, for steps that are not done.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepDurations {
    by_step: BTreeMap<StepKey, Vec<StepRun>>,
}

impl StepDurations {
    /// Includes a run on a worker whose runs take `permille` thousandths of the time on the mean
    /// worker.
    pub(crate) fn record(
        &mut self,
        step: StepKey,
        worker: &WorkerName,
        ran: Millis,
        permille: u64,
    ) {
        if self.by_step.len() >= MAX_STEPS && !self.by_step.contains_key(&step) {
            return;
        }
        let runs = self.by_step.entry(step).or_default();
        if runs.len() < MAX_RUNS {
            runs.push(StepRun {
                worker: worker.clone(),
                ran,
                on_mean_worker: ran.0 * 1_000 / permille.max(1),
            });
        }
    }

    /// Expected duration of a run of a step on the mean worker; `None` until enough runs have ended.
    pub(crate) fn on_mean_worker(&self, step: &StepKey) -> Option<Millis> {
        let runs = self
            .by_step
            .get(step)
            .filter(|runs| runs.len() >= MIN_RUNS)?;
        let durations = runs.iter().map(|run| run.on_mean_worker).collect();
        median(durations).map(Millis)
    }

    /// Removes a step that is done or cancelled, and returns its runs.
    pub(crate) fn take(&mut self, step: &StepKey) -> Vec<StepRun> {
        self.by_step.remove(step).unwrap_or_default()
    }

    pub(crate) fn clear(&mut self) {
        self.by_step.clear();
    }
}

/// Duration of each run of a step relative to its runs on other workers, each corrected by the known
/// speed of its worker, in thousandths. Runs that cannot be compared are left out.
///
/// Runs on the same worker say nothing about its speed.
pub(crate) fn compare<F>(runs: &[StepRun], permille_of: F) -> Vec<(WorkerName, u64)>
where
    F: Fn(&WorkerName) -> u64,
{
    let corrected = runs
        .iter()
        .map(|run| (run, run.ran.0 * 1_000 / permille_of(&run.worker).max(1)));
    let corrected = corrected.collect::<Vec<_>>();
    let compared = runs.iter().filter_map(|run| {
        let others = corrected
            .iter()
            .filter(|(other, _)| other.worker != run.worker);
        let others = others.map(|(_, duration)| *duration).collect::<Vec<_>>();
        if others.len() < MIN_OTHER_RUNS {
            return None;
        }
        let usual = median(others).filter(|usual| *usual >= MIN_DURATION.0)?;
        Some((run.worker.clone(), run.ran.0 * 1_000 / usual))
    });
    compared.collect()
}

fn median(mut values: Vec<u64>) -> Option<u64> {
    values.sort_unstable();
    let middle = values.len() / 2;
    let upper = *values.get(middle)?;
    Some(if values.len() % 2 == 1 {
        upper
    } else {
        u64::midpoint(values[middle - 1], upper)
    })
}
