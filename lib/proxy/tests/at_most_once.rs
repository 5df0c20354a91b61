//! Requests that fail on their way run at most once and are answered truthfully.

mod common;

use common::{
    Cell, LinkFault, Script, ScriptedExecutor, announcement, call, hurried, join, keyed, standin,
    told, until,
};
use tarragon_codes::{Code, Failure};
use tarragon_standin::ExecutorFault;
use yare::parameterized;

fn answer(rest: &str) -> Script {
    Script::Write(format!("HTTP/1.1 200 OK\r\n{rest}"))
}

/// Guards against a second send after bytes had left (P5), and against a part of an answer, or the
/// answer of another request, being passed on as the whole (P3).
#[parameterized(
    closed_after_read = { Script::Write(String::new()), Code::OutcomeUnknown },
    cut_in_head = { Script::Write("HTTP/1.1 200 OK\r\ncontent-le".to_owned()), Code::OutcomeUnknown },
    garbage = { Script::Write("\0\0garbage\r\n\r\n".to_owned()), Code::OutcomeUnknown },
    cut_in_body = { answer("content-length: 10\r\n\r\nshort"), Code::CutShort },
    cut_in_chunks = { answer("transfer-encoding: chunked\r\n\r\n5\r\nshort\r\n"), Code::CutShort },
    no_stated_length = { answer("connection: close\r\n\r\nperhaps whole"), Code::CutShort },
    too_large = { answer(&format!("content-length: 1048577\r\n\r\n{}", "a".repeat(1_048_577))), Code::CutShort },
    of_another_request = { answer("x-tarragon-request: h9-1-1\r\ncontent-length: 2\r\n\r\nok"), Code::OutcomeUnknown },
    never_answered = { Script::Nothing, Code::OutcomeUnknown },
)]
#[test_macro(tokio::test)]
async fn broken_exchange(script: Script, code: Code) {
    let cell = Cell::new(1);
    let executor = ScriptedExecutor::start(script).await;
    let spare = standin("e2", 8, 0).await;
    join(&cell.hosts[0], announcement("e1", executor.address, 8));
    let outcome = cell.hosts[0].serve(hurried("a", 300)).await;
    assert_eq!(told(&outcome), Err(code));
    join(&cell.hosts[0], announcement("e2", spare.address(), 8));
    assert_eq!(executor.read(), 1);
    assert_eq!(spare.ran(), 0);
}

/// Guards against "not known" for a request that was certainly not sent, and against one dead
/// executor hiding a live one.
#[parameterized(
    alone = { false, Err(Code::NoExecutor) },
    beside_a_live_one = { true, Ok("a".to_owned()) },
)]
#[test_macro(tokio::test)]
async fn unreachable_executor(live: bool, expected: Result<String, Code>) {
    let cell = Cell::new(1);
    let gone = standin("e1", 8, 0).await;
    gone.stop();
    until(|| std::net::TcpStream::connect(gone.address()).is_err()).await;
    join(&cell.hosts[0], announcement("e1", gone.address(), 8));
    let other = standin("e2", 4, 0).await;
    if live {
        join(&cell.hosts[0], announcement("e2", other.address(), 4));
    }
    let outcome = cell.hosts[0].serve(hurried("a", 500)).await;
    if live {
        assert_eq!(told(&outcome), expected);
    } else {
        let code = told(&outcome).unwrap_err();
        assert!(matches!(code, Code::NoExecutor | Code::NoSlot), "{code:?}");
    }
    assert_eq!(gone.ran(), 0);
}

/// Guards against a late answer reaching the next request, and against the slot of a request that
/// still runs being given out.
#[tokio::test]
async fn late_answer_is_dropped_and_holds_its_slot() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let executor = ScriptedExecutor::start(Script::Gate).await;
    join(host, announcement("e1", executor.address, 1));
    let first = host.serve(hurried("first", 100)).await;
    assert_eq!(told(&first), Err(Code::OutcomeUnknown));
    let second = host.serve(hurried("second", 100)).await;
    assert_eq!(told(&second), Err(Code::NoSlot));
    assert_eq!(executor.read(), 1);
    executor.gate.add_permits(2);
    until(|| host.stats().late_answers == 1).await;
    let third = host.serve(call("third")).await;
    assert_eq!(told(&third), Ok("third".to_owned()));
    assert_eq!(
        executor.accepted.load(std::sync::atomic::Ordering::Relaxed),
        2
    );
}

/// Guards against a connection gone silent being used again.
#[tokio::test]
async fn silent_connection_is_not_used_again() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let executor = standin("e1", 8, 0).await;
    join(host, announcement("e1", executor.address(), 8));
    assert_eq!(told(&host.serve(call("a")).await), Ok("a".to_owned()));
    executor.set_fault(ExecutorFault::SilentConnections);
    // The connection is kept only once it is ready again, right after the answer. A request that
    // comes before that opens a new one and is answered.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let silent = host.serve(hurried("b", 200)).await;
    let next = host.serve(call("c")).await;
    assert_eq!(told(&next), Ok("c".to_owned()));
    assert!(matches!(told(&silent), Ok(_) | Err(Code::OutcomeUnknown)));
}

/// Guards against a repeatable request that isn't repeated, one that is repeated too often, and
/// retries beyond the budget.
#[parameterized(
    repeatable = { true, 2, 1, 2 },
    repeatable_sent_once = { true, 1, 1, 1 },
    not_repeatable = { false, 5, 1, 1 },
    budget_used_up = { true, 2, 6, 6 + 3 },
)]
#[test_macro(tokio::test)]
async fn sends_of_failing_requests(repeatable: bool, max_sends: u32, requests: u64, sends: u64) {
    let cell = Cell::new(1);
    {
        let mut entry = cell.entries.entry.lock();
        entry.repeatable = repeatable;
        entry.limits.max_sends = max_sends;
    }
    let executor = standin("e1", 64, 0).await;
    executor.set_fault(ExecutorFault::DropAfterRead);
    join(&cell.hosts[0], announcement("e1", executor.address(), 64));
    for _ in 0..requests {
        let outcome = cell.hosts[0].serve(call("a")).await;
        assert_eq!(told(&outcome), Err(Code::OutcomeUnknown));
    }
    assert_eq!(executor.ran(), sends);
}

