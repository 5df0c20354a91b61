//! Guards against an operators' command line that says something else than the system did: each line
//! runs against a cell of one host, in this order.

use std::{
    fs,
    path::Path,
    process::{Command, Output},
};

use serde_json::Value as Json;
use tarragon_cli::trial::{Deployment, Example, Session};
use tempfile::TempDir;
use toml::{Table, Value};

const ENTRY: &str = "[[entries]]\npattern = \"one/*\"\nowner = \"web\"\nworkloads = [\"batch\"]\n";

/// Command line, exit code, and a part of what is printed.
const LINES: &[(&str, i32, &str)] = &[
    ("ready", 0, "ready"),
    ("hosts", 0, "leader"),
    (
        "catalogue put --wait --expected 0 --request-id first ENTRY",
        0,
        "revision 8",
    ),
    // The same write again has no second effect and the same answer.
    (
        "catalogue put --expected 0 --request-id first ENTRY",
        0,
        "revision 8",
    ),
    ("catalogue put --expected 0 ENTRY", 1, "2102"),
    ("catalogue wait 8", 0, "in force"),
    ("catalogue get one/*", 0, "owner = \"web\""),
    ("catalogue list", 0, "one/*"),
    ("submit one/job --run-ms 100000 --key k1", 0, "j"),
    ("submit one/job --run-ms 5 --key k1", 1, "1006"),
    ("submit one/job --kind service", 1, "2104"),
    ("submit nobody/owns-it", 1, "2101"),
    ("jobs show --key k1", 0, "one/job"),
    ("jobs list --team web", 0, "one/job"),
    ("jobs list --team other", 0, "JOB"),
    ("jobs show j999999", 1, "1005"),
    ("catalogue delete one/* --expected 3", 1, "2102"),
    ("catalogue delete one/* --expected 8", 0, "deleted"),
    ("catalogue history one/*", 0, "(deleted)"),
    ("catalogue get one/*", 1, "2101"),
    (
        "quota put web --cpu 5000 --max-jobs 7 --expected 0",
        0,
        "revision",
    ),
    (
        "quota put web --cpu 5000 --max-jobs 7 --expected 0",
        1,
        "2102",
    ),
    ("quota get web", 0, "7 jobs"),
    ("workers list", 0, "zilina-w-000"),
    ("workers drain zilina-w-000", 0, "drains"),
    ("workers drain zilina-w-999", 0, "is not known now"),
    ("workers take-back zilina-w-000", 0, "takes work again"),
    ("executors list", 0, "zilina-reel-000"),
    ("executors drain zilina-reel-999", 1, "1007"),
    ("executors drain zilina-reel-000", 0, "drains"),
    ("executors take-back zilina-reel-000", 0, "takes work again"),
    ("log-level debug", 0, "debug"),
    ("log-level loud", 2, "level"),
    ("members replace --remove 1 --add 2", 1, "tarragonctl"),
];

/// The first host of an example and the stand-ins of its failure domain.
fn one_host() -> Example {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/kovacik");
    let mut example = Example::load(&root).unwrap();
    example
        .hosts
        .retain(|host| host["name"].as_str() == Some("zilina-1"));
    let keep = |table: &mut Table, list: &str, key: &str, value: &str| {
        if let Some(Value::Array(items)) = table.get_mut(list) {
            items.retain(|item| item[key].as_str() == Some(value));
        }
    };
    for host in &mut example.hosts {
        keep(host, "hosts", "name", "zilina-1");
        host.insert("initial_voters".to_owned(), vec!["zilina-1"].into());
    }
    keep(&mut example.standin, "hosts", "name", "zilina-1");
    for list in ["workers", "executors"] {
        keep(&mut example.standin, list, "domain", "zilina");
    }
    example
}

fn ctl(line: &str, entry: &Path, token: &Path, host: &str) -> Output {
    let words = line.split_whitespace().map(|word| match word {
        "ENTRY" => entry.to_str().unwrap(),
        word => word,
    });
    Command::new(env!("CARGO_BIN_EXE_tarragonctl"))
        .args(words)
        .args(["--host", host])
        .arg("--token-file")
        .arg(token)
        .output()
        .unwrap()
}

#[test]
fn lines_do_what_they_say() {
    let folder = TempDir::new().unwrap();
    let entry = folder.path().join("entry.toml");
    fs::write(&entry, ENTRY).unwrap();
    let example = one_host();
    let deployment = Deployment::prepare(&example, folder.path(), 8).unwrap();
    let host = deployment.hosts[0].http.to_string();
    let token = folder.path().join("token");
    let programs = Path::new(env!("CARGO_BIN_EXE_tarragond")).parent().unwrap();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let mut session = runtime.block_on(async {
        let mut session = Session::start(deployment, programs).await.unwrap();
        session.configure(&example).await.unwrap();
        session.start_standins().await.unwrap();
        session
    });
    for (line, code, part) in LINES {
        let output = ctl(line, &entry, &token, &host);
        let printed = [output.stdout.clone(), output.stderr.clone()].concat();
        let printed = String::from_utf8(printed).unwrap();
        assert_eq!(output.status.code(), Some(*code), "{line}: {printed}");
        assert!(printed.contains(part), "{line}: {printed}");
    }
    // The token must be needed, and the JSON form must be JSON.
    let other = folder.path().join("entry.toml");
    let refused = ctl("workers list --json", &entry, &other, &host);
    assert_eq!(
        refused.status.code(),
        Some(2),
        "a readable token file is refused"
    );
    let jobs = ctl("jobs list --json", &entry, &token, &host);
    let jobs: Vec<Json> = serde_json::from_slice(&jobs.stdout).unwrap();
    assert_eq!(jobs[0]["name"], "one/job");
    let cancel = ctl(
        &format!("jobs cancel {}", jobs[0]["job"].as_str().unwrap()),
        &entry,
        &token,
        &host,
    );
    assert_eq!(cancel.status.code(), Some(0), "{cancel:?}");
    // A voter in its own place would leave the group with one voter more or less.
    let hosts = ctl("hosts --json", &entry, &token, &host);
    let hosts: Vec<Json> = serde_json::from_slice(&hosts.stdout).unwrap();
    let own = &hosts[0]["member"];
    let line = format!("members replace --remove {own} --add {own}");
    let refused = ctl(&line, &entry, &token, &host);
    assert_eq!(refused.status.code(), Some(1), "{refused:?}");
    assert!(
        String::from_utf8_lossy(&refused.stderr).contains("1001"),
        "{refused:?}"
    );
    assert_eq!(runtime.block_on(session.stop()), Vec::<String>::new());
}
