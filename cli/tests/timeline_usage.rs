//! Guards against a timeline command that hides a file it cannot read or a line it skips.

use std::{
    fs,
    process::{Command, Output},
};

use yare::parameterized;

const LOG: &str = concat!(
    "{\"process\":\"a\",\"host\":\"a\",\"seq\":1,\"ts\":5,\"event\":\"x\",\"job\":\"j1\"}\n",
    "{\"process\":\"a\",\"host\":\"a\",\"seq\":2,\"ts\":6,\"event\":\"y\",\"job\":\"j2\"}\n",
    "{\"process\":\"a\",\"ho",
);

fn timeline(line: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("log"), LOG).unwrap();
    Command::new(env!("CARGO_BIN_EXE_tarragon-timeline"))
        .current_dir(&folder)
        .args(line.split_whitespace())
        .output()
        .unwrap()
}

#[parameterized(
    text = { "log", 0 },
    html = { "--format html log", 0 },
    no_file = { "", 2 },
    missing_file = { "no-such-log", 1 },
    unknown_format = { "--format pdf log", 2 },
    bad_epoch = { "--epoch x log", 2 },
)]
fn exit_code(line: &str, code: i32) {
    let output = timeline(line);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

#[test]
fn cut_line_is_reported_and_filter_holds() {
    let output = timeline("--job j1 log");
    assert_eq!(String::from_utf8_lossy(&output.stdout).lines().count(), 1);
    assert!(String::from_utf8_lossy(&output.stderr).contains("log line 3"));
}
