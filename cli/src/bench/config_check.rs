//! Time of a check of a configuration file, by its size.

use std::time::Instant;

use serde_json::{Value, json};
use tarragon_platform::{config_differences, config_warnings, read_config};

use super::{
    options::Options,
    report::{Report, row},
    timing::Timing,
};

/// Default number of repetitions of each case.
const DEFAULT_COUNT: u64 = 50;

/// Keys of each team.
const KEYS: u64 = 5;

/// Measures decoding, findings and differences on their own. In the compared configuration, half of
/// the routes have another time limit and half of the teams another key.
pub(crate) fn run(options: &Options) -> Report {
    let mut report = Report::new(
        options,
        &json!({"routes": "1,400 and multiples", "teams": "1,000 and multiples", "keys": KEYS}),
    );
    for factor in [1, 4] {
        let (routes, teams) = (1_400 * factor, 1_000 * factor);
        let text = configuration(routes, teams, 0);
        let in_force = configuration(routes, teams, 1);
        let in_force =
            read_config(in_force.as_bytes()).expect("the generated configuration is valid");
        let mut timings = [Timing::new(), Timing::new(), Timing::new()];
        let [decoding, findings, differences] = &mut timings;
        let mut found = (0, 0);
        let started_at = Instant::now();
        for _ in 0..options.count.unwrap_or(DEFAULT_COUNT) {
            let begin = Instant::now();
            let checked =
                read_config(text.as_bytes()).expect("the generated configuration is valid");
            decoding.record(begin.elapsed());
            let begin = Instant::now();
            found.0 = config_warnings(&checked, Some(&in_force)).len();
            findings.record(begin.elapsed());
            let begin = Instant::now();
            found.1 = config_differences(&in_force, &checked).len();
            differences.record(begin.elapsed());
            if started_at.elapsed() > options.case_limit {
                break;
            }
        }
        for (part, timing) in ["decoding", "findings", "differences"].iter().zip(&timings) {
            report.push(row! {
                "part" => part,
                "routes" => routes,
                "teams" => teams,
                "bytes" => text.len(),
                "warnings" => found.0,
                "differences" => found.1,
                "repetitions" => timing.count(),
                "p50_ms" => timing.quantile_micros(0.5) / 1e3,
                "max_ms" => timing.max_micros() / 1e3,
            });
        }
    }
    report
}

/// Text of a configuration. Every second route and team depends on `variant`.
fn configuration(routes: u64, teams: u64, variant: u64) -> String {
    let routes = (0..routes).map(|n| {
        json!({
            "name": format!("route-{n}"),
            "host": format!("host-{}.example", n % 40),
            "path_prefix": format!("/part-{}/{n:x}/", n % 7),
            "type": "unsafe",
            "timeout_ms": 3_000 + n % 2 * variant,
            "target_latency_ms": 250,
            "priority": n % 3,
            "service": format!("service-{}", n % 30),
            "max_attempts": 4,
            "stretch": 1.5,
            "advice": {"decide_ms": 9.3, "period_ms": 0.13, "valid_ms": 1_500},
        })
    });
    let teams = (0..teams).map(|n| {
        let keys = (0..KEYS).map(|key| format!("{n:08}-{key}-{}", n % 2 * variant));
        json!({
            "name": format!("team-{n}"),
            "api_keys": keys.collect::<Vec<_>>(),
            "priority": 1,
            "weight": 1 + n % 50,
            "cap": {"cpu": 1_000_000, "mem_mb": 2_000_000, "gpu": 0},
        })
    });
    let services = (0..30).map(|n| json!({"name": format!("service-{n}"), "spare": false}));
    json!({
        "version": 2 - variant,
        "routes": routes.collect::<Vec<Value>>(),
        "services": services.collect::<Vec<Value>>(),
        "tenants": teams.collect::<Vec<Value>>(),
    })
    .to_string()
}
