//! A call reaches a second host only where a second arrival is harmless.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tarragon_cell::JobSpec;
use tarragon_client::{Client, ClientConfig};
use tarragon_codes::Code;
use tarragon_names::{JobId, Resources, Workload};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use yare::parameterized;

/// What the first host does with a call.
#[derive(Clone, Copy, Debug)]
enum Host {
    /// Accepts no connection.
    Gone,
    /// Reads the call and closes the connection.
    Closes,
    /// Reads the call and never answers.
    Silent,
    /// Answers with this text.
    Answers(&'static str),
}

/// A call to make.
#[derive(Clone, Copy, Debug)]
enum Call {
    Read,
    Submit,
    SubmitWithKey,
    Request,
    RequestWithKey,
}

const STOPPING: &str = "HTTP/1.1 503 Service Unavailable\r\nx-tarragon-code: 5104\r\n\
    content-length: 29\r\n\r\n{\"code\":5104,\"cause\":\"stops\"}";
const CUT_SHORT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{";
const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nx-tarragon-code: 3101\r\n\
    content-length: 28\r\n\r\n{\"code\":3101,\"cause\":\"full\"}";
const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 30\r\n\r\n\
    {\"job\":\"j12\",\"state\":\"queued\"}";

/// Guards against a write that has its effect twice because the client moved on to another host, and
/// against a client that gives up although another host could answer.
#[parameterized(
    read_gone = { Host::Gone, Call::Read, None },
    read_closed = { Host::Closes, Call::Read, None },
    read_silent = { Host::Silent, Call::Read, None },
    read_cut_short = { Host::Answers(CUT_SHORT), Call::Read, None },
    submit_gone = { Host::Gone, Call::Submit, None },
    submit_refused = { Host::Answers(STOPPING), Call::Submit, None },
    submit_closed = { Host::Closes, Call::Submit, Some(Code::NotConfirmed) },
    submit_silent = { Host::Silent, Call::Submit, Some(Code::NotConfirmed) },
    submit_cut_short = { Host::Answers(CUT_SHORT), Call::Submit, Some(Code::NotConfirmed) },
    submit_with_key_closed = { Host::Closes, Call::SubmitWithKey, None },
    submit_full = { Host::Answers(FULL), Call::SubmitWithKey, Some(Code::QueueFull) },
    request_gone = { Host::Gone, Call::Request, None },
    request_closed = { Host::Closes, Call::Request, Some(Code::OutcomeUnknown) },
    request_silent = { Host::Silent, Call::Request, Some(Code::OutcomeUnknown) },
    request_with_key_closed = { Host::Closes, Call::RequestWithKey, None },
)]
#[test_macro(tokio::test)]
async fn second_host(first: Host, call: Call, refused: Option<Code>) {
    let (address, _) = host(first).await;
    let (second, arrived) = host(Host::Answers(ACCEPTED)).await;
    let client = Client::new(ClientConfig {
        host_timeout: Duration::from_millis(200),
        ..ClientConfig::new([address, second])
    });
    let outcome = make(&client, call).await;
    assert_eq!(outcome.err(), refused);
    let expected = usize::from(refused.is_none());
    assert_eq!(arrived.load(Ordering::Relaxed), expected);
}

/// Guards against a client that waits for a dead host before each call.
#[tokio::test]
async fn host_that_answered_is_preferred() {
    let (gone, first_arrived) = host(Host::Closes).await;
    let (second, _) = host(Host::Answers(ACCEPTED)).await;
    let client = Client::new(ClientConfig::new([gone, second]));
    for _ in 0..3 {
        make(&client, Call::SubmitWithKey).await.unwrap();
    }
    assert_eq!(first_arrived.load(Ordering::Relaxed), 1);
}

async fn make(client: &Client, call: Call) -> Result<(), Code> {
    let spec = JobSpec {
        name: "reel/1".into(),
        kind: Workload::Batch,
        tasks: 1,
        resources: Resources::new(1, 1, 0),
        run_ms: 1,
        deadline_ms: None,
        payload: "".into(),
    };
    let key = "k1".into();
    let made = match call {
        // The answer of the fake host is no job, which shows that it came from there.
        Call::Read => match client.job(JobId(12)).await {
            Err(failure) if failure.code == Code::Internal => Ok(()),
            other => other.map(|_| ()),
        },
        Call::Submit => client.submit(&spec, None).await.map(|_| ()),
        Call::SubmitWithKey => client.submit(&spec, Some(&key)).await.map(|_| ()),
        Call::Request => {
            let body = "a".into();
            let reply = client.request(&"slots".into(), body, None, None).await;
            reply.map(|_| ())
        }
        Call::RequestWithKey => {
            let body = "a".into();
            let reply = client
                .request(&"slots".into(), body, Some(&key), None)
                .await;
            reply.map(|_| ())
        }
    };
    made.map_err(|failure| failure.code)
}

/// Starts a host; the counter holds the calls that reached it.
async fn host(kind: Host) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let arrived = Arc::<AtomicUsize>::default();
    if matches!(kind, Host::Gone) {
        return (address, arrived);
    }
    let count = Arc::clone(&arrived);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                // The calls of this test fit into one read.
                let mut buf = [0; 4_096];
                while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {
                    count.fetch_add(1, Ordering::Relaxed);
                    match kind {
                        Host::Gone | Host::Closes => return,
                        Host::Silent => std::future::pending().await,
                        Host::Answers(CUT_SHORT) => {
                            let _sent = stream.write_all(CUT_SHORT.as_bytes()).await;
                            return;
                        }
                        Host::Answers(text) => {
                            let _sent = stream.write_all(text.as_bytes()).await;
                        }
                    }
                }
            });
        }
    });
    (address, arrived)
}
