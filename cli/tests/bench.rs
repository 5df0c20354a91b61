//! Runs `tarragon-bench` with counts too small for a measurement and checks its output and exit
//! code.

use std::{fs, process::Command};

use yare::parameterized;

/// Guards against a subcommand that fails or writes a result file that is not valid JSON.
#[parameterized(
    config_check = { "config_check", "2" },
    packing = { "packing", "2" },
    queue = { "queue", "2" },
)]
fn subcommand_writes_json_result_file(command: &str, count: &str) {
    let folder = tempfile::tempdir().unwrap();
    let out = folder.path().join("result.json");
    let output = Command::new(env!("CARGO_BIN_EXE_tarragon-bench"))
        .args([command, "--seed", "3", "--count", count, "--out"])
        .arg(&out)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
    let result = fs::read_to_string(&out).unwrap();
    let result: serde_json::Value = serde_json::from_str(&result).unwrap();
    assert_eq!(result["about"]["seed"], 3);
    assert!(!result["rows"].as_array().unwrap().is_empty());
}

/// Guards against a mistyped argument that is ignored, so that a long run starts with default
/// options.
#[parameterized(
    no_command = { &[] },
    unknown_command = { &["pack"] },
    unknown_option = { &["packing", "--seeds", "1"] },
    not_a_number = { &["packing", "--seed", "one"] },
    extra_argument = { &["packing", "again"] },
)]
fn invalid_arguments_exit_with_usage_error(args: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_tarragon-bench"))
        .args(args)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
    assert!(!output.stderr.is_empty());
}
