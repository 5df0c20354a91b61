//! `tarragonctl config check`: findings in both forms, exit codes, and the comparison with a stand-in
//! of an entry host.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    thread,
    time::Duration,
};

use serde_json::Value as Json;
use tempfile::TempDir;
use yare::parameterized;

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"a","host":"h","path_prefix":"/a/","timeout_ms":3000,"target_latency_ms":250,
"service":"s","max_attempts":4,"advice":{"decide_ms":9,"period_ms":1,"valid_ms":1500}}],
"services":[{"name":"s"}],
"tenants":[{"name":"t","api_keys":["secret-1","secret-2"],"weight":2,"cap":{"cpu":5}}]}"#;

/// What the stand-in of an entry host does with a call.
#[derive(Clone, Debug)]
enum Answer {
    /// Answers with a status and a body.
    Body(&'static str, String),
    /// Sends a part of an answer and closes the connection.
    CutShort,
    /// Reads the call and never answers.
    Silent,
    /// Sends the answer in parts, slower than any time limit.
    Slow,
}

/// Runs `config check` on a file with the given content.
fn check(content: &[u8], args: &[&str]) -> Output {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("config.json");
    fs::write(&file, content).unwrap();
    Command::new(env!("CARGO_BIN_EXE_tarragonctl"))
        // Variables of the operator's shell must not make the check call a host.
        .env("TARRAGON_HOSTS", "127.0.0.1:1")
        .args(["config", "check"])
        .args(args)
        .arg(&file)
        .output()
        .unwrap()
}

fn check_json(content: &[u8], args: &[&str]) -> (Option<i32>, Json) {
    let output = check(content, &[args, &["--json"]].concat());
    let report = serde_json::from_slice(&output.stdout).unwrap();
    (output.status.code(), report)
}

fn stdout(output: &Output) -> &str {
    str::from_utf8(&output.stdout).unwrap()
}

fn edited(part: &str, instead: &str) -> String {
    assert!(CONFIG.contains(part));
    CONFIG.replacen(part, instead, 1)
}

/// Starts a stand-in of an entry host that answers one call. It ends with the test.
fn start_host(answer: Answer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut buf = [0; 1_024];
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            let n = stream.read(&mut buf).unwrap();
            head.extend_from_slice(&buf[..n]);
        }
        assert!(head.starts_with(b"GET /v1/config HTTP/1.1\r\n"));
        match answer {
            Answer::Body(status, body) => {
                let length = body.len();
                let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
                stream.write_all(head.as_bytes()).unwrap();
                stream.write_all(body.as_bytes()).unwrap();
            }
            Answer::CutShort => {
                let head = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{";
                stream.write_all(head).unwrap();
            }
            Answer::Silent => {
                // Returns when the caller gives up.
                let _closed = stream.read(&mut buf);
            }
            Answer::Slow => {
                let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n";
                stream.write_all(head).unwrap();
                while stream.write_all(b" ").is_ok() {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        }
    });
    address
}

/// Guards against a finding that is missing in one of the two forms, or that has a wrong exit code.
#[parameterized(
    host = { "\"h\"", "\"h:80\"", "unmatchable_host", "routes[0].host", "without a port" },
    prefix = { "/a/", "a/", "unmatchable_prefix", "routes[0].path_prefix", "\"a/\"" },
    unused_service = { "{\"name\":\"s\"}", "{\"name\":\"s\"},{\"name\":\"x\"}", "unused_service", "services[1].name", "\"x\"" },
    no_keys = { "[\"secret-1\",\"secret-2\"]", "[]", "team_without_keys", "tenants[0].api_keys", "has no keys" },
    odd_key = { "secret-2", "secret-2\\n", "unmatchable_key", "tenants[0].api_keys[1]", "never matches" },
    keys_not_required = { "\"name\":\"a\"", "\"name\":\"a\",\"allow_anonymous\":true", "keys_not_required", "tenants[0].api_keys", "allow anonymous" },
    time_limit = { "\"timeout_ms\":3000", "\"timeout_ms\":249", "time_limit_below_objective", "routes[0].timeout_ms", "249 ms is below" },
    no_attempts = { "\"max_attempts\":4", "\"max_attempts\":0", "no_attempts", "routes[0].max_attempts", "0 attempts" },
    advice = { "\"valid_ms\":1500", "\"valid_ms\":10", "advice_expires", "routes[0].advice.valid_ms", "takes 10 ms" },
    weights = { "\"weight\":2", "\"weight\":0", "zero_weights", "tenants", "sum to 0" },
)]
fn warning_is_reported(part: &str, instead: &str, kind: &str, path: &str, text: &str) {
    let content = edited(part, instead);
    let output = check(content.as_bytes(), &[]);
    let line = stdout(&output).lines().next().unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(line.starts_with(&format!("warning: {path}: ")), "{line}");
    assert!(line.contains(text), "{line}");
    let (code, report) = check_json(content.as_bytes(), &[]);
    assert_eq!((code, &report["result"]), (Some(1), &"warnings".into()));
    let warnings = report["warnings"].as_array().unwrap();
    assert_eq!(warnings.len(), 1, "{report}");
    assert_eq!(
        (&warnings[0]["kind"], &warnings[0]["path"]),
        (&kind.into(), &path.into())
    );
    assert!(warnings[0]["text"].as_str().unwrap().contains(text));
}

