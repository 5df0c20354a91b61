//! Limits on sizes, times and connections, and the graceful shutdown.

mod common;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use common::{SOCKET_TIMEOUT, TestServer, read_to_end};
use tarragon_front::{BodyBudget, FrontLimits};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::{sleep, timeout},
};
use yare::parameterized;

/// Time limit that tests let expire.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

fn small_limits() -> FrontLimits {
    FrontLimits {
        max_connections: 2,
        max_body_bytes: 1_000,
        head_timeout: SHORT_TIMEOUT,
        body_timeout: SHORT_TIMEOUT,
        write_stall_timeout: SHORT_TIMEOUT,
        ..FrontLimits::default()
    }
}

/// Guards against a caller that exhausts the host's memory with large requests.
#[parameterized(
    body_by_content_length = { format!("content-length: 1001\r\n\r\n{}", "a".repeat(1_001)), "413" },
    body_in_chunks = { format!("transfer-encoding: chunked\r\n\r\n3e9\r\n{}\r\n0\r\n\r\n", "a".repeat(1_001)), "413" },
    body_of_the_maximum = { format!("content-length: 1000\r\nconnection: close\r\n\r\n{}", "a".repeat(1_000)), "200" },
    long_head = { format!("a: {}\r\n\r\n", "a".repeat(20_000)), "431" },
    many_headers = { format!("{}\r\n", "a: b\r\n".repeat(65)), "431" },
    bad_header_name = { "\0\0: x\r\n\r\n".to_owned(), "400" },
    two_lengths = { "content-length: 1\r\ncontent-length: 2\r\n\r\nab".to_owned(), "400" },
)]
#[test_macro(tokio::test)]
async fn request_size_is_limited(rest: String, status: &str) {
    let server = TestServer::start(small_limits()).await;
    let request = format!("POST /v1/requests/a HTTP/1.1\r\nhost: h\r\n{rest}");
    let answer = server.exchange(request.as_bytes()).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
}

/// Guards against a slow caller that occupies a connection.
#[parameterized(
    silent = { "", "" },
    half_a_head = { "POST /v1/requests/a HTTP/1.1\r\nhost:", "" },
    half_a_body = { "POST /v1/requests/a HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nhalf", "1008" },
)]
#[test_macro(tokio::test)]
async fn slow_request_is_cut_off(bytes: &str, expected: &str) {
    let server = TestServer::start(small_limits()).await;
    let answer = server.exchange(bytes.as_bytes()).await;
    assert!(answer.contains(expected), "{answer}");
    assert!(server.host_api.served.lock().is_empty());
}

