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

/// Most bytes of an answer; lists are longer than the bodies of service requests.
const ANSWER_BYTES: usize = 64 * 1_024 * 1_024;

/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(8);

/// What came of a call at one host.
enum Attempt {
    /// The host answered.
    Answered(Answer),
    /// No connection was made, so the call had no effect.
    NotSent(String),
    /// Bytes may have left; the effect is not known.
    Lost(String),
}

/// Client of the HTTP interface that knows several hosts.
///
/// A call goes to the host that answered last and moves on to the next one only where a second
/// arrival is harmless, or where the call certainly had no effect at the first host.
#[derive(Clone, Debug)]
pub struct Client {
    cfg: Arc<ClientConfig>,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    preferred: Arc<AtomicUsize>,
}

impl Client {
    /// A client of these hosts.
    pub fn new(cfg: ClientConfig) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(cfg.connect_timeout));
        connector.set_nodelay(true);
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
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

    /// Hosts that the client knows.
    pub fn hosts(&self) -> &[SocketAddr] {
        &self.cfg.hosts
    }

    /// Makes a call and reads its answer as JSON.
    pub(crate) async fn json<T>(&self, call: Call) -> Outcome<T>
    where
        T: DeserializeOwned,
    {
        self.call(call).await?.json()
    }

    /// Makes a call and drops its answer.
    pub(crate) async fn done(&self, call: Call) -> Outcome<()> {
        self.call(call).await.map(|_| ())
    }

    /// Makes a call; an answer that carries an error becomes that error.
    pub(crate) async fn call(&self, call: Call) -> Outcome<Answer> {
        let end = Instant::now() + self.cfg.timeout;
        let count = self.cfg.hosts.len();
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last = Failure::new(Code::HostUnreachable, "the client knows no host");
        for step in 0..count {
            let index = (first + step) % count;
            let host = self.cfg.hosts[index];
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            match self
                .attempt(host, &call, left.min(self.cfg.host_timeout))
                .await
            {
                Attempt::Answered(answer) => match answer.checked() {
                    Err(failure) if refused_without_effect(failure.code) => last = failure,
                    outcome => {
                        self.preferred.store(index, Ordering::Relaxed);
                        return outcome;
                    }
                },
                Attempt::NotSent(cause) => {
                    last = Failure::new(Code::HostUnreachable, format!("{host}: {cause}"));
                }
                Attempt::Lost(cause) => match call.resend {
                    Resend::Safe => {
                        last = Failure::new(Code::HostUnreachable, format!("{host}: {cause}"));
                    }
                    Resend::Unsafe(code) => {
                        return Err(Failure::new(code, format!("{host}: {cause}")));
                    }
                },
            }
        }
        Err(last)
    }

    async fn attempt(&self, host: SocketAddr, call: &Call, limit: Duration) -> Attempt {
        let request = match self.http_request(host, call) {
            Ok(request) => request,
            Err(e) => return Attempt::NotSent(e.to_string()),
        };
        let answered = async {
            let response = match self.http.request(request).await {
                Ok(response) => response,
                Err(e) if e.is_connect() => return Attempt::NotSent(cause_of(&e)),
                Err(e) => return Attempt::Lost(cause_of(&e)),
            };
            let (head, body) = response.into_parts();
            match Limited::new(body, ANSWER_BYTES).collect().await {
                Ok(body) => Attempt::Answered(Answer {
                    status: head.status,
                    code: head
                        .headers
                        .get("x-tarragon-code")
                        .and_then(|value| value.to_str().ok())
                        .and_then(|text| text.parse().ok()),
                    stored: head.headers.contains_key("x-tarragon-stored"),
                    body: body.to_bytes(),
                }),
                Err(e) => Attempt::Lost(format!("answer cut short: {e}")),
            }
        };
        timeout(limit, answered)
            .await
            .unwrap_or_else(|_| Attempt::Lost(format!("no answer within {} ms", limit.as_millis())))
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

/// Errors by which a host says that it did nothing and another host may do it.
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

fn cause_of(error: &dyn std::error::Error) -> String {
    error
        .source()
        .map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}
