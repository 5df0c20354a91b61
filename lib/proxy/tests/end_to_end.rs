//! Callers, hosts and executors that communicate over HTTP, under load: an executor leaves, a host
//! stops as planned, and a host is killed.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{Cell, Host, POOL, wait_until};
use tarragon_client::{Client, ClientConfig};
use tarragon_codes::Code;
use tarragon_names::Millis;
use tarragon_routing::RoutingConfig;
use tarragon_standin::{ExecutorConfig, StandinExecutor};
use tokio::{runtime::Runtime, task::JoinSet};

/// Number of requests of a load.
const REQUEST_COUNT: usize = 200;

/// Creates hosts whose executor lease is six announcement intervals of the executors below.
fn create_cell(hosts: usize) -> Cell {
    let executor_lease = Millis(300);
    Cell::with_routing(
        hosts,
        RoutingConfig {
            executor_lease,
            join_delay: executor_lease.with_clock_margin(),
            ..RoutingConfig::default()
        },
    )
}

async fn start_executor(name: &str, hosts: Vec<SocketAddr>) -> StandinExecutor {
    StandinExecutor::start(ExecutorConfig {
        service_time: Duration::from_millis(5),
        announce_interval: Duration::from_millis(50),
        max_rejoin_delay: Duration::from_millis(10),
        ..ExecutorConfig::new(name, POOL, hosts)
    })
    .await
    .unwrap()
}

/// Sends requests with distinct bodies, up to 20 at a time, and returns the outcome of each.
async fn send_load(
    client: &Client,
    bodies: &'static str,
    count: usize,
) -> Vec<(String, Result<String, Code>)> {
    let permits = Arc::new(tokio::sync::Semaphore::new(20));
    let mut running = JoinSet::new();
    for number in 0..count {
        let permit = Arc::clone(&permits).acquire_owned().await.unwrap();
        let client = client.clone();
        running.spawn(async move {
            let _permit = permit;
            let body = format!("{bodies} {number}");
            let name = "slots".into();
            let outcome = client.request(&name, body.clone().into(), None, None).await;
            let answer = outcome.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
            (body, answer.map_err(|failure| failure.code))
        });
    }
    running.join_all().await
}

/// Checks that no request ran twice, that each caller got the response to its own request, and that no
/// request ran whose error says that it was not sent.
fn check(outcomes: &[(String, Result<String, Code>)], executors: &[&StandinExecutor]) {
    let ran = executors.iter().flat_map(|executor| executor.records());
    let ran = ran.map(|record| record.body).collect::<Vec<_>>();
    for (body, outcome) in outcomes {
        let times = ran.iter().filter(|ran| *ran == body).count();
        match outcome {
            Ok(answer) => assert_eq!((answer, times), (body, 1)),
            Err(Code::OutcomeUnknown | Code::CutShort) => assert!(
                times <= 1,
                "{body} should run at most once, ran {times} times"
            ),
            Err(code) => assert_eq!(times, 0, "{body} should not run after {code:?}"),
        }
    }
    assert!(executors.iter().all(|executor| executor.violations() == 0));
}

fn free_slots(cell: &Cell, host: usize) -> u32 {
    cell.hosts[host]
        .load_summary()
        .pools
        .iter()
        .map(|pool| pool.free)
        .sum()
}

/// Guards against losing requests in flight when an executor leaves (P7), and against sending requests
/// to the executor after its home host received the leave (P6).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn executor_leaves_under_load() {
    let cell = create_cell(1);
    let host = Host::start(&cell.hosts[0]).await;
    let leaving = start_executor("e1", vec![host.address]).await;
    let staying = start_executor("e2", vec![host.address]).await;
    wait_until(|| free_slots(&cell, 0) == 16).await;
    let client = Client::new(ClientConfig::new([host.address]));
    let leave = async {
        wait_until(|| leaving.started_requests() > 20).await;
        leaving.announce_leave();
        wait_until(|| {
            cell.hosts[0]
                .executors()
                .iter()
                .any(|e| e.state == "leaving")
        })
        .await;
    };
    let (outcomes, ()) = tokio::join!(send_load(&client, "body", REQUEST_COUNT), leave);
    check(&outcomes, &[&leaving, &staying]);
    assert!(
        outcomes.iter().all(|(_, outcome)| outcome.is_ok()),
        "{outcomes:?}"
    );
    let ran = leaving.started_requests();
    let outcomes = send_load(&client, "later body", REQUEST_COUNT).await;
    check(&outcomes, &[&leaving, &staying]);
    assert_eq!(leaving.started_requests(), ran);
    leaving.leave().await;
}

/// Guards against losing requests in flight in a planned stop of a host (P7), and against an executor
/// that does not move to another home host.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn host_stops_under_load() {
    let cell = create_cell(2);
    let first = Host::start(&cell.hosts[0]).await;
    let second = Host::start(&cell.hosts[1]).await;
    let executor = start_executor("e1", vec![first.address, second.address]).await;
    wait_until(|| free_slots(&cell, 0) == 8).await;
    let client = Client::new(ClientConfig::new([first.address, second.address]));
    let stop = async {
        wait_until(|| executor.started_requests() > 20).await;
        cell.hosts[0].move_executors();
        wait_until(|| {
            cell.hosts[1]
                .executors()
                .iter()
                .any(|e| e.state == "serving")
        })
        .await;
        first.shutdown.cancel();
        assert!(cell.hosts[0].drain(common::TEST_TIMEOUT).await);
    };
    let (outcomes, ()) = tokio::join!(send_load(&client, "body", REQUEST_COUNT), stop);
    check(&outcomes, &[&executor]);
    let is_lost = |code: &Code| matches!(code, Code::OutcomeUnknown | Code::CutShort);
    let lost = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.as_ref().is_err_and(is_lost));
    assert_eq!(lost.count(), 0, "{outcomes:?}");
}

/// Guards against a request that runs twice, and against an error that wrongly says that a request was
/// not sent, when a host is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn host_is_killed_under_load() {
    let cell = create_cell(2);
    // Shutting the runtime down ends all tasks of the host at once, as a kill of its process does.
    let host_runtime = Runtime::new().unwrap();
    let proxy = Arc::clone(&cell.hosts[0]);
    let first = host_runtime.spawn(async move { Host::start(&proxy).await.address });
    let first = first.await.unwrap();
    let second = Host::start(&cell.hosts[1]).await;
    let executor = start_executor("e1", vec![first, second.address]).await;
    wait_until(|| free_slots(&cell, 0) == 8).await;
    let client = Client::new(ClientConfig::new([first, second.address]));
    let kill = async {
        wait_until(|| executor.started_requests() > 20).await;
        host_runtime.shutdown_background();
    };
    let (outcomes, ()) = tokio::join!(send_load(&client, "body", REQUEST_COUNT), kill);
    check(&outcomes, &[&executor]);
    wait_until(|| free_slots(&cell, 1) > 0).await;
    let outcomes = send_load(&client, "later body", 10).await;
    check(&outcomes, &[&executor]);
}
