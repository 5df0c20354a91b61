//! Guards against settings that are taken although they cannot work.

use std::{fs, os::unix::fs::PermissionsExt, path::PathBuf};

use tarragon_settings::{HostSettings, SettingsError};
use tempfile::TempDir;
use yare::parameterized;

const GOOD: &str = r#"cell = "kovacik"
name = "zilina-1"
domain = "zilina"
region = "sk-central"
http = "127.0.0.1:7101"
peer = "127.0.0.1:7201"
control = "127.0.0.1:7301"
worker = "127.0.0.1:7401"
data_dir = "data"
token_file = "token"
initial_voters = ["zilina-1"]
hosts = [
    { name = "zilina-1", domain = "zilina", http = "127.0.0.1:7101", peer = "127.0.0.1:7201", control = "127.0.0.1:7301" },
    { name = "banska-1", domain = "banska", http = "127.0.0.1:7102", peer = "127.0.0.1:7202", control = "127.0.0.1:7302" },
    { name = "martin-1", domain = "martin", http = "127.0.0.1:7103", peer = "127.0.0.1:7203", control = "127.0.0.1:7303" },
]
"#;

fn folder(text: &str, mode: u32) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let token = folder.path().join("token");
    fs::write(&token, "hunter2-hunter2\n").unwrap();
    fs::set_permissions(&token, fs::Permissions::from_mode(mode)).unwrap();
    let path = folder.path().join("host.toml");
    fs::write(&path, text).unwrap();
    (folder, path)
}

fn faults(text: &str) -> Vec<SettingsError> {
    let (_folder, path) = folder(text, 0o600);
    HostSettings::load(path).err().unwrap_or_default()
}

#[test]
fn good_file_is_taken() {
    let (folder, path) = folder(GOOD, 0o600);
    let settings = HostSettings::load(path).unwrap();
    assert_eq!(settings.data_dir, Some(folder.path().join("data")));
    assert_eq!(settings.token.reveal(), "hunter2-hunter2");
    assert!(settings.is_initial_voter());
}

#[parameterized(
    unknown_key = { "cell =", "sell = \"x\"\ncell =", 1, "sell" },
    missing_key = { "region = \"sk-central\"\n", "", 0, "region" },
    wrong_type = { "\"sk-central\"", "7", 4, "region" },
    host_name_in_address = { "http = \"127.0.0.1:7101\"\n", "http = \"localhost:7101\"\n", 5, "http" },
    port_zero = { "7401\"", "0\"", 8, "worker" },
    unreachable_address = { "worker = \"127.0.0.1", "worker = \"0.0.0.0", 8, "worker" },
    same_address_twice = { "7401", "7101", 8, "worker" },
    voter_without_disk = { "data_dir = \"data\"\n", "", 0, "data_dir" },
    even_voters = { "[\"zilina-1\"]", "[\"zilina-1\", \"banska-1\"]", 11, "initial_voters" },
    unknown_voter = { "[\"zilina-1\"]", "[\"zilina-9\"]", 11, "initial_voters" },
    own_host_not_listed = { "name = \"zilina-1\"\n", "name = \"zilina-7\"\n", 12, "hosts" },
    own_address_differs = { "peer = \"127.0.0.1:7201\"\n", "peer = \"127.0.0.1:7299\"\n", 6, "peer" },
    host_key_unknown = { "{ name = \"banska-1\",", "{ nick = \"b\", name = \"banska-1\",", 14, "hosts[1].nick" },
    no_token_file = { "\"token\"", "\"no-such-file\"", 10, "token_file" },
)]
fn one_fault(from: &str, to: &str, line: usize, key: &str) {
    let text = GOOD.replacen(from, to, 1);
    assert_ne!(text, GOOD);
    let found = faults(&text);
    let places: Vec<_> = found.iter().map(|f| (f.line, f.key.as_str())).collect();
    assert_eq!(places, [(line, key)], "{found:?}");
}

#[parameterized(
    weight_too_high = { "[policy]\nwait = 101", "policy.wait" },
    weight_negative = { "[policy]\nspread = -1", "policy.spread" },
    all_weights_zero = { "[policy]\nwait = 0\npacking = 0\nspread = 0\nlocality = 0", "policy.wait" },
    level = { "[log]\nlevel = \"loud\"", "log.level" },
    short_worker_lease = { "[timing]\nworker_lease_ms = 2000", "timing.worker_lease_ms" },
    long_freshness_lease = { "[timing]\nfreshness_lease_ms = 4500", "timing.freshness_lease_ms" },
    long_executor_lease = { "[timing]\nexecutor_lease_ms = 2500", "timing.executor_lease_ms" },
    leader_lease_without_drift = { "[timing]\nleader_lease_ms = 995", "timing.leader_lease_ms" },
    drain_grace_over_max = { "[timing]\ndrain_grace_ms = 40000", "timing.drain_max_ms" },
    no_body = { "[limits]\nmax_body_bytes = 0", "limits.max_body_bytes" },
    unknown_table = { "[polcy]\nwait = 1", "polcy" },
    table_is_number = { "[log]\nlevel = \"info\"\nfile = 3", "log.file" },
)]
fn one_fault_below(appended: &str, key: &str) {
    let found = faults(&format!("{GOOD}{appended}\n"));
    let keys: Vec<_> = found.iter().map(|f| f.key.as_str()).collect();
    assert_eq!(keys, [key], "{found:?}");
    assert!(found[0].line > GOOD.lines().count());
}

/// An operator who sees one fault at a time needs one round for each.
#[test]
fn all_faults_in_one_go() {
    let text = GOOD
        .replacen("7401", "0", 1)
        .replacen("\"data\"", "\"\"", 1);
    let found = faults(&format!("{text}\n[policy]\nwait = 200\npakcing = 3\n"));
    let keys: Vec<_> = found.iter().map(|f| f.key.as_str()).collect();
    assert_eq!(
        keys,
        ["worker", "data_dir", "policy.wait", "policy.pakcing"]
    );
}

#[test]
fn readable_token_file_is_refused_and_secrets_stay_hidden() {
    let (_folder, path) = folder(GOOD, 0o640);
    let found = HostSettings::load(path).unwrap_err();
    assert_eq!(found.len(), 1);
    assert!(found[0].cause.contains("0640"), "{found:?}");
    assert!(!format!("{found:?}").contains("hunter2"));

    let (_folder, path) = self::folder(GOOD, 0o600);
    let settings = HostSettings::load(path).unwrap();
    assert!(!format!("{settings:?}").contains("hunter2"));

    // A token pasted into the file, even with a slip of syntax, must not reach the terminal.
    let found = faults(&format!("{GOOD}token = \"s3cret\"\nlog = s3cret\n"));
    assert!(found.len() >= 2);
    assert!(!format!("{found:?}").contains("s3cret"), "{found:?}");
}

/// A majority of the voters in one of three failure domains is lost together with it.
#[test]
fn majority_in_one_domain_is_refused() {
    let text = GOOD
        .replacen("domain = \"banska\"", "domain = \"zilina\"", 1)
        .replacen("[\"zilina-1\"]", "[\"zilina-1\", \"banska-1\", \"martin-1\"]", 1)
        .replacen(
            "\n]\n",
            "\n    { name = \"b-2\", domain = \"banska\", http = \"127.0.0.1:7104\", peer = \"127.0.0.1:7204\", control = \"127.0.0.1:7304\" },\n]\n",
            1,
        );
    let found = faults(&text);
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].cause.contains("failure domain zilina"));
}
