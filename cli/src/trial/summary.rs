//! Summary of the outcomes and measurements of a trial.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tarragon_names::Resources;

use super::{ReportedOutcomes, TaskHistory, metrics_sample::MetricsSample};

/// Returns the lines of a trial's summary.
pub(super) fn lines(
    reported: &ReportedOutcomes,
    tasks: &TaskHistory,
    samples: [&MetricsSample; 2],
) -> Vec<String> {
    let mut lines = vec![outcomes("jobs", &job_outcomes(reported))];
    lines.push(outcomes("requests", &request_outcomes(reported)));
    lines.extend(causes(reported));
    let took = reported
        .requests
        .iter()
        .filter(|request| request.answer.is_ok());
    let mut took: Vec<_> = took.map(|request| request.took).collect();
    if let Some((p50, p99)) = percentiles(&mut took) {
        lines.push(format!("request time: p50 {p50:.1?}, p99 {p99:.1?}"));
    }
    for (class, mut waits) in waits(reported, tasks) {
        let count = waits.len();
        if let Some((p50, p99)) = percentiles(&mut waits) {
            lines.push(format!(
                "wait of {count} {class} jobs: p50 {p50:.1?}, p99 {p99:.1?}"
            ));
        }
    }
    let (cpu, memory) = packing(tasks);
    lines.push(format!(
        "packing of workers in use: {cpu:.0}% of processors, {memory:.0}% of memory reserved"
    ));
    let [before, after] = samples;
    for what in ["messages", "bytes"] {
        let (within, across) = after.rate_since(before, &format!("tarragon_control_{what}_total"));
        lines.push(format!(
            "control {what} a second: {within:.0} within and {across:.0} between failure domains"
        ));
    }
    lines
}

fn outcomes(what: &str, counts: &BTreeMap<String, u32>) -> String {
    let total: u32 = counts.values().sum();
    let parts: Vec<_> = counts
        .iter()
        .map(|(outcome, n)| format!("{n} {outcome}"))
        .collect();
    format!("{total} {what}: {}", parts.join(", "))
}

fn job_outcomes(reported: &ReportedOutcomes) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for job in &reported.jobs {
        let outcome = match (&job.last, &job.accepted) {
            (Ok(view), _) => match (view.success, &view.reason) {
                (Some(false), _) => format!("{} (failed)", view.state),
                (_, Some(reason)) => format!("{} ({})", view.state, reason.code.number()),
                _ => view.state.to_string(),
            },
            (Err(_), Err(refusal)) => format!("refused {}", refusal.code.number()),
            (Err(failure), Ok(_)) => format!("lost {}", failure.code.number()),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}

fn request_outcomes(reported: &ReportedOutcomes) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for request in &reported.requests {
        let outcome = match &request.answer {
            Ok((status, _)) => format!("answered {status}"),
            Err(refusal) => format!("refused {}", refusal.code.number()),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}

/// Returns the most frequent cause of each code of refused requests.
fn causes(reported: &ReportedOutcomes) -> Vec<String> {
    let mut counts: BTreeMap<(u16, &str), u32> = BTreeMap::new();
    for refusal in reported
        .requests
        .iter()
        .filter_map(|request| request.answer.as_ref().err())
    {
        *counts
            .entry((refusal.code.number(), &refusal.cause))
            .or_default() += 1;
    }
    let mut most: BTreeMap<u16, (u32, &str)> = BTreeMap::new();
    for ((code, cause), count) in counts {
        let found = most.entry(code).or_default();
        *found = (*found).max((count, cause));
    }
    let lines = most.into_iter();
    lines
        .map(|(code, (count, cause))| format!("  {code}, {count} times: {cause}"))
        .collect()
}

/// Returns the time from submission to the first start of a task, by class.
fn waits(reported: &ReportedOutcomes, tasks: &TaskHistory) -> BTreeMap<String, Vec<Duration>> {
    let mut waits: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
    for job in &reported.jobs {
        let Ok(view) = &job.last else { continue };
        let id = view.job.to_string();
        let runs = tasks.of_job(&id).filter_map(|(_, runs)| runs.first());
        if let Some(began) = runs.map(|run| run.began).min() {
            let wait = Duration::from_millis(began.saturating_sub(job.submitted));
            waits.entry(view.class.to_string()).or_default().push(wait);
        }
    }
    waits
}

/// Returns the percentages of the processors and memory of busy workers that are reserved,
/// averaged over time.
fn packing(tasks: &TaskHistory) -> (f64, f64) {
    let mut held: HashMap<&str, (u32, Resources)> = HashMap::new();
    let (mut reserved, mut offered) = ([0.0; 2], [0.0; 2]);
    let mut last = None;
    for (at, worker, amount, starts) in tasks.changes() {
        let millis = at.saturating_sub(last.replace(at).unwrap_or(at)) as f64;
        for (worker, (count, amount)) in &held {
            let Some(capacity) = tasks.capacity.get(*worker).filter(|_| *count > 0) else {
                continue;
            };
            reserved[0] += millis * amount.cpu_milli as f64;
            reserved[1] += millis * amount.memory_mb as f64;
            offered[0] += millis * capacity.cpu_milli as f64;
            offered[1] += millis * capacity.memory_mb as f64;
        }
        let (count, sum) = held.entry(worker).or_default();
        if starts {
            *count += 1;
            *sum += amount;
        } else {
            *count = count.saturating_sub(1);
            *sum = sum.saturating_sub(&amount);
        }
    }
    let percent = |i: usize| 100.0 * reserved[i] / f64::max(offered[i], 1.0);
    (percent(0), percent(1))
}

fn percentiles(values: &mut [Duration]) -> Option<(Duration, Duration)> {
    values.sort_unstable();
    let at = |percent: usize| values.get((values.len() * percent / 100).min(values.len() - 1));
    if values.is_empty() {
        return None;
    }
    Some((*at(50)?, *at(99)?))
}
