//! Guards against exit codes that scripts cannot rely on and against subcommands without help.

use std::process::{Command, Output};

use yare::parameterized;

fn ctl(line: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tarragonctl"))
        .env_remove("TARRAGON_HOSTS")
        .env_remove("TARRAGON_TOKEN_FILE")
        .args(line.split_whitespace())
        .output()
        .unwrap()
}

#[parameterized(
    no_subcommand = { "", 0 },
    help = { "--help", 0 },
    version = { "--version", 0 },
    unknown_subcommand = { "catalog list", 2 },
    unknown_option = { "hosts --hots x", 2 },
    no_host = { "hosts", 2 },
    host_name = { "hosts --host localhost:1", 2 },
    missing_token_file = { "hosts --host 127.0.0.1:1 --token-file /nonexistent", 2 },
    bad_job_id = { "jobs show x --host 127.0.0.1:1", 2 },
    bad_kind = { "submit a --kind tiny --host 127.0.0.1:1", 2 },
    no_operand = { "quota get --host 127.0.0.1:1", 2 },
    nobody_listens = { "hosts --host 127.0.0.1:1", 4 },
    write_to_nobody = { "submit a --host 127.0.0.1:1", 3 },
    not_ready = { "ready --host 127.0.0.1:1", 5 },
)]
fn exit_code(line: &str, code: i32) {
    let output = ctl(line);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

#[test]
fn each_subcommand_has_help() {
    let overview = String::from_utf8(ctl("--help").stdout).unwrap();
    let lines = overview.lines().filter(|line| line.starts_with("  "));
    let mut count = 0;
    for line in lines {
        let words: Vec<_> = line
            .split_whitespace()
            .take_while(|word| word.chars().all(|c| c.is_ascii_lowercase() || c == '-'))
            .collect();
        let found = (1..=words.len().min(2)).any(|n| {
            let output = ctl(&format!("{} --help", words[..n].join(" ")));
            output.status.success() && String::from_utf8_lossy(&output.stdout).contains("--json")
        });
        assert!(found, "{line}");
        count += 1;
    }
    assert!(count > 20, "{overview}");
}

#[test]
fn errors_are_json_on_request() {
    let output = ctl("hosts --json --host 127.0.0.1:1");
    let error: serde_json::Value = serde_json::from_slice(&output.stderr).unwrap();
    assert_eq!(error["code"], 5107);
}
