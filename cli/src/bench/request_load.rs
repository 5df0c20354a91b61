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

/// Time for which a caller waits beyond the limit that it tells the host.
const GRACE: Duration = Duration::from_millis(500);

/// Result of a load.
#[derive(Debug)]
pub(crate) struct LoadResult {
    pub(crate) sent: u64,
    /// Whole answers with status 200 within the time limit.
    pub(crate) good: u64,
    /// Time of those answers.
    pub(crate) timing: Timing,
    /// All other outcomes by code, `status` or `none`.
    pub(crate) others: BTreeMap<String, u64>,
}

/// Callers that send requests at a steady rate, whether or not earlier ones were answered.
#[derive(Clone, Debug)]
pub(crate) struct RequestLoad {
    http: Client<HttpConnector, Full<Bytes>>,
    limit: Duration,
    places: Arc<Semaphore>,
}

impl RequestLoad {
    /// Callers that wait for this long and send at most this many requests at a time; the wait for
    /// a place counts as part of the request.
    pub(crate) fn new(limit: Duration, places: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            limit,
            places: Arc::new(Semaphore::new(places)),
        }
    }

    /// Sends `rate` requests a second for `length`, then waits for the last answers.
    pub(crate) async fn run(
        &self,
        target: SocketAddr,
        rate: f64,
        length: Duration,
        into: &Arc<Mutex<LoadResult>>,
    ) {
        let start = Instant::now();
        let count = (rate * length.as_secs_f64()) as u64;
        let mut running = JoinSet::new();
        for n in 0..count {
            sleep_until(start + Duration::from_secs_f64(n as f64 / rate)).await;
            let load = self.clone();
            let into = Arc::clone(into);
            running.spawn(async move {
                let begin = Instant::now();
                let outcome = load.one(target, n).await;
                let took = begin.elapsed();
                let mut result = into.lock().unwrap_or_else(PoisonError::into_inner);
                result.sent += 1;
                match outcome {
                    Ok(()) if took <= load.limit => {
                        result.good += 1;
                        result.timing.add(took);
                    }
                    Ok(()) => *result.others.entry("late".to_owned()).or_default() += 1,
                    Err(kind) => *result.others.entry(kind).or_default() += 1,
                }
            });
        }
        while running.join_next().await.is_some() {}
    }

    async fn one(&self, target: SocketAddr, n: u64) -> Result<(), String> {
        let none = |_| "none".to_owned();
        let request = Request::post(format!("http://{target}/v1/requests/slots"))
            .header(HOST, target.to_string())
            .header("x-tarragon-timeout-ms", self.limit.as_millis() as u64)
            .body(Full::new(Bytes::from(format!("request {n}"))));
        let Ok(request) = request else {
            return Err("none".to_owned());
        };
        let exchange = async {
            let _place = self.places.acquire().await.map_err(|e| e.to_string())?;
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
        timeout(self.limit + GRACE, exchange).await.map_err(none)?
    }
}

impl LoadResult {
    pub(crate) fn shared() -> Arc<Mutex<Self>> {
        Arc::new(Mutex::new(Self {
            sent: 0,
            good: 0,
            timing: Timing::new(),
            others: BTreeMap::new(),
        }))
    }
}
