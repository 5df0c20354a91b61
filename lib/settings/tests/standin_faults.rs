//! Guards against stand-ins that start with settings which cannot take effect.

use std::fs;

use tarragon_names::Millis;
use tarragon_settings::{SettingsError, StandinSettings};
use yare::parameterized;

const VALID: &str = r#"seed = 7
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
fn fault_is_active_for_its_duration(elapsed: u64, is_active: bool) {
    let settings = load(VALID).unwrap();
    let fault = &settings.workers[0].faults[0];
    assert_eq!(fault.is_active_at(Millis(elapsed)), is_active);
}

#[parameterized(
    missing_seed = { "seed = 7\n", "", "seed" },
    unknown_kind = { "\"pause\"", "\"nap\"", "workers[0].faults[0].kind" },
    worker_beyond_count = { "[3]", "[4]", "workers[0].faults" },
    wrong_factor_above_maximum = { "cpu_milli", "wrong_factor = 9\ncpu_milli", "workers[0].wrong_factor" },
    fewer_connections_than_slots = { "pool =", "connections = 4\npool =", "executors[0].connections" },
)]
fn invalid_value_is_the_only_error(from: &str, to: &str, key: &str) {
    let errors = load(&VALID.replacen(from, to, 1)).unwrap_err();
    let keys: Vec<_> = errors.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(keys, [key], "{errors:?}");
}
