//! Comparisons of runs with and without a source, each run in at most one comparison of each kind.

use std::collections::BTreeMap;

use tarragon_names::Millis;

use crate::{
    baseline::{Baselines, Duration},
    image_table::Slot,
    observation::{Exposure, Observation},
    pair::Estimate,
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
/// `effect_of_others` returns what other sources add to the logarithm of the cost of an observation, so
/// that their effect is not attributed to this one.
pub(crate) fn estimate_source<F>(
    source: Slot,
    durations: &Observations<'_>,
    spans: &Observations<'_>,
    effect_of_others: F,
) -> BTreeMap<Slot, Estimate>
where
    F: Fn(Slot, &Observation) -> f64,
{
    let cost = |slot: Slot, o: &Observation| o.log_cost - effect_of_others(slot, o);
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
                p_value: chance_of_at_least(above, values.len()),
                compared_at,
            };
            Some((affected, estimate))
        })
        .collect()
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
    let is_clear = |o: &Observation| o.neighbors.exposure(source) != Exposure::Unclear;
    let clear = durations.iter().filter(|(_, o)| is_clear(o));
    let clear = clear.map(|(slot, o)| {
        let duration = Duration {
            step: o.run.step,
            worker: o.worker,
            log_cost: cost(*slot, o),
        };
        let is_with = o.neighbors.exposure(source) == Exposure::With;
        (*slot, duration, is_with.then_some(o.at))
    });
    let mut runs = clear.collect::<Vec<_>>();
    runs.sort_by_key(|(slot, duration, _)| (*slot, duration.step));
    let without = runs.iter().filter(|(.., with_at)| with_at.is_none());
    let without = without.map(|(_, duration, _)| *duration);
    let all_baselines = Baselines::fit(&without.collect::<Vec<_>>());
    let mut baselines = Baselines::default();
    let mut last_affected = None;
    for step in runs.chunk_by(|(a, x, _), (b, y, _)| (a, x.step) == (b, y.step)) {
        let affected = step[0].0;
        if last_affected.replace(affected) != Some(affected) {
            baselines.clone_from(&all_baselines);
        }
        let with = step.iter().filter_map(|(_, run, at)| Some((*run, (*at)?)));
        let mut with = with.collect::<Vec<_>>();
        let without = step.iter().filter(|(.., at)| at.is_none());
        let mut without = without.map(|(_, run, _)| *run).collect::<Vec<_>>();
        if with.is_empty() || without.is_empty() {
            continue;
        }
        let values = differences.entry(affected).or_default();
        with.retain(|(run, ended_at)| {
            let same = without.iter().position(|other| other.worker == run.worker);
            let Some(at) = same else {
                return true;
            };
            values.push((*ended_at, run.log_cost - without.swap_remove(at).log_cost));
            false
        });
        for (run, ended_at) in with {
            if !baselines.has_unused_runs(run.worker) {
                continue;
            }
            let mut others = without.iter();
            let Some(at) = others.position(|other| baselines.has_unused_runs(other.worker)) else {
                break;
            };
            let other = without.swap_remove(at);
            let corrected = run.log_cost - baselines.consume(run.worker);
            let other_corrected = other.log_cost - baselines.consume(other.worker);
            values.push((ended_at, corrected - other_corrected));
        }
    }
}

/// Compares the spans of each run with the source with those without it. Worker, step and size of the
/// input are the same in both.
fn compare_spans<F>(source: Slot, spans: &Observations<'_>, cost: F, differences: &mut Differences)
where
    F: Fn(Slot, &Observation) -> f64,
{
    let mut spans = spans.clone();
    // Latest runs first, since a worker contributes only some.
    spans.sort_unstable_by_key(|(slot, span)| std::cmp::Reverse((*slot, span.run)));
    let mut used_on = BTreeMap::<(Slot, u32), usize>::new();
    let mut last_gang = None;
    for run in spans.chunk_by(|(slot, a), (other, b)| (slot, a.run) == (other, b.run)) {
        let (affected, first) = run[0];
        let costs = |exposure| {
            let spans = run.iter().map(|(_, span)| span);
            let spans = spans.filter(|span| span.neighbors.exposure(source) == exposure);
            spans.map(|span| cost(affected, span)).collect::<Vec<_>>()
        };
        let Some(with) = median(&mut costs(Exposure::With)) else {
            continue;
        };
        let Some(without) = median(&mut costs(Exposure::Without)) else {
            continue;
        };
        let used = used_on.entry((affected, first.worker)).or_default();
        // The members of a gang wait for each other, so one of them tells as much as all.
        let is_repeated = first.is_gang && last_gang == Some(first.run.step);
        if *used >= MAX_SPAN_PAIRS_PER_WORKER || is_repeated {
            continue;
        }
        *used += 1;
        last_gang = first.is_gang.then_some(first.run.step);
        let with_source = run.iter().map(|(_, span)| span);
        let with_source = with_source.filter(|s| s.neighbors.exposure(source) == Exposure::With);
        let last = with_source.map(|span| span.at).max().unwrap_or_default();
        let values = differences.entry(affected).or_default();
        values.push((last, with - without));
    }
}