/// Guards against a caller that never reads its answer and so occupies a connection and memory.
#[tokio::test]
async fn caller_that_does_not_read_is_cut_off() {
    let server = TestServer::start(small_limits()).await;
    *server.host_api.body.lock() = Bytes::from(vec![b'a'; 32 * 1_024 * 1_024]);
    let mut unread = server.connect().await;
    unread
        .write_all(b"POST /v1/requests/a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
        .await
        .unwrap();
    let _arrived = timeout(SOCKET_TIMEOUT, server.host_api.arrived.acquire())
        .await
        .unwrap();
    server.shutdown.cancel();
    timeout(SOCKET_TIMEOUT, server.ended)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against an unlimited number of connections.
#[tokio::test]
async fn connection_beyond_the_limit_is_refused() {
    let server = TestServer::start(FrontLimits {
        head_timeout: SOCKET_TIMEOUT,
        ..small_limits()
    })
    .await;
    let open = [server.connect().await, server.connect().await];
    let mut refused = server.connect().await;
    let answer = read_to_end(&mut refused).await;
    assert!(answer.starts_with("HTTP/1.1 429"), "{answer}");
    assert!(answer.contains(r#""code":3107"#), "{answer}");
    drop(open);
    // The server accepts calls again once it has noticed that the connections are closed.
    while server
        .call("GET /live", "", "")
        .await
        .starts_with("HTTP/1.1 429")
    {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a planned stop that cuts off a request in flight (P7), and against idle
/// connections that delay the stop.
#[tokio::test]
async fn shutdown_finishes_requests_in_flight() {
    let server = TestServer::start(FrontLimits::default()).await;
    server.host_api.close_gate();
    let mut idle = server.connect().await;
    let mut busy = server.connect().await;
    busy.write_all(b"POST /v1/requests/a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
        .await
        .unwrap();
    let _arrived = timeout(SOCKET_TIMEOUT, server.host_api.arrived.acquire())
        .await
        .unwrap();
    server.shutdown.cancel();
    assert_eq!(read_to_end(&mut idle).await, "");
    server.host_api.gate.add_permits(1);
    let answer = read_to_end(&mut busy).await;
    assert!(answer.ends_with("\r\n\r\nserved"), "{answer}");
    timeout(SOCKET_TIMEOUT, server.ended)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against a request that never ends and blocks the stop forever.
#[tokio::test]
async fn shutdown_ends_after_the_drain_timeout() {
    let server = TestServer::start(FrontLimits {
        drain_timeout: SHORT_TIMEOUT,
        ..FrontLimits::default()
    })
    .await;
    server.host_api.close_gate();
    let mut busy = server.connect().await;
    busy.write_all(b"POST /v1/requests/a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
        .await
        .unwrap();
    let _arrived = timeout(SOCKET_TIMEOUT, server.host_api.arrived.acquire())
        .await
        .unwrap();
    server.shutdown.cancel();
    timeout(SOCKET_TIMEOUT, server.ended)
        .await
        .unwrap()
        .unwrap();
}

/// Guards against a call that is cancelled because its caller closes the connection.
#[tokio::test]
async fn closed_connection_does_not_cancel_the_call() {
    let server = TestServer::start(FrontLimits::default()).await;
    server.host_api.close_gate();
    let mut caller = server.connect().await;
    caller
        .write_all(b"POST /v1/requests/a HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n")
        .await
        .unwrap();
    let _arrived = timeout(SOCKET_TIMEOUT, server.host_api.arrived.acquire())
        .await
        .unwrap();
    drop(caller);
    server.shutdown.cancel();
    timeout(SOCKET_TIMEOUT, server.ended)
        .await
        .unwrap()
        .unwrap();
    server.host_api.gate.add_permits(1);
    while server.host_api.served.lock().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Limits with bodies of 1,000 bytes at most, and `budget_bytes` for all of them together.
fn limits_with_budget(budget_bytes: usize) -> FrontLimits {
    FrontLimits {
        max_body_bytes: 1_000,
        body_budget: Arc::new(BodyBudget::new(budget_bytes)),
        ..FrontLimits::default()
    }
}

/// A service request with the given end of its head and its body.
fn request(rest: &str) -> String {
    format!("POST /v1/requests/a HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{rest}")
}

fn with_length(bytes: usize) -> String {
    request(&format!(
        "content-length: {bytes}\r\n\r\n{}",
        "a".repeat(bytes)
    ))
}

fn in_chunks(chunks: usize) -> String {
    let chunk = format!("64\r\n{}\r\n", "a".repeat(100));
    let chunks = chunk.repeat(chunks);
    request(&format!(
        "transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
    ))
}

/// Guards against bodies that are allowed one by one and together exceed the memory of the host, on
/// one interface or on several.
#[parameterized(
    content_length = { with_length(501) },
    chunks = { in_chunks(6) },
)]
#[test_macro(tokio::test)]
async fn bodies_in_flight_are_bounded_in_bytes(second: String) {
    let limits = limits_with_budget(1_500);
    let first_server = TestServer::start(limits.clone()).await;
    let second_server = TestServer::start(limits).await;
    first_server.host_api.close_gate();
    let mut first = first_server.connect().await;
    first
        .write_all(with_length(1_000).as_bytes())
        .await
        .unwrap();
    let _arrived = timeout(SOCKET_TIMEOUT, first_server.host_api.arrived.acquire())
        .await
        .unwrap();

    let answer = second_server.exchange(second.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("x-tarragon-code: 3101"), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    assert!(second_server.host_api.served.lock().is_empty());
    let answer = second_server.exchange(with_length(500).as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");

    first_server.host_api.gate.add_permits(1);
    let answer = read_to_end(&mut first).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    // The fake hosts keep the bodies of the calls that they served.
    first_server.host_api.served.lock().clear();
    second_server.host_api.served.lock().clear();
    let answer = second_server.exchange(second.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a budget below the limit of one body, which would refuse it forever.
#[parameterized(
    content_length = { with_length(1_000) },
    chunks = { in_chunks(10) },
)]
#[test_macro(tokio::test)]
async fn body_passes_alone_whatever_the_budget(request: String) {
    let server = TestServer::start(limits_with_budget(10)).await;
    let answer = server.exchange(request.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a caller that uses up the budget with bytes that it announces and doesn't send.
#[tokio::test]
async fn announced_bytes_take_no_room() {
    let server = TestServer::start(limits_with_budget(1_000)).await;
    let mut silent = server.connect().await;
    silent
        .write_all(request("expect: 100-continue\r\ncontent-length: 1000\r\n\r\n").as_bytes())
        .await
        .unwrap();
    // The server sends this when it begins to read the body.
    let mut status = [0; 12];
    timeout(SOCKET_TIMEOUT, silent.read_exact(&mut status))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&status, b"HTTP/1.1 100");
    let answer = server.exchange(with_length(1_000).as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against bytes of an unfinished body that stay counted after it was cut off.
#[tokio::test]
async fn bytes_of_a_body_that_is_cut_off_are_released() {
    let server = TestServer::start(FrontLimits {
        body_timeout: SHORT_TIMEOUT,
        ..limits_with_budget(1_000)
    })
    .await;
    let half = format!("content-length: 1000\r\n\r\n{}", "a".repeat(600));
    let answer = server.exchange(request(&half).as_bytes()).await;
    assert!(answer.contains("1008"), "{answer}");
    let answer = server.exchange(with_length(1_000).as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
