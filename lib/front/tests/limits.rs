//! Oversized, slow and too many requests, and the graceful shutdown.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{PATIENCE, Served, read_to_end};
use tarragon_front::FrontLimits;
use tokio::{
    io::AsyncWriteExt,
    time::{sleep, timeout},
};
use yare::parameterized;

/// A time limit that a test waits out.
const SHORT: Duration = Duration::from_millis(100);

fn short() -> FrontLimits {
    FrontLimits {
        max_connections: 2,
        max_body_bytes: 1_000,
        head_timeout: SHORT,
        body_timeout: SHORT,
        write_stall_timeout: SHORT,
        ..FrontLimits::default()
    }
}

/// Guards against a caller that fills the host's memory.
#[parameterized(
    stated_length = { format!("content-length: 1001\r\n\r\n{}", "a".repeat(1_001)), "413" },
    chunked = { format!("transfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n0\r\n\r\n", "a".repeat(1_001)), "413" },
    just_fits = { format!("content-length: 1000\r\nconnection: close\r\n\r\n{}", "a".repeat(1_000)), "200" },
    long_head = { format!("a: {}\r\n\r\n", "a".repeat(20_000)), "431" },
    many_headers = { format!("{}\r\n", "a: b\r\n".repeat(65)), "431" },
    bad_header_name = { "\0\0: x\r\n\r\n".to_owned(), "400" },
    two_lengths = { "content-length: 1\r\ncontent-length: 2\r\n\r\nab".to_owned(), "400" },
)]
#[test_macro(tokio::test)]
async fn size_is_bounded(rest: String, status: &str) {
    let served = Served::start(short()).await;
    let request = format!("POST /v1/requests/a HTTP/1.1\r\nhost: h\r\n{rest}");
    let answer = served.exchange(request.as_bytes()).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
}

/// Guards against a caller that holds a connection by being slow.
#[parameterized(
    silent = { "", "" },
    half_a_head = { "POST /v1/requests/a HTTP/1.1\r\nhost:", "" },
    half_a_body = { "POST /v1/requests/a HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nhalf", "1008" },
)]
#[test_macro(tokio::test)]
async fn slow_request_is_cut_off(bytes: &str, expected: &str) {
    let served = Served::start(short()).await;
    let answer = served.exchange(bytes.as_bytes()).await;
    assert!(answer.contains(expected), "{answer}");
    assert!(served.host_api.served.lock().is_empty());
}

/// Guards against a caller that never reads its answer and holds connection and memory.
#[tokio::test]
async fn caller_that_does_not_read_is_cut_off() {
    let served = Served::start(short()).await;
    *served.host_api.body.lock() = Bytes::from(vec![b'a'; 32 * 1_024 * 1_024]);
    let mut unread = served.connect().await;
    unread
        .write_all(b"POST /v1/requests/a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
        .await
        .unwrap();
    let _arrived = timeout(PATIENCE, served.host_api.arrived.acquire())
        .await
        .unwrap();
    served.shutdown.cancel();
    timeout(PATIENCE, served.ended).await.unwrap().unwrap();
}

/// Guards against connections without bound.
#[tokio::test]
async fn connection_beyond_the_cap_is_refused() {
    let served = Served::start(FrontLimits {
        head_timeout: PATIENCE,
        ..short()
    })
    .await;
    let held = [served.connect().await, served.connect().await];
    let mut refused = served.connect().await;
    let answer = read_to_end(&mut refused).await;
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    assert!(answer.contains(r#""code":3107"#), "{answer}");
    drop(held);
    // The places are free again once the server has seen the close.
    while served
        .call("GET /live", "", "")
        .await
        .starts_with("HTTP/1.1 429")
    {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a planned stop that cuts off a request in flight (P7), and against idle
/// connections that hold up the stop.
#[tokio::test]
async fn shutdown_finishes_requests_in_flight() {
    let served = Served::start(FrontLimits::default()).await;
    served.host_api.close_gate();
    let mut idle = served.connect().await;
    let mut busy = served.connect().await;
    busy.write_all(b"POST /v1/requests/a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
        .await
        .unwrap();
    let _arrived = timeout(PATIENCE, served.host_api.arrived.acquire())
        .await
        .unwrap();
    served.shutdown.cancel();
    assert_eq!(read_to_end(&mut idle).await, "");
    served.host_api.gate.add_permits(1);
    let answer = read_to_end(&mut busy).await;
    assert!(answer.ends_with("\r\n\r\nserved"), "{answer}");
    timeout(PATIENCE, served.ended).await.unwrap().unwrap();
}

/// Guards against a request that never ends holding up the stop for ever.
#[tokio::test]
async fn shutdown_is_bounded() {
    let served = Served::start(FrontLimits {
        drain_timeout: SHORT,
        ..FrontLimits::default()
    })
    .await;
    served.host_api.close_gate();
    let mut busy = served.connect().await;
    busy.write_all(b"POST /v1/requests/a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
        .await
        .unwrap();
    let _arrived = timeout(PATIENCE, served.host_api.arrived.acquire())
        .await
        .unwrap();
    served.shutdown.cancel();
    timeout(PATIENCE, served.ended).await.unwrap().unwrap();
}

/// Guards against a call that stops half way because its caller hangs up.
#[tokio::test]
async fn caller_that_hangs_up_does_not_stop_the_call() {
    let served = Served::start(FrontLimits::default()).await;
    served.host_api.close_gate();
    let mut gone = served.connect().await;
    gone.write_all(b"POST /v1/requests/a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
        .await
        .unwrap();
    let _arrived = timeout(PATIENCE, served.host_api.arrived.acquire())
        .await
        .unwrap();
    drop(gone);
    served.shutdown.cancel();
    timeout(PATIENCE, served.ended).await.unwrap().unwrap();
    served.host_api.gate.add_permits(1);
    while served.host_api.served.lock().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
}
