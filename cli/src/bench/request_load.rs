use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header::HOST};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep_until, timeout},
};

use super::timing::Timing;

/// Time that a caller waits beyond the timeout that it sends to the host, so that answers shortly
/// after the deadline are counted as late or by their error code.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Outcomes of the requests of one or several load runs.
#[derive(Debug)]
pub(crate) struct LoadResult {
    pub(crate) sent: u64,
    /// Complete answers with status 200 or another success status within the timeout.
    pub(crate) answered_in_time: u64,
    /// Latency of those answers.
    pub(crate) timing: Timing,
    /// Count of all other outcomes, by `late`, `none` (no answer), error code, HTTP status or
    /// client error.
    pub(crate) other_outcomes: BTreeMap<String, u64>,
}

/// Open-loop load: sends requests at a fixed rate, whether or not earlier ones were answered.
#[derive(Clone, Debug)]
pub(crate) struct RequestLoad {
    http: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    max_in_flight: Arc<Semaphore>,
}

impl RequestLoad {
    /// Creates a load with this timeout per request and at most `max_in_flight` concurrent
    /// requests. Time that a request waits for others to finish counts towards its latency.
    pub(crate) fn new(timeout: Duration, max_in_flight: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            timeout,
            max_in_flight: Arc::new(Semaphore::new(max_in_flight)),
        }
    }

    /// Sends `rate` requests per second for `duration`, then waits for the last answers.
    pub(crate) async fn run(
        &self,
        target: SocketAddr,
        rate: f64,
        duration: Duration,
        shared_result: &Arc<Mutex<LoadResult>>,
    ) {
        let start = Instant::now();
        let count = (rate * duration.as_secs_f64()) as u64;
        let mut requests = JoinSet::new();
        for n in 0..count {
            sleep_until(start + Duration::from_secs_f64(n as f64 / rate)).await;
            let caller = self.clone();
            let shared_result = Arc::clone(shared_result);
            requests.spawn(async move {
                let sent_at = Instant::now();
                let outcome = caller.send(target, n).await;
                let elapsed = sent_at.elapsed();
                let mut result = shared_result.lock().unwrap_or_else(PoisonError::into_inner);
                result.sent += 1;
                match outcome {
                    Ok(()) if elapsed <= caller.timeout => {
                        result.answered_in_time += 1;
                        result.timing.record(elapsed);
                    }
                    Ok(()) => *result.other_outcomes.entry("late".to_owned()).or_default() += 1,
                    Err(kind) => *result.other_outcomes.entry(kind).or_default() += 1,
                }
            });
        }
        while requests.join_next().await.is_some() {}
    }

    async fn send(&self, target: SocketAddr, n: u64) -> Result<(), String> {
        let no_answer = |_| "none".to_owned();
        let request = Request::post(format!("http://{target}/v1/requests/slots"))
            .header(HOST, target.to_string())
            .header("x-tarragon-timeout-ms", self.timeout.as_millis() as u64)
            .body(Full::new(Bytes::from(format!("request {n}"))));
        let Ok(request) = request else {
            return Err("none".to_owned());
        };
        let exchange = async {
            let _permit = self
                .max_in_flight
                .acquire()
                .await
                .map_err(|e| e.to_string())?;
            let response = self
                .http
                .request(request)
                .await
                .map_err(|e| e.to_string())?;
            let status = response.status();
            let code = response
                .headers()
                .get("x-tarragon-code")
                .and_then(|code| code.to_str().ok())
                .map(str::to_owned);
            let body = response.into_body().collect().await;
            body.map_err(|e| e.to_string())?;
            if status.is_success() {
                return Ok(());
            }
            Err(code.unwrap_or_else(|| status.as_u16().to_string()))
        };
        timeout(self.timeout + ANSWER_GRACE, exchange)
            .await
            .map_err(no_answer)?
    }
}

impl LoadResult {
    pub(crate) fn shared() -> Arc<Mutex<Self>> {
        Arc::new(Mutex::new(Self {
            sent: 0,
            answered_in_time: 0,
            timing: Timing::new(),
            other_outcomes: BTreeMap::new(),
        }))
    }
}
