//! Guards against settings that are accepted although they cannot work, and against leaked secrets.

use std::{fs, os::unix::fs::PermissionsExt, path::PathBuf};

use tarragon_settings::{HostSettings, SettingsError};
use tempfile::TempDir;
use yare::parameterized;

const VALID: &str = r#"cell = "kovacik"
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

fn write_settings(text: &str, mode: u32) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let token = folder.path().join("token");
    fs::write(&token, "hunter2-hunter2\n").unwrap();
    fs::set_permissions(&token, fs::Permissions::from_mode(mode)).unwrap();
    let path = folder.path().join("host.toml");
    fs::write(&path, text).unwrap();
    (folder, path)
}

fn load_errors(text: &str) -> Vec<SettingsError> {
    let (_folder, path) = write_settings(text, 0o600);
    HostSettings::load(path).err().unwrap_or_default()
}

#[test]
fn valid_file_is_accepted() {
    let (folder, path) = write_settings(VALID, 0o600);
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
fn invalid_value_is_the_only_error(from: &str, to: &str, line: usize, key: &str) {
    let text = VALID.replacen(from, to, 1);
    assert_ne!(text, VALID);
    let errors = load_errors(&text);
    let locations: Vec<_> = errors.iter().map(|e| (e.line, e.key.as_str())).collect();
    assert_eq!(locations, [(line, key)], "{errors:?}");
}

#[parameterized(
    weight_too_high = { "[policy]\nwait = 101", "policy.wait" },
    weight_negative = { "[policy]\nspread = -1", "policy.spread" },
    all_weights_zero = { "[policy]\nwait = 0\npacking = 0\nspread = 0\nlocality = 0", "policy.wait" },
    unknown_log_level = { "[log]\nlevel = \"loud\"", "log.level" },
    short_worker_lease = { "[timing]\nworker_lease_ms = 2000", "timing.worker_lease_ms" },
    long_freshness_lease = { "[timing]\nfreshness_lease_ms = 4500", "timing.freshness_lease_ms" },
    long_executor_lease = { "[timing]\nexecutor_lease_ms = 2500", "timing.executor_lease_ms" },
    leader_lease_without_drift = { "[timing]\nleader_lease_ms = 995", "timing.leader_lease_ms" },
    drain_grace_over_max = { "[timing]\ndrain_grace_ms = 40000", "timing.drain_max_ms" },
    body_limit_zero = { "[limits]\nmax_body_bytes = 0", "limits.max_body_bytes" },
    unknown_table = { "[polcy]\nwait = 1", "polcy" },
    number_for_file_path = { "[log]\nlevel = \"info\"\nfile = 3", "log.file" },
)]
fn invalid_value_in_a_table_is_the_only_error(appended: &str, key: &str) {
    let errors = load_errors(&format!("{VALID}{appended}\n"));
    let keys: Vec<_> = errors.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(keys, [key], "{errors:?}");
    assert!(errors[0].line > VALID.lines().count());
}

/// Guards against errors that are reported one at a time, which costs the operator a round for each.
#[test]
fn all_errors_are_reported_at_once() {
    let text = VALID
        .replacen("7401", "0", 1)
        .replacen("\"data\"", "\"\"", 1);
    let errors = load_errors(&format!("{text}\n[policy]\nwait = 200\npakcing = 3\n"));
    let keys: Vec<_> = errors.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(
        keys,
        ["worker", "data_dir", "policy.wait", "policy.pakcing"]
    );
}

#[test]
fn readable_token_file_is_refused_and_secrets_stay_hidden() {
    let (_folder, path) = write_settings(VALID, 0o640);
    let errors = HostSettings::load(path).unwrap_err();
    assert_eq!(errors.len(), 1);
    assert!(errors[0].cause.contains("0640"), "{errors:?}");
    assert!(!format!("{errors:?}").contains("hunter2"));

    let (_folder, path) = write_settings(VALID, 0o600);
    let settings = HostSettings::load(path).unwrap();
    assert!(!format!("{settings:?}").contains("hunter2"));

    // A token pasted into the settings file must not be printed, even if the syntax is invalid.
    let errors = load_errors(&format!("{VALID}token = \"s3cret\"\nlog = s3cret\n"));
    assert!(errors.len() >= 2);
    assert!(!format!("{errors:?}").contains("s3cret"), "{errors:?}");
}

/// Guards against a majority of the voters in one of three failure domains: the loss of that domain
/// would stop the cell.
#[test]
fn majority_in_one_domain_is_refused() {
    let text = VALID
        .replacen("domain = \"banska\"", "domain = \"zilina\"", 1)
        .replacen("[\"zilina-1\"]", "[\"zilina-1\", \"banska-1\", \"martin-1\"]", 1)
        .replacen(
            "\n]\n",
            "\n    { name = \"b-2\", domain = \"banska\", http = \"127.0.0.1:7104\", peer = \"127.0.0.1:7204\", control = \"127.0.0.1:7304\" },\n]\n",
            1,
        );
    let errors = load_errors(&text);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].cause.contains("failure domain zilina"));
}
