//! Concurrent requests: slots, responses, queues, executors that leave or move, and the planned stop.

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Cell, LinkFault, Script, ScriptedExecutor, announcement, body_or_code, call, call_with_timeout,
    register, start_standin, wait_until,
};
use futures::future::join_all;
use tarragon_codes::{Code, Failure};
use tarragon_proxy::{ForwardReply, Proxy};
use tarragon_routing::Announcement;
use tarragon_standin::StandinExecutor;
use yare::parameterized;

/// Serves `count` concurrent requests with distinct bodies.
async fn serve_all(host: &Arc<Proxy>, count: usize) -> Vec<Result<String, Code>> {
    let requests = (0..count).map(|number| {
        let host = Arc::clone(host);
        tokio::spawn(
            async move { body_or_code(&host.serve(call(&format!("body {number}"))).await) },
        )
    });
    let outcomes = join_all(requests).await;
    outcomes.into_iter().map(Result::unwrap).collect()
}

fn expected_responses(count: usize) -> Vec<Result<String, Code>> {
    (0..count)
        .map(|number| Ok(format!("body {number}")))
        .collect()
}

/// Guards against running more requests in an executor than it has slots, and against returning a
/// response to the wrong caller (P3).
#[parameterized(
    at_the_home_host = { 0 },
    forwarded = { 1 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn slots_are_not_exceeded_and_responses_match(host: usize) {
    let cell = Cell::new(2);
    let executors = [
        start_standin("e1", 8, 2).await,
        start_standin("e2", 8, 2).await,
    ];
    for (executor, name) in executors.iter().zip(["e1", "e2"]) {
        register(&cell.hosts[0], announcement(name, executor.address(), 8));
    }
    cell.share_loads();
    let share_loads = async {
        loop {
            cell.share_loads();
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let responses = tokio::select! {
        responses = serve_all(&cell.hosts[host], 70) => responses,
        () = share_loads => unreachable!(),
    };
    assert_eq!(responses, expected_responses(70));
    let ran = executors
        .iter()
        .map(StandinExecutor::started_requests)
        .sum::<u64>();
    assert_eq!(ran, 70);
    assert!(executors.iter().all(|e| e.violations() == 0));
}

/// Guards against requests to an executor that has announced that it leaves (P6), and against losing
/// its requests in flight (P7).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn executor_leaves_under_load() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let leaving = ScriptedExecutor::start(Script::WaitForGate).await;
    let reply = register(host, announcement("e1", leaving.address, 4));
    let load = tokio::spawn({
        let host = Arc::clone(host);
        async move { serve_all(&host, 40).await }
    });
    wait_until(|| leaving.requests_read() == 4).await;
    host.announce(Announcement {
        leaving: true,
        echoed_clock: Some(reply.clock),
        ..announcement("e1", leaving.address, 4)
    })
    .unwrap();
    let staying = start_standin("e2", 8, 1).await;
    register(host, announcement("e2", staying.address(), 8));
    leaving.gate.add_permits(40);
    assert_eq!(load.await.unwrap(), expected_responses(40));
    assert_eq!(leaving.requests_read(), 4);
    assert_eq!(staying.started_requests(), 36);
}

/// Guards against an executor that gets no requests after its home host became unreachable.
#[tokio::test]
async fn executor_moves_from_an_unreachable_home_host() {
    let cell = Cell::new(2);
    let executor = start_standin("e1", 8, 0).await;
    register(&cell.hosts[0], announcement("e1", executor.address(), 8));
    cell.share_loads();
    assert!(cell.hosts[1].serve(call("a")).await.is_ok());
    *cell.peers.fault.lock() = LinkFault::Unreachable;
    let waiting = tokio::spawn({
        let host = Arc::clone(&cell.hosts[1]);
        async move { body_or_code(&host.serve(call("b")).await) }
    });
    wait_until(|| cell.hosts[1].waiting_count() == 1).await;
    register(&cell.hosts[1], announcement("e1", executor.address(), 8));
    assert_eq!(waiting.await.unwrap(), Ok("b".to_owned()));
}

/// Guards against an unbounded queue of requests that wait for a slot.
#[tokio::test]
async fn full_queue_refuses_at_once() {
    let cell = Cell::new(1);
    cell.entries.entry.lock().limits.max_waiting = 2;
    let host = &cell.hosts[0];
    let executor = ScriptedExecutor::start(Script::WaitForGate).await;
    register(host, announcement("e1", executor.address, 1));
    let load = tokio::spawn({
        let host = Arc::clone(host);
        async move { serve_all(&host, 3).await }
    });
    wait_until(|| host.waiting_count() == 2).await;
    let refused = host.serve(call("x")).await.unwrap_err();
    assert_eq!(refused.code, Code::QueueFull);
    assert!(refused.retry_after_ms.is_some());
    executor.gate.add_permits(3);
    assert_eq!(load.await.unwrap(), expected_responses(3));
    assert_eq!(executor.requests_read(), 3);
}

/// Guards against waiting for a slot beyond the deadline, and against sending a request after its
/// caller has timed out.
#[tokio::test]
async fn waiting_request_is_not_sent_after_its_deadline() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let executor = ScriptedExecutor::start(Script::WaitForGate).await;
    register(host, announcement("e1", executor.address, 1));
    let first = tokio::spawn({
        let host = Arc::clone(host);
        async move { body_or_code(&host.serve(call("a")).await) }
    });
    wait_until(|| executor.requests_read() == 1).await;
    let late = host.serve(call_with_timeout("b", 50)).await;
    assert_eq!(body_or_code(&late), Err(Code::NoSlot));
    assert_eq!(host.waiting_count(), 0);
    executor.gate.add_permits(2);
    assert_eq!(first.await.unwrap(), Ok("a".to_owned()));
    assert_eq!(executor.requests_read(), 1);
}

/// Guards against a planned stop that loses a request in flight or accepts a new one (P7).
#[tokio::test]
async fn drain_finishes_requests_in_flight() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let executor = ScriptedExecutor::start(Script::WaitForGate).await;
    let announcement = announcement("e1", executor.address, 1);
    register(host, announcement.clone());
    let first = tokio::spawn({
        let host = Arc::clone(host);
        async move { body_or_code(&host.serve(call("a")).await) }
    });
    wait_until(|| executor.requests_read() == 1).await;
    host.move_executors();
    assert!(register(host, announcement).moving);
    assert!(!host.drain(Duration::from_millis(20)).await);
    assert_eq!(
        body_or_code(&host.serve(call("b")).await),
        Err(Code::Stopping)
    );
    let forwarded = host.serve_forwarded(call("c"), common::TEST_TIMEOUT).await;
    let refused = ForwardReply::NotSent(Failure::of(Code::Stopping));
    assert_eq!(forwarded, refused);
    assert!(host.load_summary().pools.is_empty());
    executor.gate.add_permits(1);
    assert!(host.drain(common::TEST_TIMEOUT).await);
    assert_eq!(first.await.unwrap(), Ok("a".to_owned()));
}

/// Guards against counting slots that requests used in an earlier process of an executor.
#[tokio::test]
async fn restarted_executor_has_all_slots_free() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let executor = ScriptedExecutor::start(Script::NoResponse).await;
    register(host, announcement("e1", executor.address, 1));
    let lost = host.serve(call_with_timeout("a", 50)).await;
    assert_eq!(body_or_code(&lost), Err(Code::OutcomeUnknown));
    assert_eq!(host.load_summary().pools[0].free, 0);
    let restarted = start_standin("e1", 1, 0).await;
    register(
        host,
        Announcement {
            epoch: 2,
            ..announcement("e1", restarted.address(), 1)
        },
    );
    assert_eq!(
        body_or_code(&host.serve(call("b")).await),
        Ok("b".to_owned())
    );
}
