//! Callers, hosts and executors over HTTP: leaves, a planned stop and a killed host under load.

mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{Cell, Host, POOL, until};
use tarragon_client::{Client, ClientConfig};
use tarragon_codes::Code;
use tarragon_names::Millis;
use tarragon_routing::RoutingConfig;
use tarragon_standin::{ExecutorConfig, StandinExecutor};
use tokio::{runtime::Runtime, task::JoinSet};

/// Requests of a load.
const REQUESTS: usize = 200;

/// Hosts with leases that fit the beat of the executors below.
fn cell(hosts: usize) -> Cell {
    let executor_lease = Millis(300);
    Cell::with(
        hosts,
        RoutingConfig {
            executor_lease,
            newcomer_wait: executor_lease.with_clock_margin(),
            ..RoutingConfig::default()
        },
    )
}

async fn executor(name: &str, hosts: Vec<SocketAddr>) -> StandinExecutor {
    StandinExecutor::start(ExecutorConfig {
        service_time: Duration::from_millis(5),
        beat: Duration::from_millis(50),
        rejoin_spread: Duration::from_millis(10),
        ..ExecutorConfig::new(name, POOL, hosts)
    })
    .await
    .unwrap()
}

/// Sends requests with bodies of their own, some at a time, and gives what each caller was told.
async fn load(
    client: &Client,
    bodies: &'static str,
    count: usize,
) -> Vec<(String, Result<String, Code>)> {
    let places = Arc::new(tokio::sync::Semaphore::new(20));
    let mut running = JoinSet::new();
    for number in 0..count {
        let place = Arc::clone(&places).acquire_owned().await.unwrap();
        let client = client.clone();
        running.spawn(async move {
            let _place = place;
            let body = format!("{bodies} {number}");
            let name = "slots".into();
            let sent = client.request(&name, body.clone().into(), None, None).await;
            let told = sent.map(|reply| String::from_utf8_lossy(&reply.body).into_owned());
            (body, told.map_err(|failure| failure.code))
        });
    }
    running.join_all().await
}

/// No request ran twice, each answer is its caller's own, and none ran that was told not to have.
fn check(told: &[(String, Result<String, Code>)], executors: &[&StandinExecutor]) {
    let ran = executors.iter().flat_map(|executor| executor.records());
    let ran = ran.map(|record| record.body).collect::<Vec<_>>();
    for (body, outcome) in told {
        let times = ran.iter().filter(|ran| *ran == body).count();
        match outcome {
            Ok(answer) => assert_eq!((answer, times), (body, 1)),
            Err(Code::OutcomeUnknown | Code::CutShort) => {
                assert!(times <= 1, "{body}: {times} times");
            }
            Err(code) => assert_eq!(times, 0, "{body}: {code:?}"),
        }
    }
    assert!(executors.iter().all(|executor| executor.violations() == 0));
}

fn free(cell: &Cell, host: usize) -> u32 {
    cell.hosts[host]
        .load()
        .pools
        .iter()
        .map(|pool| pool.free)
        .sum()
}

/// Guards against requests that are cut off by the leave of an executor (P7), and against work sent
/// to it once its home has heard of the leave (P6).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn executor_leaves_under_load() {
    let cell = cell(1);
    let host = Host::start(&cell.hosts[0]).await;
    let leaves = executor("e1", vec![host.address]).await;
    let stays = executor("e2", vec![host.address]).await;
    until(|| free(&cell, 0) == 16).await;
    let client = Client::new(ClientConfig::new([host.address]));
    let leave = async {
        until(|| leaves.ran() > 20).await;
        leaves.announce_leave();
        until(|| {
            cell.hosts[0]
                .executors()
                .iter()
                .any(|e| e.state == "leaving")
        })
        .await;
    };
    let (told, ()) = tokio::join!(load(&client, "body", REQUESTS), leave);
    check(&told, &[&leaves, &stays]);
    assert!(told.iter().all(|(_, outcome)| outcome.is_ok()), "{told:?}");
    let ran = leaves.ran();
    let told = load(&client, "later body", REQUESTS).await;
    check(&told, &[&leaves, &stays]);
    assert_eq!(leaves.ran(), ran);
    leaves.leave().await;
}

/// Guards against requests cut off by a planned stop (P7), and against an executor that stays behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn host_stops_under_load() {
    let cell = cell(2);
    let first = Host::start(&cell.hosts[0]).await;
    let second = Host::start(&cell.hosts[1]).await;
    let executor = executor("e1", vec![first.address, second.address]).await;
    until(|| free(&cell, 0) == 8).await;
    let client = Client::new(ClientConfig::new([first.address, second.address]));
    let stop = async {
        until(|| executor.ran() > 20).await;
        cell.hosts[0].move_executors();
        until(|| {
            cell.hosts[1]
                .executors()
                .iter()
                .any(|e| e.state == "serving")
        })
        .await;
        first.shutdown.cancel();
        assert!(cell.hosts[0].drain(common::PATIENCE).await);
    };
    let (told, ()) = tokio::join!(load(&client, "body", REQUESTS), stop);
    check(&told, &[&executor]);
    let cut_off = |code: &Code| matches!(code, Code::OutcomeUnknown | Code::CutShort);
    let cut_off = told
        .iter()
        .filter(|(_, outcome)| outcome.as_ref().is_err_and(cut_off));
    assert_eq!(cut_off.count(), 0, "{told:?}");
}

/// Guards against a request that runs twice, or an untruthful answer, when a host is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn host_is_killed_under_load() {
    let cell = cell(2);
    // The end of its runtime ends all tasks of the host at once, as a kill does.
    let process = Runtime::new().unwrap();
    let proxy = Arc::clone(&cell.hosts[0]);
    let first = process.spawn(async move { Host::start(&proxy).await.address });
    let first = first.await.unwrap();
    let second = Host::start(&cell.hosts[1]).await;
    let executor = executor("e1", vec![first, second.address]).await;
    until(|| free(&cell, 0) == 8).await;
    let client = Client::new(ClientConfig::new([first, second.address]));
    let kill = async {
        until(|| executor.ran() > 20).await;
        process.shutdown_background();
    };
    let (told, ()) = tokio::join!(load(&client, "body", REQUESTS), kill);
    check(&told, &[&executor]);
    until(|| free(&cell, 1) > 0).await;
    let told = load(&client, "later body", 10).await;
    check(&told, &[&executor]);
}
