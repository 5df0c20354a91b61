use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, header};
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::de::DeserializeOwned;
use tarragon_codes::{Code, Failure, Outcome};
use tokio::time::{Instant, timeout};

use crate::{
    ClientConfig,
    answer::Answer,
    call::{Call, Resend},
};

/// Maximum size of an answer; lists are longer than the bodies of service requests.
const MAX_ANSWER_BYTES: usize = 64 * 1_024 * 1_024;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Result of sending a call to one host.
enum AttemptOutcome {
    /// The whole answer arrived.
    Answered(Answer),
    /// Nothing was sent, so the call had no effect.
    NotSent(String),
    /// Bytes may have been sent; whether the call had an effect is unknown.
    Unknown(String),
}

/// Client of the HTTP interface for a list of hosts.
///
/// A call goes first to the host that answered last. It is sent to the next host only if the call
/// is idempotent or certainly had no effect at the previous host.
#[derive(Clone, Debug)]
pub struct Client {
    cfg: Arc<ClientConfig>,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    preferred: Arc<AtomicUsize>,
}

impl Client {
    /// Creates a client without opening connections.
    pub fn new(cfg: ClientConfig) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(cfg.connect_timeout));
        connector.set_nodelay(true);
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            cfg: Arc::new(cfg),
            http,
            preferred: Arc::default(),
        }
    }

    /// A client of one host that shares the connections of this one.
    #[must_use]
    pub fn with_host(&self, host: SocketAddr) -> Self {
        Self {
            cfg: Arc::new(ClientConfig {
                hosts: vec![host],
                ..ClientConfig::clone(&self.cfg)
            }),
            http: self.http.clone(),
            preferred: Arc::default(),
        }
    }

    /// Addresses of the hosts, in the order in which they are tried.
    pub fn hosts(&self) -> &[SocketAddr] {
        &self.cfg.hosts
    }

    /// Makes a call and parses its answer as JSON.
    pub(crate) async fn json<T>(&self, call: Call) -> Outcome<T>
    where
        T: DeserializeOwned,
    {
        self.call(call).await?.json()
    }

    /// Makes a call and discards its answer.
    pub(crate) async fn call_ignoring_answer(&self, call: Call) -> Outcome<()> {
        self.call(call).await.map(|_| ())
    }

    /// Makes a call; an answer with an error code is returned as that error.
    pub(crate) async fn call(&self, call: Call) -> Outcome<Answer> {
        let deadline = Instant::now() + self.cfg.timeout;
        let count = self.cfg.hosts.len();
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last_failure =
            Failure::new(Code::HostUnreachable, "the client has no host addresses");
        for offset in 0..count {
            let index = (first + offset) % count;
            let host = self.cfg.hosts[index];
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            match self
                .attempt(host, &call, remaining.min(self.cfg.host_timeout))
                .await
            {
                AttemptOutcome::Answered(answer) => match answer.into_result() {
                    Err(failure) if refused_without_effect(failure.code) => last_failure = failure,
                    outcome => {
                        self.preferred.store(index, Ordering::Relaxed);
                        return outcome;
                    }
                },
                AttemptOutcome::NotSent(cause) => {
                    last_failure = Failure::new(Code::HostUnreachable, format!("{host}: {cause}"));
                }
                AttemptOutcome::Unknown(cause) => match call.resend {
                    Resend::Allowed => {
                        last_failure =
                            Failure::new(Code::HostUnreachable, format!("{host}: {cause}"));
                    }
                    Resend::Forbidden(code) => {
                        return Err(Failure::new(code, format!("{host}: {cause}")));
                    }
                },
            }
        }
        Err(last_failure)
    }

    async fn attempt(
        &self,
        host: SocketAddr,
        call: &Call,
        attempt_timeout: Duration,
    ) -> AttemptOutcome {
        let request = match self.http_request(host, call) {
            Ok(request) => request,
            Err(e) => return AttemptOutcome::NotSent(e.to_string()),
        };
        let response = async {
            let response = match self.http.request(request).await {
                Ok(response) => response,
                Err(e) if e.is_connect() => return AttemptOutcome::NotSent(error_with_source(&e)),
                Err(e) => return AttemptOutcome::Unknown(error_with_source(&e)),
            };
            let (head, body) = response.into_parts();
            match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
                Ok(body) => AttemptOutcome::Answered(Answer {
                    status: head.status,
                    code: head
                        .headers
                        .get("x-tarragon-code")
                        .and_then(|value| value.to_str().ok())
                        .and_then(|text| text.parse().ok()),
                    stored: head.headers.contains_key("x-tarragon-stored"),
                    body: body.to_bytes(),
                }),
                Err(e) => AttemptOutcome::Unknown(format!("answer is incomplete: {e}")),
            }
        };
        timeout(attempt_timeout, response)
            .await
            .unwrap_or_else(|_| {
                AttemptOutcome::Unknown(format!(
                    "no answer within {} ms",
                    attempt_timeout.as_millis()
                ))
            })
    }

    fn http_request(
        &self,
        host: SocketAddr,
        call: &Call,
    ) -> hyper::http::Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{host}{}", call.path));
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        if let Some(token) = &self.cfg.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        request.body(Full::new(call.body.clone()))
    }
}

/// Whether the code says that the host did nothing and another host may accept the call.
fn refused_without_effect(code: Code) -> bool {
    matches!(
        code,
        Code::NoLeader
            | Code::NotLeader
            | Code::CatalogueNotFresh
            | Code::Stopping
            | Code::HostUnreachable
    )
}

/// Text of an error and of its source, which often holds the actual cause.
fn error_with_source(error: &dyn std::error::Error) -> String {
    error
        .source()
        .map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}