/// Guards against a route whose jobs all go to longer prefixes.
#[test]
fn covered_prefix_is_reported() {
    let mut config: Json = serde_json::from_str(CONFIG).unwrap();
    let route = config["routes"][0].clone();
    for digit in "0123456789abcdef".chars() {
        let mut route = route.clone();
        route["name"] = format!("a{digit}").into();
        route["path_prefix"] = format!("/a/{digit}").into();
        config["routes"].as_array_mut().unwrap().push(route);
    }
    let (code, report) = check_json(config.to_string().as_bytes(), &[]);
    assert_eq!(code, Some(1), "{report}");
    assert_eq!(report["warnings"].as_array().unwrap().len(), 1);
    assert_eq!(report["warnings"][0]["kind"], "covered_prefix");
    assert_eq!(report["warnings"][0]["path"], "routes[0].path_prefix");
}

/// Guards against an error without its place, in either form, and against an error that stops the
/// report of the others.
#[parameterized(
    path = {
        "\"timeout_ms\":3000", "\"timeout_ms\":0",
        &["error: routes[0].timeout_ms: the time limit is not above 0"],
        r#"[{"path":"routes[0].timeout_ms","cause":"the time limit is not above 0"}]"#
    },
    position = {
        "\"host\":\"h\"", "\"host\":h",
        &["error: line 2, column 30: expected value"],
        r#"[{"line":2,"column":30,"cause":"expected value"}]"#
    },
    two = {
        "\"weight\":2,\"cap\":{\"cpu\":5}", "\"weight\":\"secret-1\",\"cap\":{\"cpu\":-5}",
        &[
            "error: tenants[0].weight: expected a number of at most 1.7e308, found a text",
            "error: tenants[0].cap.cpu: the amount is negative or above 10^15",
        ],
        r#"[{"path":"tenants[0].weight","cause":"expected a number of at most 1.7e308, found a text"},
            {"path":"tenants[0].cap.cpu","cause":"the amount is negative or above 10^15"}]"#
    },
)]
fn error_is_reported(part: &str, instead: &str, lines: &[&str], errors: &str) {
    let content = edited(part, instead);
    // A file with errors is not compared, so the address is not called.
    let output = check(content.as_bytes(), &["--in-force", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let printed = stdout(&output).lines().collect::<Vec<_>>();
    assert_eq!(printed[..printed.len() - 1], *lines);
    let (code, report) = check_json(content.as_bytes(), &[]);
    assert_eq!((code, &report["result"]), (Some(2), &"errors".into()));
    assert_eq!(
        report["errors"],
        serde_json::from_str::<Json>(errors).unwrap()
    );
}

/// Guards against a difference that is missing in one of the two forms, and against keys in either.
#[parameterized(
    version = {
        "7", "8", "difference: version: 7 -> 8",
        r#"{"section":"","name":"","change":"field","field":"version","before":7,"after":8}"#
    },
    route_field = {
        "\"timeout_ms\":3000", "\"timeout_ms\":2500", "difference: routes \"a\": timeout_ms: 3000 -> 2500",
        r#"{"section":"routes","name":"a","change":"field","field":"timeout_ms","before":3000,"after":2500}"#
    },
    fraction = {
        "\"decide_ms\":9", "\"decide_ms\":9.25", "difference: routes \"a\": advice.decide_ms: 9 -> 9.25",
        r#"{"section":"routes","name":"a","change":"field","field":"advice.decide_ms","before":9,"after":9.25}"#
    },
    service_added = {
        "{\"name\":\"s\"}", "{\"name\":\"s\"},{\"name\":\"x\"}", "difference: services \"x\": added",
        r#"{"section":"services","name":"x","change":"added"}"#
    },
    team_renamed = {
        "\"name\":\"t\"", "\"name\":\"u\\u001b\"", "difference: tenants \"t\": removed",
        r#"{"section":"tenants","name":"t","change":"removed"}"#
    },
    cap_removed = {
        "\"cpu\":5", "\"cpu\":0", "difference: tenants \"t\": cap.cpu: 5 -> 0",
        r#"{"section":"tenants","name":"t","change":"field","field":"cap.cpu","before":5,"after":0}"#
    },
    keys = {
        "\"secret-2\"", "\"secret-3\",\"secret-4\"", "difference: tenants \"t\": keys: 2 added, 1 removed",
        r#"{"section":"tenants","name":"t","change":"keys","added":2,"removed":1}"#
    },
)]
fn difference_is_reported(part: &str, instead: &str, line: &str, difference: &str) {
    let content = edited(part, instead);
    let host = || start_host(Answer::Body("200 OK", CONFIG.to_owned())).to_string();
    let output = check(content.as_bytes(), &["--in-force", &host()]);
    assert!(stdout(&output).lines().any(|l| l == line), "{output:?}");
    assert!(!stdout(&output).contains(['\u{1b}', '\r']), "{output:?}");
    assert!(!stdout(&output).contains("secret"), "{output:?}");
    let (_, report) = check_json(content.as_bytes(), &["--in-force", &host()]);
    let differences = report["differences"].as_array().unwrap();
    let expected: Json = serde_json::from_str(difference).unwrap();
    assert!(differences.contains(&expected), "{report}");
    assert_eq!(report["in_force"]["version"], 7);
    assert!(!report.to_string().contains("secret"), "{report}");
}