/// Guards against a request that runs twice because its caller resent it through another host.
#[parameterized(
    answered = { ExecutorFault::None, false, Ok("a".to_owned()) },
    in_progress = { ExecutorFault::DropAfterRead, false, Err(Code::InProgress) },
    lost = { ExecutorFault::DropAfterRead, true, Err(Code::OutcomeUnknown) },
)]
#[test_macro(tokio::test)]
async fn resend_with_key(fault: ExecutorFault, expired: bool, expected: Result<String, Code>) {
    let cell = Cell::new(2);
    let executor = standin("e1", 8, 0).await;
    executor.set_fault(fault);
    join(&cell.hosts[0], announcement("e1", executor.address(), 8));
    cell.share_loads();
    let first = cell.hosts[0].serve(keyed("a", "k1")).await;
    if first.is_ok() {
        until(|| cell.keys.stored("k1").is_some()).await;
    }
    *cell.keys.expired.lock() = expired;
    let second = cell.hosts[1].serve(keyed("a", "k1")).await;
    assert_eq!(told(&second), expected);
    assert_eq!(second.is_ok_and(|reply| reply.stored), first.is_ok());
    assert_eq!(executor.ran(), 1);
    let other = cell.hosts[1].serve(keyed("another body", "k1")).await;
    assert_eq!(told(&other), Err(Code::KeyReused));
}

/// Guards against a key that stays blocked although its request was certainly not sent.
#[tokio::test]
async fn unsent_request_frees_its_key() {
    let cell = Cell::new(1);
    let refused = cell.hosts[0].serve(keyed("a", "k1")).await;
    assert_eq!(told(&refused), Err(Code::NoExecutor));
    until(|| cell.keys.stored("k1") == Some(0)).await;
    let executor = standin("e1", 8, 0).await;
    join(&cell.hosts[0], announcement("e1", executor.address(), 8));
    let again = cell.hosts[0].serve(keyed("a", "k1")).await;
    assert_eq!(told(&again), Ok("a".to_owned()));
}

/// Guards against a request sent on a claim that may belong to another, and against decisions on a
/// catalogue that is not fresh.
#[parameterized(
    claim_not_confirmed = { Some(Code::NotConfirmed), None, Code::NotConfirmed },
    key_table_full = { Some(Code::KeyTableFull), None, Code::KeyTableFull },
    catalogue_not_fresh = { None, Some(Code::CatalogueNotFresh), Code::CatalogueNotFresh },
    no_entry = { None, Some(Code::NoEntry), Code::NoEntry },
)]
#[test_macro(tokio::test)]
async fn nothing_is_sent(keys: Option<Code>, entries: Option<Code>, expected: Code) {
    let cell = Cell::new(1);
    let executor = standin("e1", 8, 0).await;
    join(&cell.hosts[0], announcement("e1", executor.address(), 8));
    *cell.keys.failure.lock() = keys.map(Failure::of);
    *cell.entries.failure.lock() = entries.map(Failure::of);
    let outcome = cell.hosts[0].serve(keyed("a", "k1")).await;
    assert_eq!(told(&outcome), Err(expected));
    assert_eq!(executor.ran(), 0);
}

/// Guards against a stored answer that is passed on in part because it was too large to keep.
#[tokio::test]
async fn large_answer_is_not_kept() {
    let cell = Cell::new(1);
    let executor = standin("e1", 8, 0).await;
    join(&cell.hosts[0], announcement("e1", executor.address(), 8));
    let body = "a".repeat(16 * 1_024 + 1);
    let first = cell.hosts[0].serve(keyed(&body, "k1")).await;
    assert_eq!(told(&first), Ok(body.clone()));
    until(|| cell.keys.stored("k1") == Some(200)).await;
    let second = cell.hosts[0].serve(keyed(&body, "k1")).await;
    assert_eq!(told(&second), Err(Code::CutShort));
    assert_eq!(executor.ran(), 1);
}

/// Guards against a forward that is sent a second time after bytes had left, and against one that is
/// given up although another home host can take it.
#[parameterized(
    healthy = { LinkFault::None, Ok("a".to_owned()), 1 },
    unreachable = { LinkFault::Unreachable, Err(Code::NoSlot), 0 },
    reply_lost = { LinkFault::ReplyLost, Err(Code::OutcomeUnknown), 1 },
)]
#[test_macro(tokio::test)]
async fn forward(fault: LinkFault, expected: Result<String, Code>, ran: u64) {
    let cell = Cell::new(3);
    let executor = standin("e1", 8, 0).await;
    join(&cell.hosts[0], announcement("e1", executor.address(), 8));
    cell.share_loads();
    *cell.peers.fault.lock() = fault;
    let outcome = cell.hosts[1].serve(hurried("a", 300)).await;
    assert_eq!(told(&outcome), expected);
    assert_eq!(executor.ran(), ran);
    // A forwarded request is not forwarded again: host 2 has no executor of its own.
    *cell.peers.fault.lock() = LinkFault::None;
    let relayed = cell.hosts[2]
        .serve_forwarded(call("b"), common::PATIENCE)
        .await;
    assert!(
        matches!(relayed, tarragon_proxy::ForwardReply::NotSent(_)),
        "{relayed:?}"
    );
}
