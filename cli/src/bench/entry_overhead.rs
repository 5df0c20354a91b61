use std::{sync::PoisonError, time::Duration};

use serde_json::json;
use tarragon_catalogue::{CatalogueEntry, Limits};
use tarragon_names::{Class, Workload};

use super::{
    options::Options,
    report::{Report, row},
    request_load::{LoadResult, RequestLoad},
    service_site::{ServiceSite, SiteConfig, runtime},
};

/// Blocks of each path; the paths take turns, so that both see the same state of the machine.
const BLOCKS: u64 = 10;

/// Length of a block.
const BLOCK: Duration = Duration::from_millis(1_500);

/// Requests at a time through the host; more than half of the load ever needs.
const PLACES: usize = 1_000;

/// Time limit of the callers.
const LIMIT: Duration = Duration::from_secs(2);

/// Measures requests through front and request path against a direct connection to the same
/// executor, at half of its saturation.
pub(crate) fn run(options: &Options) -> Report {
    let site_cfg = SiteConfig {
        entry: entry(false, 1),
        retries: false,
        executors: 1,
        slots: 8,
        service_time: Duration::from_millis(5),
    };
    let rate = site_cfg.saturation() / 2.0;
    let blocks = options.count.unwrap_or(BLOCKS).clamp(1, 40);
    let mut report = Report::new(
        options,
        &json!({
            "executors": site_cfg.executors, "slots": site_cfg.slots,
            "service_ms": site_cfg.service_time.as_millis() as u64,
            "requests_per_s": rate, "blocks": blocks, "block_ms": BLOCK.as_millis() as u64,
        }),
    );
    let site = ServiceSite::start(&site_cfg).expect("loopback sockets and threads are available");
    let callers = runtime().expect("threads are available");
    // Without the host nothing else keeps the callers within the executor's slots.
    let alone = RequestLoad::new(LIMIT, site_cfg.slots as usize);
    let load = RequestLoad::new(LIMIT, PLACES);
    let (direct, through) = (LoadResult::shared(), LoadResult::shared());
    callers.block_on(async {
        // The first block of each path opens connections and is not counted.
        let warm = LoadResult::shared();
        alone
            .run(site.executors[0].address(), rate, BLOCK, &warm)
            .await;
        load.run(site.front, rate, BLOCK, &warm).await;
        for _ in 0..blocks {
            alone
                .run(site.executors[0].address(), rate, BLOCK, &direct)
                .await;
            load.run(site.front, rate, BLOCK, &through).await;
        }
    });
    let mut quantiles = Vec::new();
    for (path, result) in [("direct", &direct), ("entry", &through)] {
        let result = result.lock().unwrap_or_else(PoisonError::into_inner);
        let [p50, p99] = [0.5, 0.99].map(|quantile| result.timing.micros(quantile));
        quantiles.push([p50, p99]);
        report.push(row! {
            "path" => path, "sent" => result.sent, "good" => result.good,
            "p50_us" => p50, "p99_us" => p99, "max_us" => result.timing.max_micros(),
        });
    }
    report.push(row! {
        "overhead_p50_us" => quantiles[1][0] - quantiles[0][0],
        "overhead_p99_us" => quantiles[1][1] - quantiles[0][1],
        "slot_violations" => site.violations(),
    });
    report
}

/// Catalogue entry of the measured requests.
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
