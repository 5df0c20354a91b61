//! Each call of the HTTP interface: required token, checks of the request, answer.

mod common;

use common::{TestServer, operator_header};
use tarragon_cell::{Command, Query};
use tarragon_codes::{Code, Failure};
use tarragon_front::FrontLimits;
use tarragon_names::Revision;
use yare::parameterized;

const JOB: &str = r#"{"name":"reel/1","kind":"batch","tasks":1,
    "resources":{"cpu_milli":1,"memory_mb":1}}"#;
const ENTRY: &str = r#"{"pattern":"reel/*","owner":"reels","workloads":["batch"]}"#;
const EXECUTOR: &str = r#"{"name":"e1","pool":"p","domain":"zilina","address":"127.0.0.1:9",
    "slots":8,"connections":64,"busy":0,"leaving":false,"epoch":1}"#;
const WRITE: &str = "if-match: \"3\"\r\nx-request-id: w1\r\n";

/// Guards against a public call that is not reachable without a token or answers with a wrong status.
#[parameterized(
    submit = { "POST /v1/jobs", "", JOB, "202", r#"{"job":"j12","state":"queued"}"# },
    job_not_found = { "GET /v1/jobs/j9", "", "", "404", r#""code":1005"# },
    job_by_key = { "GET /v1/jobs?key=a%20b", "", "", "404", r#""code":1005"# },
    explain = { "GET /v1/jobs/j9/explain", "", "", "200", r#""job":"j9""# },
    cancel = { "DELETE /v1/jobs/9", "", "", "202", r#""state":"unknown""# },
    request = { "POST /v1/requests/slots/a", "", "x", "200", "served" },
    announce = { "POST /v1/executors", "", EXECUTOR, "200", r#""clock":5"# },
    metrics = { "GET /metrics", "", "", "200", "tarragon_up 1" },
    live = { "GET /live", "", "", "200", "live" },
    ready = { "GET /ready", "", "", "200", "ready" },
)]
fn public_call_needs_no_token(line: &str, headers: &str, body: &str, status: &str, expected: &str) {
    let answer = run(line, headers, body);
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains(expected), "{answer}");
}

/// Guards against an operator call that is open to anyone, and against one that no one can make.
#[parameterized(
    list_jobs = { "GET /v1/jobs?team=reels&state=queued&limit=5", "", "" },
    entries = { "GET /v1/catalogue", "", "" },
    history = { "GET /v1/catalogue/reel%2F*/history", "", "" },
    in_force = { "GET /v1/catalogue/in-force?revision=7", "", "" },
    put_entry = { "PUT /v1/catalogue/reel%2F*", WRITE, ENTRY },
    delete_entry = { "DELETE /v1/catalogue/reel%2F*", WRITE, "" },
    put_quota = { "PUT /v1/teams/reels", WRITE, r#"{"resources":{"cpu_milli":1,"memory_mb":1}}"# },
    workers = { "GET /v1/workers", "", "" },
    drain_worker = { "POST /v1/workers/w1/drain", "", "" },
    take_worker_back = { "POST /v1/workers/w1/take-back", "", "" },
    executors = { "GET /v1/executors", "", "" },
    drain_executor = { "POST /v1/executors/e1/drain", "", "" },
    hosts = { "GET /v1/hosts", "", "" },
    members = { "POST /v1/members", "", r#"{"remove":1,"add":2}"# },
    log_level = { "PUT /v1/log-level", "", r#"{"level":"debug"}"# },
)]
fn operator_call_needs_the_token(line: &str, headers: &str, body: &str) {
    for wrong in [
        "",
        "authorization: Bearer operators-tokeX\r\n",
        "authorization: Bearer \r\n",
    ] {
        let refused = run(line, &format!("{wrong}{headers}"), body);
        assert!(refused.starts_with("HTTP/1.1 401"), "{refused}");
        assert!(refused.contains("x-tarragon-code: 1004"), "{refused}");
    }
    let answer = run(line, &format!("{}{headers}", operator_header()), body);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against malformed requests that reach the replicated log.
#[parameterized(
    no_such_call = { "GET /v1/nothing", "", "", 1003 },
    wrong_method = { "PATCH /v1/jobs", "", "", 1003 },
    bad_json = { "POST /v1/jobs", "", "{", 1001 },
    unknown_field = { "POST /v1/jobs", "", r#"{"nme":"a"}"#, 1001 },
    no_tasks = { "POST /v1/jobs", "", &JOB.replace("\"tasks\":1", "\"tasks\":0"), 1001 },
    long_name = { "POST /v1/jobs", "", &JOB.replace("reel/1", &"a".repeat(257)), 1001 },
    long_pool = { "POST /v1/executors", "", &EXECUTOR.replace("\"p\"", &format!("\"{}\"", "a".repeat(257))), 1001 },
    request_kind = { "POST /v1/jobs", "", &JOB.replace("batch", "request"), 1001 },
    bad_job_id = { "GET /v1/jobs/jx", "", "", 1001 },
    bad_state = { "GET /v1/jobs?state=sleeping", "OP", "", 1001 },
    bad_percent = { "POST /v1/requests/a%2", "", "", 1001 },
    control_character = { "POST /v1/requests/a%0Ab", "", "", 1001 },
    empty_name = { "POST /v1/requests/", "", "", 1001 },
    zero_timeout = { "POST /v1/requests/a", "x-tarragon-timeout-ms: 0\r\n", "", 1001 },
    two_keys = { "POST /v1/jobs", "idempotency-key: a\r\nidempotency-key: b\r\n", JOB, 1001 },
    empty_key = { "POST /v1/jobs", "idempotency-key: \r\n", JOB, 1001 },
    no_request_id = { "PUT /v1/catalogue/reel%2F*", "OPif-match: 3\r\n", ENTRY, 1001 },
    no_revision = { "PUT /v1/catalogue/reel%2F*", "OPx-request-id: w\r\n", ENTRY, 1001 },
    other_pattern = { "PUT /v1/catalogue/other", "OPif-match: 3\r\nx-request-id: w\r\n", ENTRY, 1001 },
    executor_address = { "POST /v1/executors", "", &EXECUTOR.replace("127.0.0.1:9", "host:9"), 1001 },
    executor_port_zero = { "POST /v1/executors", "", &EXECUTOR.replace("127.0.0.1:9", "127.0.0.1:0"), 1001 },
    executor_port_out_of_range = { "POST /v1/executors", "", &EXECUTOR.replace("127.0.0.1:9", "127.0.0.1:99999"), 1001 },
    executor_slots_out_of_range = { "POST /v1/executors", "", &EXECUTOR.replace("\"slots\":8", "\"slots\":4294967296"), 1001 },
    executor_nested = { "POST /v1/executors", "", &EXECUTOR.replace("\"busy\":0", &format!("\"busy\":{}", "[".repeat(60_000))), 1001 },
    executor_without_slots = { "POST /v1/executors", "", &EXECUTOR.replace("\"slots\":8", "\"slots\":0"), 1001 },
    bad_level = { "PUT /v1/log-level", "OP", r#"{"level":"loud"}"#, 1001 },
)]
fn malformed_call_is_refused(line: &str, headers: &str, body: &str, code: u16) {
    let headers = headers.replace("OP", &operator_header());
    let answer = run(line, &headers, body);
    assert!(
        answer.contains(&format!("x-tarragon-code: {code}")),
        "{answer}"
    );
    assert!(answer.contains(&format!("\"code\":{code}")), "{answer}");
}

/// Guards against names that are truncated at a slash and revisions that do not reach the command.
#[tokio::test]
async fn names_and_revisions_arrive_unchanged() {
    let server = TestServer::start(FrontLimits::default()).await;
    server.call("POST /v1/requests/slots%2Fa/b", "", "x").await;
    assert_eq!(server.host_api.served.lock()[0].name, "slots/a/b".into());
    let headers = operator_header() + WRITE;
    server
        .call("PUT /v1/catalogue/reel%2F*", &headers, ENTRY)
        .await;
    let command = server.host_api.commands.lock()[0].clone();
    let Command::PutEntry {
        request_id,
        expected,
        entry,
    } = command
    else {
        panic!("{command:?}");
    };
    assert_eq!((&*request_id, expected), ("w1", Revision(3)));
    assert_eq!(entry.pattern.to_string(), "reel/*");
    server.call("GET /v1/jobs?key=a%20b", "", "").await;
    let query = server.host_api.queries.lock()[0].clone();
    assert_eq!(query, Query::JobByKey("a b".into()));
}

/// Guards against an unconfirmed write that is reported as a failure or a success.
#[parameterized(
    submission = { "POST /v1/jobs", "idempotency-key: k1\r\n", JOB, r#""key":"k1""# },
    entry = { "PUT /v1/catalogue/reel%2F*", "OPif-match: 3\r\nx-request-id: w\r\n", ENTRY, "" },
    cancel = { "DELETE /v1/jobs/j9", "", "", r#""job":"j9""# },
)]
#[test_macro(tokio::test)]
async fn unconfirmed_write_is_unknown(line: &str, headers: &str, body: &str, lookup_field: &str) {
    let server = TestServer::start(FrontLimits::default()).await;
    *server.host_api.failure.lock() = Some(Failure::of(Code::NotConfirmed));
    let headers = headers.replace("OP", &operator_header());
    let answer = server.call(line, &headers, body).await;
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(answer.contains(r#""state":"unknown""#), "{answer}");
    assert!(answer.contains(lookup_field), "{answer}");
}

/// Guards against refusals without `Retry-After`, on which callers would retry at once.
#[tokio::test]
async fn refusal_has_retry_after() {
    let server = TestServer::start(FrontLimits::default()).await;
    *server.host_api.failure.lock() = Some(Failure::of(Code::QueueFull).retry_after(2_100));
    let answer = server.call("POST /v1/jobs", "", JOB).await;
    assert!(answer.contains("retry-after: 3\r\n"), "{answer}");
    let not_ready = server.call("GET /ready", "", "").await;
    assert!(not_ready.starts_with("HTTP/1.1 503"), "{not_ready}");
    assert!(not_ready.contains("retry-after: 1\r\n"), "{not_ready}");
}

#[tokio::main(flavor = "current_thread")]
async fn run(line: &str, headers: &str, body: &str) -> String {
    let server = TestServer::start(FrontLimits::default()).await;
    server.call(line, headers, body).await
}
