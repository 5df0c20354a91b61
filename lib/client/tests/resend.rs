//! Failover of the client: a call is sent to a second host only if a second arrival is harmless.

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

/// Behaviour of the fake host towards a call.
#[derive(Clone, Copy, Debug)]
enum HostBehaviour {
    /// Accepts no connection.
    Unreachable,
    /// Reads the call and closes the connection.
    Closes,
    /// Reads the call and never answers.
    Silent,
    /// Answers with this text.
    Answers(&'static str),
}

/// Call that the test makes.
#[derive(Clone, Copy, Debug)]
enum Call {
    Read,
    Submit,
    SubmitWithKey,
    Request,
    RequestWithKey,
}

const STOPPING_ANSWER: &str = "HTTP/1.1 503 Service Unavailable\r\nx-tarragon-code: 5104\r\n\
    content-length: 29\r\n\r\n{\"code\":5104,\"cause\":\"stops\"}";
const INCOMPLETE_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{";
const QUEUE_FULL_ANSWER: &str = "HTTP/1.1 503 Service Unavailable\r\nx-tarragon-code: 3101\r\n\
    content-length: 28\r\n\r\n{\"code\":3101,\"cause\":\"full\"}";
const ACCEPTED_ANSWER: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 30\r\n\r\n\
    {\"job\":\"j12\",\"state\":\"queued\"}";

/// Guards against a write that takes effect twice because the client sent it to another host, and
/// against a client that gives up although another host could answer.
#[parameterized(
    read_unreachable = { HostBehaviour::Unreachable, Call::Read, None },
    read_closed = { HostBehaviour::Closes, Call::Read, None },
    read_silent = { HostBehaviour::Silent, Call::Read, None },
    read_incomplete = { HostBehaviour::Answers(INCOMPLETE_ANSWER), Call::Read, None },
    submit_unreachable = { HostBehaviour::Unreachable, Call::Submit, None },
    submit_refused = { HostBehaviour::Answers(STOPPING_ANSWER), Call::Submit, None },
    submit_closed = { HostBehaviour::Closes, Call::Submit, Some(Code::NotConfirmed) },
    submit_silent = { HostBehaviour::Silent, Call::Submit, Some(Code::NotConfirmed) },
    submit_incomplete = { HostBehaviour::Answers(INCOMPLETE_ANSWER), Call::Submit, Some(Code::NotConfirmed) },
    submit_with_key_closed = { HostBehaviour::Closes, Call::SubmitWithKey, None },
    submit_full = { HostBehaviour::Answers(QUEUE_FULL_ANSWER), Call::SubmitWithKey, Some(Code::QueueFull) },
    request_unreachable = { HostBehaviour::Unreachable, Call::Request, None },
    request_closed = { HostBehaviour::Closes, Call::Request, Some(Code::OutcomeUnknown) },
    request_silent = { HostBehaviour::Silent, Call::Request, Some(Code::OutcomeUnknown) },
    request_with_key_closed = { HostBehaviour::Closes, Call::RequestWithKey, None },
)]
#[test_macro(tokio::test)]
async fn second_host_gets_only_harmless_calls(
    first: HostBehaviour,
    call: Call,
    expected_failure: Option<Code>,
) {
    let (address, _) = start_host(first).await;
    let (second, arrived) = start_host(HostBehaviour::Answers(ACCEPTED_ANSWER)).await;
    let client = Client::new(ClientConfig {
        host_timeout: Duration::from_millis(200),
        ..ClientConfig::new([address, second])
    });
    let outcome = make_call(&client, call).await;
    assert_eq!(outcome.err(), expected_failure);
    let expected_arrivals = usize::from(expected_failure.is_none());
    assert_eq!(arrived.load(Ordering::Relaxed), expected_arrivals);
}

/// Guards against a client that tries a failed host first on each call.
#[tokio::test]
async fn host_that_answered_is_preferred() {
    let (failing, first_arrived) = start_host(HostBehaviour::Closes).await;
    let (second, _) = start_host(HostBehaviour::Answers(ACCEPTED_ANSWER)).await;
    let client = Client::new(ClientConfig::new([failing, second]));
    for _ in 0..3 {
        make_call(&client, Call::SubmitWithKey).await.unwrap();
    }
    assert_eq!(first_arrived.load(Ordering::Relaxed), 1);
}

async fn make_call(client: &Client, call: Call) -> Result<(), Code> {
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
        // The fake host answers with a submission, which cannot be parsed as a job: the error shows
        // that the answer arrived.
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

/// Starts a fake host; the counter holds the number of calls that reached it.
async fn start_host(behaviour: HostBehaviour) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let arrived = Arc::<AtomicUsize>::default();
    if matches!(behaviour, HostBehaviour::Unreachable) {
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
                    match behaviour {
                        HostBehaviour::Unreachable | HostBehaviour::Closes => return,
                        HostBehaviour::Silent => std::future::pending().await,
                        HostBehaviour::Answers(INCOMPLETE_ANSWER) => {
                            let _sent = stream.write_all(INCOMPLETE_ANSWER.as_bytes()).await;
                            return;
                        }
                        HostBehaviour::Answers(text) => {
                            let _sent = stream.write_all(text.as_bytes()).await;
                        }
                    }
                }
            });
        }
    });
    (address, arrived)
}
