//! A request that meets a fault runs at most once, and the error says whether it may have run.

mod common;

use common::{
    Cell, LinkFault, Script, ScriptedExecutor, announcement, body_or_code, call, call_with_key,
    call_with_timeout, register, start_standin, wait_until,
};
use tarragon_codes::{Code, Failure};
use tarragon_standin::ExecutorFault;
use yare::parameterized;

fn ok_response(rest: &str) -> Script {
    Script::Write(format!("HTTP/1.1 200 OK\r\n{rest}"))
}

/// Guards against a second send after bytes of a request were sent (P5), and against returning an
/// incomplete response or the response to another request (P3).
#[parameterized(
    connection_closed_without_response = { Script::Write(String::new()), Code::OutcomeUnknown },
    cut_in_head = { Script::Write("HTTP/1.1 200 OK\r\ncontent-le".to_owned()), Code::OutcomeUnknown },
    invalid_http = { Script::Write("\0\0garbage\r\n\r\n".to_owned()), Code::OutcomeUnknown },
    cut_in_body = { ok_response("content-length: 10\r\n\r\nshort"), Code::CutShort },
    cut_in_chunks = { ok_response("transfer-encoding: chunked\r\n\r\n5\r\nshort\r\n"), Code::CutShort },
    response_without_length = { ok_response("connection: close\r\n\r\nperhaps whole"), Code::CutShort },
    response_too_large = { ok_response(&format!("content-length: 1048577\r\n\r\n{}", "a".repeat(1_048_577))), Code::CutShort },
    response_to_another_request = { ok_response("x-tarragon-request: h9-1-1\r\ncontent-length: 2\r\n\r\nok"), Code::OutcomeUnknown },
    no_response = { Script::NoResponse, Code::OutcomeUnknown },
)]
#[test_macro(tokio::test)]
async fn broken_response_is_an_error_and_not_resent(script: Script, code: Code) {
    let cell = Cell::new(1);
    let executor = ScriptedExecutor::start(script).await;
    let second = start_standin("e2", 8, 0).await;
    register(&cell.hosts[0], announcement("e1", executor.address, 8));
    let outcome = cell.hosts[0].serve(call_with_timeout("a", 300)).await;
    assert_eq!(body_or_code(&outcome), Err(code));
    register(&cell.hosts[0], announcement("e2", second.address(), 8));
    assert_eq!(executor.requests_read(), 1);
    assert_eq!(second.started_requests(), 0);
}

/// Guards against "not known" for a request that was certainly not sent, and against an unreachable
/// executor that keeps requests from a reachable one.
#[parameterized(
    only_executor = { false, Err(Code::NoExecutor) },
    beside_a_reachable_executor = { true, Ok("a".to_owned()) },
)]
#[test_macro(tokio::test)]
async fn unreachable_executor_is_skipped_or_reported(
    has_second: bool,
    expected: Result<String, Code>,
) {
    let cell = Cell::new(1);
    let unreachable = start_standin("e1", 8, 0).await;
    unreachable.stop();
    wait_until(|| std::net::TcpStream::connect(unreachable.address()).is_err()).await;
    register(&cell.hosts[0], announcement("e1", unreachable.address(), 8));
    let second = start_standin("e2", 4, 0).await;
    if has_second {
        register(&cell.hosts[0], announcement("e2", second.address(), 4));
    }
    let outcome = cell.hosts[0].serve(call_with_timeout("a", 500)).await;
    if has_second {
        assert_eq!(body_or_code(&outcome), expected);
    } else {
        let code = body_or_code(&outcome).unwrap_err();
        assert!(
            matches!(code, Code::NoExecutor | Code::NoSlot),
            "expected NoExecutor or NoSlot, got {code:?}"
        );
    }
    assert_eq!(unreachable.started_requests(), 0);
}

