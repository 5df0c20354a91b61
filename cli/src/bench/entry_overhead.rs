//! Latency that an entry host adds to a service request.

use std::{sync::PoisonError, time::Duration};

use serde_json::json;
use tarragon_catalogue::{CatalogueEntry, Limits};
use tarragon_names::{Class, Workload};

use super::{
    bench_entry_host::{BenchEntryHost, EntryHostConfig, runtime},
    options::Options,
    report::{Report, row},
    request_load::{LoadResult, RequestLoad},
};

/// Blocks of requests per path; the blocks of the two paths alternate, so that changes of the
/// machine's load affect both.
const DEFAULT_BLOCKS: u64 = 10;

/// Duration of a block.
const BLOCK_DURATION: Duration = Duration::from_millis(1_500);

/// Limit of concurrent requests through the host; higher than the load ever reaches, so that it
/// delays no request.
const MAX_IN_FLIGHT: usize = 1_000;

/// Timeout of the callers.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Compares requests through the HTTP interface and request path of an entry host with requests
/// sent directly to the same executor, at half of the executor's saturation rate.
pub(crate) fn run(options: &Options) -> Report {
    let host_cfg = EntryHostConfig {
        entry: entry(false, 1),
        retries_enabled: false,
        executors: 1,
        slots: 8,
        service_time: Duration::from_millis(5),
    };
    let rate = host_cfg.saturation() / 2.0;
    let blocks = options.count.unwrap_or(DEFAULT_BLOCKS).clamp(1, 40);
    let mut report = Report::new(
        options,
        &json!({
            "executors": host_cfg.executors, "slots": host_cfg.slots,
            "service_ms": host_cfg.service_time.as_millis() as u64,
            "requests_per_s": rate, "blocks": blocks, "block_ms": BLOCK_DURATION.as_millis() as u64,
        }),
    );
    let host =
        BenchEntryHost::start(&host_cfg).expect("loopback sockets and threads are available");
    let caller_runtime = runtime().expect("threads are available");
    // Without the host, only this limit keeps the callers within the executor's slots.
    let direct_load = RequestLoad::new(REQUEST_TIMEOUT, host_cfg.slots as usize);
    let host_load = RequestLoad::new(REQUEST_TIMEOUT, MAX_IN_FLIGHT);
    let (direct, through_host) = (LoadResult::shared(), LoadResult::shared());
    caller_runtime.block_on(async {
        // A warm-up block per path opens the connections; its results are not counted.
        let warm_up = LoadResult::shared();
        direct_load
            .run(host.executors[0].address(), rate, BLOCK_DURATION, &warm_up)
            .await;
        host_load
            .run(host.http_address, rate, BLOCK_DURATION, &warm_up)
            .await;
        for _ in 0..blocks {
            direct_load
                .run(host.executors[0].address(), rate, BLOCK_DURATION, &direct)
                .await;
            host_load
                .run(host.http_address, rate, BLOCK_DURATION, &through_host)
                .await;
        }
    });
    let mut quantiles = Vec::new();
    for (path, result) in [("direct", &direct), ("entry", &through_host)] {
        let result = result.lock().unwrap_or_else(PoisonError::into_inner);
        let [p50, p99] = [0.5, 0.99].map(|quantile| result.timing.quantile_micros(quantile));
        quantiles.push([p50, p99]);
        report.push(row! {
            "path" => path, "sent" => result.sent, "good" => result.answered_in_time,
            "p50_us" => p50, "p99_us" => p99, "max_us" => result.timing.max_micros(),
        });
    }
    report.push(row! {
        "overhead_p50_us" => quantiles[1][0] - quantiles[0][0],
        "overhead_p99_us" => quantiles[1][1] - quantiles[0][1],
        "slot_violations" => host.slot_violations(),
    });
    report
}

/// Catalogue entry that matches the measured requests.
pub(crate) fn entry(repeatable: bool, max_sends: u32) -> CatalogueEntry {
    CatalogueEntry {
        pattern: "*".to_owned().into(),
        owner: "reels".into(),
        class: Class::Standard,
        workloads: vec![Workload::Request],
        pool: Some("reels".into()),
        repeatable,
        limits: Limits {
            max_sends,
            ..Limits::default()
        },
    }
}
