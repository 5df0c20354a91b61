//! Many requests at a time: slots, own answers, leaves, moves, queues and the planned stop.

mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Cell, LinkFault, Script, ScriptedExecutor, announcement, call, hurried, join, standin, told,
    until,
};
use futures::future::join_all;
use tarragon_codes::{Code, Failure};
use tarragon_proxy::{ForwardReply, Proxy};
use tarragon_routing::Announcement;
use tarragon_standin::StandinExecutor;
use yare::parameterized;

/// Serves requests with bodies of their own at a time.
async fn serve_all(host: &Arc<Proxy>, count: usize) -> Vec<Result<String, Code>> {
    let requests = (0..count).map(|number| {
        let host = Arc::clone(host);
        tokio::spawn(async move { told(&host.serve(call(&format!("body {number}"))).await) })
    });
    let ended = join_all(requests).await;
    ended.into_iter().map(Result::unwrap).collect()
}

fn own_answers(count: usize) -> Vec<Result<String, Code>> {
    (0..count)
        .map(|number| Ok(format!("body {number}")))
        .collect()
}

/// Guards against more requests in an executor than it has slots, and against answers that reach
/// the wrong caller (P3).
#[parameterized(
    at_home = { 0 },
    forwarded = { 1 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn slots_hold_and_answers_fit(host: usize) {
    let cell = Cell::new(2);
    let executors = [standin("e1", 8, 2).await, standin("e2", 8, 2).await];
    for (executor, name) in executors.iter().zip(["e1", "e2"]) {
        join(&cell.hosts[0], announcement(name, executor.address(), 8));
    }
    cell.share_loads();
    let sharing = async {
        loop {
            cell.share_loads();
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let answers = tokio::select! {
        answers = serve_all(&cell.hosts[host], 70) => answers,
        () = sharing => unreachable!(),
    };
    assert_eq!(answers, own_answers(70));
    let ran = executors.iter().map(StandinExecutor::ran).sum::<u64>();
    assert_eq!(ran, 70);
    assert!(executors.iter().all(|e| e.violations() == 0));
}

/// Guards against requests to an executor that has announced its leave (P6), and against requests in
/// flight that are cut off by it (P7).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn executor_leaves_under_load() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let leaving = ScriptedExecutor::start(Script::Gate).await;
    let reply = join(host, announcement("e1", leaving.address, 4));
    let load = tokio::spawn({
        let host = Arc::clone(host);
        async move { serve_all(&host, 40).await }
    });
    until(|| leaving.read() == 4).await;
    host.announce(Announcement {
        leaving: true,
        echo: Some(reply.clock),
        ..announcement("e1", leaving.address, 4)
    })
    .unwrap();
    let stays = standin("e2", 8, 1).await;
    join(host, announcement("e2", stays.address(), 8));
    leaving.gate.add_permits(40);
    assert_eq!(load.await.unwrap(), own_answers(40));
    assert_eq!(leaving.read(), 4);
    assert_eq!(stays.ran(), 36);
}

/// Guards against an executor that stays unused after its home host has vanished.
#[tokio::test]
async fn home_host_vanishes() {
    let cell = Cell::new(2);
    let executor = standin("e1", 8, 0).await;
    join(&cell.hosts[0], announcement("e1", executor.address(), 8));
    cell.share_loads();
    assert!(cell.hosts[1].serve(call("a")).await.is_ok());
    *cell.peers.fault.lock() = LinkFault::Unreachable;
    let waiting = tokio::spawn({
        let host = Arc::clone(&cell.hosts[1]);
        async move { told(&host.serve(call("b")).await) }
    });
    until(|| cell.hosts[1].waiting() == 1).await;
    join(&cell.hosts[1], announcement("e1", executor.address(), 8));
    assert_eq!(waiting.await.unwrap(), Ok("b".to_owned()));
}

/// Guards against a queue without bound, and against waiting for a slot beyond the deadline.
#[tokio::test]
async fn full_queue_refuses_at_once() {
    let cell = Cell::new(1);
    cell.entries.entry.lock().limits.max_waiting = 2;
    let host = &cell.hosts[0];
    let executor = ScriptedExecutor::start(Script::Gate).await;
    join(host, announcement("e1", executor.address, 1));
    let load = tokio::spawn({
        let host = Arc::clone(host);
        async move { serve_all(&host, 3).await }
    });
    until(|| host.waiting() == 2).await;
    let refused = host.serve(call("x")).await.unwrap_err();
    assert_eq!(refused.code, Code::QueueFull);
    assert!(refused.retry_after_ms.is_some());
    executor.gate.add_permits(3);
    assert_eq!(load.await.unwrap(), own_answers(3));
    assert_eq!(executor.read(), 3);
}

/// Guards against a request that is sent after its caller has given up.
#[tokio::test]
async fn waiting_request_is_not_sent_after_its_deadline() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let executor = ScriptedExecutor::start(Script::Gate).await;
    join(host, announcement("e1", executor.address, 1));
    let first = tokio::spawn({
        let host = Arc::clone(host);
        async move { told(&host.serve(call("a")).await) }
    });
    until(|| executor.read() == 1).await;
    let late = host.serve(hurried("b", 50)).await;
    assert_eq!(told(&late), Err(Code::NoSlot));
    assert_eq!(host.waiting(), 0);
    executor.gate.add_permits(2);
    assert_eq!(first.await.unwrap(), Ok("a".to_owned()));
    assert_eq!(executor.read(), 1);
}

/// Guards against a planned stop that cuts off a request in flight or takes a new one (P7).
#[tokio::test]
async fn drain_finishes_requests_in_flight() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let executor = ScriptedExecutor::start(Script::Gate).await;
    let announced = announcement("e1", executor.address, 1);
    join(host, announced.clone());
    let first = tokio::spawn({
        let host = Arc::clone(host);
        async move { told(&host.serve(call("a")).await) }
    });
    until(|| executor.read() == 1).await;
    host.move_executors();
    assert!(join(host, announced).moving);
    assert!(!host.drain(Duration::from_millis(20)).await);
    assert_eq!(told(&host.serve(call("b")).await), Err(Code::Stopping));
    let forwarded = host.serve_forwarded(call("c"), common::PATIENCE).await;
    let refused = ForwardReply::NotSent(Failure::of(Code::Stopping));
    assert_eq!(forwarded, refused);
    assert!(host.load().pools.is_empty());
    executor.gate.add_permits(1);
    assert!(host.drain(common::PATIENCE).await);
    assert_eq!(first.await.unwrap(), Ok("a".to_owned()));
}

/// Guards against slots of an executor's earlier process counting against its next one.
#[tokio::test]
async fn restarted_executor_has_all_its_slots() {
    let cell = Cell::new(1);
    let host = &cell.hosts[0];
    let executor = ScriptedExecutor::start(Script::Nothing).await;
    join(host, announcement("e1", executor.address, 1));
    let lost = host.serve(hurried("a", 50)).await;
    assert_eq!(told(&lost), Err(Code::OutcomeUnknown));
    assert_eq!(host.load().pools[0].free, 0);
    let restarted = standin("e1", 1, 0).await;
    join(
        host,
        Announcement {
            epoch: 2,
            ..announcement("e1", restarted.address(), 1)
        },
    );
    assert_eq!(told(&host.serve(call("b")).await), Ok("b".to_owned()));
}