/// Guards against returning a late response to the next request, and against assigning the slot of a
/// request that still runs.
#[tokio::test]
async fn slot_is_kept_until_the_late_response_is_dropped() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let executor = ScriptedExecutor::start(Script::WaitForGate).await;
    register(host, announcement("e1", executor.address, 1));
    let first = host.serve(call_with_timeout("first", 100)).await;
    assert_eq!(body_or_code(&first), Err(Code::OutcomeUnknown));
    let second = host.serve(call_with_timeout("second", 100)).await;
    assert_eq!(body_or_code(&second), Err(Code::NoSlot));
    assert_eq!(executor.requests_read(), 1);
    executor.gate.add_permits(2);
    wait_until(|| host.stats().late_answers == 1).await;
    let third = host.serve(call("third")).await;
    assert_eq!(body_or_code(&third), Ok("third".to_owned()));
    assert_eq!(
        executor
            .accepted_count
            .load(std::sync::atomic::Ordering::Relaxed),
        2
    );
}

/// Guards against reusing a connection on which an executor did not answer in time.
#[tokio::test]
async fn silent_connection_is_not_used_again() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let executor = start_standin("e1", 8, 0).await;
    register(host, announcement("e1", executor.address(), 8));
    assert_eq!(
        body_or_code(&host.serve(call("a")).await),
        Ok("a".to_owned())
    );
    executor.set_fault(ExecutorFault::SilentConnections);
    // The host keeps the connection only when it is ready again, shortly after the response. An
    // earlier request would open a new connection and be answered.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let silent = host.serve(call_with_timeout("b", 200)).await;
    let next = host.serve(call("c")).await;
    assert_eq!(body_or_code(&next), Ok("c".to_owned()));
    assert!(matches!(
        body_or_code(&silent),
        Ok(_) | Err(Code::OutcomeUnknown)
    ));
}

/// Guards against a repeatable request that is not retried or retried too often, and against more
/// retries than the budget allows.
#[parameterized(
    repeatable_is_retried = { true, 2, 1, 2 },
    repeatable_with_one_send = { true, 1, 1, 1 },
    not_repeatable_is_sent_once = { false, 5, 1, 1 },
    retry_budget_is_used_up = { true, 2, 6, 6 + 3 },
)]
#[test_macro(tokio::test)]
async fn failing_requests_are_sent_as_often_as_allowed(
    repeatable: bool,
    max_sends: u32,
    requests: u64,
    sends: u64,
) {
    let cell = Cell::new(1);
    {
        let mut entry = cell.entries.entry.lock();
        entry.repeatable = repeatable;
        entry.limits.max_sends = max_sends;
    }
    let executor = start_standin("e1", 64, 0).await;
    executor.set_fault(ExecutorFault::DropAfterRead);
    register(&cell.hosts[0], announcement("e1", executor.address(), 64));
    for _ in 0..requests {
        let outcome = cell.hosts[0].serve(call("a")).await;
        assert_eq!(body_or_code(&outcome), Err(Code::OutcomeUnknown));
    }
    assert_eq!(executor.started_requests(), sends);
}

/// Guards against a request that runs twice because its caller resends it through another host.
#[parameterized(
    first_is_answered = { ExecutorFault::None, false, Ok("a".to_owned()) },
    first_is_in_progress = { ExecutorFault::DropAfterRead, false, Err(Code::InProgress) },
    first_is_lost = { ExecutorFault::DropAfterRead, true, Err(Code::OutcomeUnknown) },
)]
#[test_macro(tokio::test)]
async fn resent_request_with_key_runs_once(
    fault: ExecutorFault,
    expired: bool,
    expected: Result<String, Code>,
) {
    let cell = Cell::new(2);
    let executor = start_standin("e1", 8, 0).await;
    executor.set_fault(fault);
    register(&cell.hosts[0], announcement("e1", executor.address(), 8));
    cell.share_loads();
    let first = cell.hosts[0].serve(call_with_key("a", "k1")).await;
    if first.is_ok() {
        wait_until(|| cell.keys.stored_status("k1").is_some()).await;
    }
    *cell.keys.expired.lock() = expired;
    let second = cell.hosts[1].serve(call_with_key("a", "k1")).await;
    assert_eq!(body_or_code(&second), expected);
    assert_eq!(second.is_ok_and(|reply| reply.stored), first.is_ok());
    assert_eq!(executor.started_requests(), 1);
    let other = cell.hosts[1]
        .serve(call_with_key("another body", "k1"))
        .await;
    assert_eq!(body_or_code(&other), Err(Code::KeyReused));
}