/// Guards against scripts that cannot tell the results of a comparison apart.
#[parameterized(
    higher_version = { "7", "8", Answer::Body("200 OK", CONFIG.to_owned()), 0, "1 difference from version 7" },
    same_version = { "7", "7", Answer::Body("200 OK", CONFIG.to_owned()), 1, "warning: version: version 7 is not higher" },
    lower_version = { "7", "6", Answer::Body("200 OK", CONFIG.to_owned()), 1, "warning: version: version 6 is not higher" },
    no_configuration_yet = { "7", "8", Answer::Body("200 OK", String::new()), 3, "no configuration is in force" },
    no_json = { "7", "8", Answer::Body("200 OK", "secret-1".to_owned()), 3, "cannot be decoded: line 1" },
    invalid = { "7", "8", Answer::Body("200 OK", edited("3000", "0")), 3, "cannot be decoded: routes[0].timeout_ms" },
    answer_too_large = { "7", "8", Answer::Body("200 OK", " ".repeat(5 << 20)), 3, "no complete answer" },
    other_status = { "7", "8", Answer::Body("503 Service Unavailable", CONFIG.to_owned()), 3, "status 503" },
    cut_short = { "7", "8", Answer::CutShort, 3, "no complete answer" },
    silent = { "7", "8", Answer::Silent, 3, "within 300 ms" },
    slow = { "7", "8", Answer::Slow, 3, "within 300 ms" },
    warnings_and_no_answer = { "\"weight\":2", "\"weight\":0", Answer::CutShort, 3, "warning: tenants" },
)]
fn comparison_has_an_exit_code(part: &str, instead: &str, answer: Answer, code: i32, text: &str) {
    // The limit of a call that is expected to be answered is generous, so that a busy machine does
    // not change the result.
    let limit = if text.contains("300") { "300" } else { "20000" };
    let address = start_host(answer).to_string();
    let args = ["--in-force", &address, "--limit-ms", limit];
    let output = check(edited(part, instead).as_bytes(), &args);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert!(stdout(&output).contains(text), "{output:?}");
    assert!(!stdout(&output).contains("secret"), "{output:?}");
}

/// Guards against a host that is down and is taken for one without differences.
#[test]
fn unreachable_host_is_no_answer() {
    let (code, report) = check_json(CONFIG.as_bytes(), &["--in-force", "127.0.0.1:1"]);
    assert_eq!((code, &report["result"]), (Some(3), &"no_answer".into()));
    assert_eq!(
        report["no_answer"],
        "127.0.0.1:1: no connection could be made"
    );
    assert_eq!(report["in_force"], Json::Null);
}

/// Guards against a clean file that is reported as anything else, and against a check that needs a
/// host.
#[test]
fn clean_file_has_exit_code_0() {
    let output = check(CONFIG.as_bytes(), &[]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(stdout(&output).ends_with("config.json: 0 errors, 0 warnings\n"));
    let (code, report) = check_json(CONFIG.as_bytes(), &[]);
    assert_eq!((code, &report["result"]), (Some(0), &"clean".into()));
}

/// Guards against a file that ends the process in another way than with a report.
#[parameterized(
    empty = { Vec::new() },
    binary = { vec![0, 255, 128, 10] },
    not_utf8 = { b"{\"version\":\xff}".to_vec() },
    nested = { vec![b'['; 100_000] },
    too_large = { vec![b' '; (4 << 20) + 1] },
)]
fn odd_file_is_an_error(content: Vec<u8>) {
    let (code, report) = check_json(&content, &[]);
    assert_eq!((code, &report["result"]), (Some(2), &"errors".into()));
    assert_eq!(report["errors"].as_array().unwrap().len(), 1, "{report}");
}

/// Guards against a mistyped command line that is taken for a check of something else.
#[parameterized(
    no_file = { &["config", "check"] },
    two_files = { &["config", "check", "a", "b"] },
    missing_file = { &["config", "check", "/nonexistent"] },
    folder = { &["config", "check", "/"] },
    address_without_port = { &["config", "check", "--in-force", "127.0.0.1", "a"] },
    no_number = { &["config", "check", "--limit-ms", "soon", "a"] },
    host_is_no_option = { &["config", "check", "--host", "127.0.0.1:1", "a"] },
)]
fn wrong_usage_has_exit_code_2(args: &[&str]) {
    let ctl = Command::new(env!("CARGO_BIN_EXE_tarragonctl"))
        .args(args)
        .output();
    let output = ctl.unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(
        output.stdout.is_empty() && !output.stderr.is_empty(),
        "{output:?}"
    );
}
