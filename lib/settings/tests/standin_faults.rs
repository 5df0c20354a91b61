//! Guards against stand-ins that start with settings they cannot follow.

use std::fs;

use tarragon_names::Millis;
use tarragon_settings::{SettingsError, StandinSettings};
use yare::parameterized;

const GOOD: &str = r#"seed = 7
task_log = "tasks.jsonl"

[[hosts]]
name = "zilina-1"
domain = "zilina"
http = "127.0.0.1:7101"
worker = "127.0.0.1:7401"

[[workers]]
prefix = "z"
count = 4
domain = "zilina"
cpu_milli = 64000
memory_mb = 262144

[[workers.faults]]
kind = "pause"
workers = [3]
after_ms = 100
for_ms = 50

[[executors]]
prefix = "reel"
count = 2
domain = "zilina"
pool = "reel"
"#;

fn load(text: &str) -> Result<StandinSettings, Vec<SettingsError>> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("standin.toml");
    fs::write(&path, text).unwrap();
    StandinSettings::load(path)
}

#[parameterized(
    before = { 99, false },
    first = { 100, true },
    last = { 149, true },
    after = { 150, false },
)]
fn fault_holds_for_its_length(elapsed: u64, holds: bool) {
    let settings = load(GOOD).unwrap();
    let fault = &settings.workers[0].faults[0];
    assert_eq!(fault.is_active_at(Millis(elapsed)), holds);
}

#[parameterized(
    no_seed = { "seed = 7\n", "", "seed" },
    kind = { "\"pause\"", "\"nap\"", "workers[0].faults[0].kind" },
    worker_beyond_count = { "[3]", "[4]", "workers[0].faults" },
    too_wrong = { "cpu_milli", "wrong_factor = 9\ncpu_milli", "workers[0].wrong_factor" },
    too_few_connections = { "pool =", "connections = 4\npool =", "executors[0].connections" },
)]
fn one_fault(from: &str, to: &str, key: &str) {
    let found = load(&GOOD.replacen(from, to, 1)).unwrap_err();
    let keys: Vec<_> = found.iter().map(|f| f.key.as_str()).collect();
    assert_eq!(keys, [key], "{found:?}");
}