/// Guards against a key that stays blocked although its request was certainly not sent.
#[tokio::test]
async fn unsent_request_frees_its_key() {
    let cell = Cell::new(1);
    let refused = cell.hosts[0].serve(call_with_key("a", "k1")).await;
    assert_eq!(body_or_code(&refused), Err(Code::NoExecutor));
    wait_until(|| cell.keys.stored_status("k1") == Some(0)).await;
    let executor = start_standin("e1", 8, 0).await;
    register(&cell.hosts[0], announcement("e1", executor.address(), 8));
    let again = cell.hosts[0].serve(call_with_key("a", "k1")).await;
    assert_eq!(body_or_code(&again), Ok("a".to_owned()));
}

/// Guards against sending a request whose claim of the key is not confirmed, and against decisions
/// based on a catalogue that is not fresh.
#[parameterized(
    claim_not_confirmed = { Some(Code::NotConfirmed), None, Code::NotConfirmed },
    key_table_full = { Some(Code::KeyTableFull), None, Code::KeyTableFull },
    catalogue_not_fresh = { None, Some(Code::CatalogueNotFresh), Code::CatalogueNotFresh },
    no_catalogue_entry = { None, Some(Code::NoEntry), Code::NoEntry },
)]
#[test_macro(tokio::test)]
async fn request_is_not_sent(
    key_failure: Option<Code>,
    entry_failure: Option<Code>,
    expected: Code,
) {
    let cell = Cell::new(1);
    let executor = start_standin("e1", 8, 0).await;
    register(&cell.hosts[0], announcement("e1", executor.address(), 8));
    *cell.keys.failure.lock() = key_failure.map(Failure::of);
    *cell.entries.failure.lock() = entry_failure.map(Failure::of);
    let outcome = cell.hosts[0].serve(call_with_key("a", "k1")).await;
    assert_eq!(body_or_code(&outcome), Err(expected));
    assert_eq!(executor.started_requests(), 0);
}

/// Guards against returning a part of a stored response that was too large to store.
#[tokio::test]
async fn large_response_is_not_stored() {
    let cell = Cell::new(1);
    let executor = start_standin("e1", 8, 0).await;
    register(&cell.hosts[0], announcement("e1", executor.address(), 8));
    let body = "a".repeat(16 * 1_024 + 1);
    let first = cell.hosts[0].serve(call_with_key(&body, "k1")).await;
    assert_eq!(body_or_code(&first), Ok(body.clone()));
    wait_until(|| cell.keys.stored_status("k1") == Some(200)).await;
    let second = cell.hosts[0].serve(call_with_key(&body, "k1")).await;
    assert_eq!(body_or_code(&second), Err(Code::CutShort));
    assert_eq!(executor.started_requests(), 1);
}

/// Guards against forwarding a request again after bytes of it were sent, and against a failed forward
/// although another home host has a free slot.
#[parameterized(
    healthy = { LinkFault::None, Ok("a".to_owned()), 1 },
    unreachable = { LinkFault::Unreachable, Err(Code::NoSlot), 0 },
    reply_lost = { LinkFault::ReplyLost, Err(Code::OutcomeUnknown), 1 },
)]
#[test_macro(tokio::test)]
async fn request_is_forwarded_at_most_once(
    fault: LinkFault,
    expected: Result<String, Code>,
    ran: u64,
) {
    let cell = Cell::new(3);
    let executor = start_standin("e1", 8, 0).await;
    register(&cell.hosts[0], announcement("e1", executor.address(), 8));
    cell.share_loads();
    *cell.peers.fault.lock() = fault;
    let outcome = cell.hosts[1].serve(call_with_timeout("a", 300)).await;
    assert_eq!(body_or_code(&outcome), expected);
    assert_eq!(executor.started_requests(), ran);
    // Host 2 has no executor and must not forward a forwarded request again.
    *cell.peers.fault.lock() = LinkFault::None;
    let second_forward = cell.hosts[2]
        .serve_forwarded(call("b"), common::TEST_TIMEOUT)
        .await;
    assert!(
        matches!(second_forward, tarragon_proxy::ForwardReply::NotSent(_)),
        "expected NotSent, got {second_forward:?}"
    );
}
