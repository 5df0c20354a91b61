//! Comparisons of runs with and without a source, each independent of the others.

use std::collections::BTreeMap;

use tarragon_names::Millis;

use crate::{
    baseline::{Duration, WorkerBaseline, worker_baselines},
    image_table::Slot,
    observation::{Exposure, Observation},
    pair::Estimate,
    run_report::{RunKey, StepId},
    sign_test::{chance_of_at_least, median},
};

/// Effect, in percent, above which a comparison speaks for interference: the root of the least
/// effect that counts, so that runs without interference fall below it in most cases.
pub(crate) const COMPARED_PERCENT: f64 = 112.0;

/// Greatest number of comparisons within single runs that a worker contributes. All runs on a worker
/// notice the same other changes there.
const MAX_SPAN_PAIRS_PER_WORKER: usize = 3;

/// Greatest number of comparisons that an estimate rests on, the latest ones: enough to find the least
/// slowdown that counts, and few enough to follow a change within seconds where many runs end.
pub(crate) const MAX_COMPARISONS: usize = 40;

/// Differences between the logarithms of costs with and without a source, by affected image, each with
/// the time of the observation with the source.
type Differences = BTreeMap<Slot, Vec<(Millis, f64)>>;

/// Observations of an image of one kind.
pub(crate) type Observations<'a> = Vec<(Slot, &'a Observation)>;

/// Estimates the effect of a source on all images.
///
/// `known_effect` returns what other sources add to the logarithm of the cost of an observation, so
/// that their effect is not attributed to this one.
pub(crate) fn estimate_source<F>(
    source: Slot,
    durations: &Observations<'_>,
    spans: &Observations<'_>,
    known_effect: F,
) -> BTreeMap<Slot, Estimate>
where
    F: Fn(Slot, &Observation) -> f64,
{
    let cost = |slot: Slot, o: &Observation| o.log_cost - known_effect(slot, o);
    let mut differences = Differences::new();
    compare_durations(source, durations, cost, &mut differences);
    compare_spans(source, spans, cost, &mut differences);
    differences
        .into_iter()
        .filter_map(|(affected, mut latest)| {
            latest.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
            latest.truncate(MAX_COMPARISONS);
            let compared_at = latest.iter().map(|(at, _)| *at).collect();
            let mut values = latest
                .into_iter()
                .map(|(_, value)| value)
                .collect::<Vec<_>>();
            let least = (COMPARED_PERCENT / 100.0).ln();
            let above = values.iter().filter(|value| **value > least).count();
            let estimate = Estimate {
                log_effect: median(&mut values)?,
                chance: chance_of_at_least(above, values.len()),
                compared_at,
            };
            Some((affected, estimate))
        })
        .collect()
}

/// Runs of a step with and without the source.
#[derive(Default)]
struct StepRuns {
    with: Vec<(Millis, u32, f64)>,
    without: Vec<(u32, f64)>,
}

/// Compares each run beside the source with another run of its step, which is used once, on the same
/// worker if possible and otherwise after correction for the speed of both workers.
///
/// A common reference for all runs of a step would pass its own error on to all comparisons, which
/// then agree by chance.
fn compare_durations<F>(
    source: Slot,
    durations: &Observations<'_>,
    cost: F,
    differences: &mut Differences,
) where
    F: Fn(Slot, &Observation) -> f64,
{
    let mut without = Vec::new();
    let mut steps = BTreeMap::<(Slot, StepId), StepRuns>::new();
    for (slot, observation) in durations {
        let exposure = observation.neighbors.exposure(source);
        if exposure == Exposure::Unclear {
            continue;
        }
        let log_cost = cost(*slot, observation);
        let (step, worker) = (observation.run.step, observation.worker);
        let runs = steps.entry((*slot, step)).or_default();
        if exposure == Exposure::With {
            runs.with.push((observation.at, worker, log_cost));
        } else {
            runs.without.push((worker, log_cost));
            without.push(Duration {
                step,
                worker,
                log_cost,
            });
        }
    }
    let all_baselines = worker_baselines(&without);
    let mut baselines = BTreeMap::new();
    let mut last_affected = None;
    for ((affected, _), mut runs) in steps {
        if last_affected.replace(affected) != Some(affected) {
            baselines.clone_from(&all_baselines);
        }
        if runs.with.is_empty() || runs.without.is_empty() {
            continue;
        }
        let values = differences.entry(affected).or_default();
        runs.with.retain(|(ended_at, worker, log_cost)| {
            let same = runs.without.iter().position(|(other, _)| other == worker);
            let Some(at) = same else {
                return true;
            };
            values.push((*ended_at, log_cost - runs.without.swap_remove(at).1));
            false
        });
        for (ended_at, worker, log_cost) in runs.with {
            if !has_budget(&baselines, worker) {
                continue;
            }
            let other = runs
                .without
                .iter()
                .position(|(other, _)| has_budget(&baselines, *other));
            let Some(at) = other else {
                break;
            };
            let (other, other_log_cost) = runs.without.swap_remove(at);
            let corrected = log_cost - use_baseline(&mut baselines, worker);
            let other_corrected = other_log_cost - use_baseline(&mut baselines, other);
            values.push((ended_at, corrected - other_corrected));
        }
    }
}

fn has_budget(baselines: &BTreeMap<u32, WorkerBaseline>, worker: u32) -> bool {
    let baseline = baselines.get(&worker);
    baseline.is_some_and(|baseline| baseline.budget > 0)
}

/// Returns the baseline of a worker and takes one comparison from its budget, since the error of the
/// baseline is common to all comparisons of a pair that use it.
fn use_baseline(baselines: &mut BTreeMap<u32, WorkerBaseline>, worker: u32) -> f64 {
    baselines.get_mut(&worker).map_or(0.0, |baseline| {
        baseline.budget -= 1;
        baseline.log_slowness
    })
}

/// Spans of a run with and without the source.
#[derive(Default)]
struct RunSpans {
    last_with: Millis,
    worker: u32,
    is_gang: bool,
    with: Vec<f64>,
    without: Vec<f64>,
}

/// Compares the spans of each run with the source with those without it. Worker, step and size of the
/// input are the same in both.
fn compare_spans<F>(source: Slot, spans: &Observations<'_>, cost: F, differences: &mut Differences)
where
    F: Fn(Slot, &Observation) -> f64,
{
    let mut runs = BTreeMap::<(Slot, RunKey), RunSpans>::new();
    for (slot, observation) in spans {
        let run = runs.entry((*slot, observation.run)).or_default();
        run.worker = observation.worker;
        run.is_gang = observation.is_gang;
        match observation.neighbors.exposure(source) {
            Exposure::With => {
                run.last_with = run.last_with.max(observation.at);
                run.with.push(cost(*slot, observation));
            }
            Exposure::Without => run.without.push(cost(*slot, observation)),
            Exposure::Unclear => {}
        }
    }
    let mut used_on = BTreeMap::<(Slot, u32), usize>::new();
    let mut last_gang = None;
    for ((affected, key), mut run) in runs {
        let (Some(with), Some(without)) = (median(&mut run.with), median(&mut run.without)) else {
            continue;
        };
        let used = used_on.entry((affected, run.worker)).or_default();
        // The members of a gang wait for each other, so one of them tells as much as all.
        let is_repeated = run.is_gang && last_gang == Some(key.step);
        if *used >= MAX_SPAN_PAIRS_PER_WORKER || is_repeated {
            continue;
        }
        *used += 1;
        last_gang = run.is_gang.then_some(key.step);
        let values = differences.entry(affected).or_default();
        values.push((run.last_with, with - without));
    }
}
