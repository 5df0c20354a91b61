use std::{sync::PoisonError, time::Duration};

use serde_json::json;
use tarragon_standin::ExecutorFault;

use super::{
    entry_overhead::entry,
    options::Options,
    report::{Report, row},
    request_load::{LoadResult, RequestLoad},
    service_site::{ServiceSite, SiteConfig, runtime},
};

/// Offered load as a multiple of the saturation.
const FACTORS: [f64; 8] = [0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 2.5, 3.0];

/// Length of each step.
const STEP: Duration = Duration::from_secs(4);

/// Time limit of the callers: a few times the run time of a request.
const LIMIT: Duration = Duration::from_millis(250);

/// Requests at a time; three times the saturation needs 600 while each is answered in time.
const PLACES: usize = 4_000;

/// Every so many requests each executor drops one after reading it, so that there is something to
/// repeat.
const DROP_EVERY: u64 = 500;

/// Sends of a repeatable request.
const SENDS: u32 = 3;

/// Requests that may wait; the second number stands for no early refusal, as a baseline.
const WAITING: [u32; 2] = [64, 100_000];

/// Measures the whole answers in time against the offered load, past saturation.
pub(crate) fn run(options: &Options) -> Report {
    let site_cfg = SiteConfig {
        entry: entry(true, SENDS),
        retries: true,
        executors: 4,
        slots: 8,
        service_time: Duration::from_millis(40),
    };
    let mut report = Report::new(
        options,
        &json!({
            "executors": site_cfg.executors, "slots": site_cfg.slots,
            "service_ms": site_cfg.service_time.as_millis() as u64,
            "saturation_per_s": site_cfg.saturation(), "limit_ms": LIMIT.as_millis() as u64,
            "drop_every": DROP_EVERY, "sends": SENDS, "step_ms": STEP.as_millis() as u64,
        }),
    );
    for (retries, waiting) in [(true, WAITING[0]), (false, WAITING[0]), (true, WAITING[1])] {
        let mut cfg = SiteConfig {
            retries,
            ..site_cfg.clone()
        };
        cfg.entry.limits.max_waiting = waiting;
        curve(&mut report, &cfg);
    }
    report
}

fn curve(report: &mut Report, cfg: &SiteConfig) {
    let site = ServiceSite::start(cfg).expect("loopback sockets and threads are available");
    let callers = runtime().expect("threads are available");
    let load = RequestLoad::new(LIMIT, PLACES);
    for executor in &site.executors {
        executor.set_fault(ExecutorFault::DropEvery(DROP_EVERY));
    }
    // The first step opens connections and is not counted.
    let warm = LoadResult::shared();
    callers.block_on(load.run(site.front, cfg.saturation() / 2.0, STEP / 2, &warm));
    let mut peak = 0.0_f64;
    let mut at_twice = 0.0;
    let mut before = site.proxy.stats();
    for factor in FACTORS {
        let result = LoadResult::shared();
        let rate = cfg.saturation() * factor;
        callers.block_on(load.run(site.front, rate, STEP, &result));
        let result = result.lock().unwrap_or_else(PoisonError::into_inner);
        let goodput = result.good as f64 / STEP.as_secs_f64();
        peak = peak.max(goodput);
        if (factor - 2.0).abs() < f64::EPSILON {
            at_twice = goodput;
        }
        let stats = site.proxy.stats();
        report.push(row! {
            "retries" => cfg.retries, "waiting" => cfg.entry.limits.max_waiting, "load" => factor, "offered_per_s" => rate,
            "goodput_per_s" => goodput, "p50_ms" => result.timing.micros(0.5) / 1e3,
            "p99_ms" => result.timing.micros(0.99) / 1e3,
            "resent" => stats.retries - before.retries, "others" => result.others,
        });
        before = stats;
    }
    report.push(row! {
        "retries" => cfg.retries, "waiting" => cfg.entry.limits.max_waiting, "peak_per_s" => peak,
        "at_twice_of_peak_percent" => at_twice / peak * 100.0,
        "slot_violations" => site.violations(),
    });
}
