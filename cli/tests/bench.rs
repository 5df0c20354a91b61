//! Runs of `tarragon-bench` that are too short to measure anything.

use std::{fs, process::Command};

use yare::parameterized;

/// Guards against a subcommand that fails or writes a result file that is no JSON.
#[parameterized(
    packing = { "packing", "2" },
    queue = { "queue", "2" },
)]
fn result_file_is_written(command: &str, count: &str) {
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

/// Guards against a mistyped argument starting a long run.
#[parameterized(
    no_command = { &[] },
    unknown_command = { &["pack"] },
    unknown_option = { &["packing", "--seeds", "1"] },
    not_a_number = { &["packing", "--seed", "one"] },
    extra_argument = { &["packing", "again"] },
)]
fn wrong_arguments_are_refused(args: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_tarragon-bench"))
        .args(args)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
    assert!(!output.stderr.is_empty());
}
