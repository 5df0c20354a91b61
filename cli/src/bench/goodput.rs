//! Complete answers within the timeout against the offered load, past saturation.

use std::{sync::PoisonError, time::Duration};

use serde_json::json;
use tarragon_standin::ExecutorFault;

use super::{
    bench_entry_host::{BenchEntryHost, EntryHostConfig, runtime},
    entry_overhead::entry,
    options::Options,
    report::{Report, row},
    request_load::{LoadResult, RequestLoad},
};

/// Offered load as a multiple of the saturation rate.
const LOAD_FACTORS: [f64; 8] = [0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 2.5, 3.0];

/// Duration of each load step.
const STEP_DURATION: Duration = Duration::from_secs(4);

/// Timeout of the callers: a few times the run time of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Limit of concurrent requests; three times the saturation rate needs 600 if each is answered in
/// time.
const MAX_IN_FLIGHT: usize = 4_000;

/// Each executor reads and drops every n-th request without an answer, so that the host has
/// requests to retry.
const DROP_EVERY: u64 = 500;

/// Maximum number of times that the host sends a repeatable request, including the first.
const MAX_SENDS: u32 = 3;

/// Requests that may wait at the host; the second value disables early refusal, as a baseline.
const MAX_WAITING: [u32; 2] = [64, 100_000];

/// Measures goodput over offered load with and without retries, and without early refusal.
pub(crate) fn run(options: &Options) -> Report {
    let host_cfg = EntryHostConfig {
        entry: entry(true, MAX_SENDS),
        retries_enabled: true,
        executors: 4,
        slots: 8,
        service_time: Duration::from_millis(40),
    };
    let mut report = Report::new(
        options,
        &json!({
            "executors": host_cfg.executors, "slots": host_cfg.slots,
            "service_ms": host_cfg.service_time.as_millis() as u64,
            "saturation_per_s": host_cfg.saturation(), "limit_ms": REQUEST_TIMEOUT.as_millis() as u64,
            "drop_every": DROP_EVERY, "sends": MAX_SENDS, "step_ms": STEP_DURATION.as_millis() as u64,
        }),
    );
    for (retries_enabled, max_waiting) in [
        (true, MAX_WAITING[0]),
        (false, MAX_WAITING[0]),
        (true, MAX_WAITING[1]),
    ] {
        let mut cfg = EntryHostConfig {
            retries_enabled,
            ..host_cfg.clone()
        };
        cfg.entry.limits.max_waiting = max_waiting;
        measure_load_curve(&mut report, &cfg);
    }
    report
}

fn measure_load_curve(report: &mut Report, cfg: &EntryHostConfig) {
    let host = BenchEntryHost::start(cfg).expect("loopback sockets and threads are available");
    let caller_runtime = runtime().expect("threads are available");
    let load = RequestLoad::new(REQUEST_TIMEOUT, MAX_IN_FLIGHT);
    for executor in &host.executors {
        executor.set_fault(ExecutorFault::DropEvery(DROP_EVERY));
    }
    // A warm-up step opens the connections; its results are not counted.
    let warm_up = LoadResult::shared();
    caller_runtime.block_on(load.run(
        host.http_address,
        cfg.saturation() / 2.0,
        STEP_DURATION / 2,
        &warm_up,
    ));
    let mut peak = 0.0_f64;
    let mut goodput_at_twice_saturation = 0.0;
    let mut before = host.proxy.stats();
    for factor in LOAD_FACTORS {
        let result = LoadResult::shared();
        let rate = cfg.saturation() * factor;
        caller_runtime.block_on(load.run(host.http_address, rate, STEP_DURATION, &result));
        let result = result.lock().unwrap_or_else(PoisonError::into_inner);
        let goodput = result.answered_in_time as f64 / STEP_DURATION.as_secs_f64();
        peak = peak.max(goodput);
        if (factor - 2.0).abs() < f64::EPSILON {
            goodput_at_twice_saturation = goodput;
        }
        let stats = host.proxy.stats();
        report.push(row! {
            "retries" => cfg.retries_enabled, "waiting" => cfg.entry.limits.max_waiting, "load" => factor, "offered_per_s" => rate,
            "goodput_per_s" => goodput, "p50_ms" => result.timing.quantile_micros(0.5) / 1e3,
            "p99_ms" => result.timing.quantile_micros(0.99) / 1e3,
            "resent" => stats.retries - before.retries, "others" => result.other_outcomes,
        });
        before = stats;
    }
    report.push(row! {
        "retries" => cfg.retries_enabled, "waiting" => cfg.entry.limits.max_waiting, "peak_per_s" => peak,
        "at_twice_of_peak_percent" => goodput_at_twice_saturation / peak * 100.0,
        "slot_violations" => host.slot_violations(),
    });
}
