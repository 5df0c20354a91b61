use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
    serde_transport,
    tokio_serde::formats::Bincode,
};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::HostName;
use tarragon_settings::{HostAddress, HostSettings};
use tarragon_wire::control::ControlClient;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::LengthDelimitedCodec;

use crate::{LinkMeter, metered_stream::MeteredStream};

/// Maximum size of a message of a call between hosts: a request body of 64 MiB, and 1 MiB for the
/// other fields.
pub(crate) const MAX_CONTROL_FRAME_BYTES: usize = 65 << 20;

/// Failure of a call to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallFailure {
    /// The call was not sent or the server did not run it, so it has no effect.
    NotSent(Failure),
    /// The call may have taken effect.
    Ambiguous(Failure),
}

impl CallFailure {
    /// Returns the failure to report to callers.
    pub fn into_failure(self) -> Failure {
        match self {
            Self::NotSent(failure) | Self::Ambiguous(failure) => failure,
        }
    }
}

/// Clients for calls to the other entry hosts, with one connection to each host.
///
/// After a failed call, for example a timeout, the client is dropped, so that the next call opens a
/// new connection.
#[derive(Debug)]
pub struct ControlClients {
    hosts: HashMap<HostName, HostAddress>,
    clients: Mutex<HashMap<HostName, ControlClient>>,
    connect_timeout: Duration,
    meter: Arc<LinkMeter>,
}

impl ControlClients {
    /// Creates clients for the hosts of the settings; each connects on first use.
    pub fn new(cfg: &HostSettings, meter: Arc<LinkMeter>) -> Self {
        Self {
            hosts: cfg
                .hosts
                .iter()
                .map(|host| (host.name.clone(), host.clone()))
                .collect(),
            clients: Mutex::new(HashMap::new()),
            connect_timeout: Duration::from_millis(cfg.timing.link_silence_timeout.0),
            meter,
        }
    }

    /// Makes a call that ends within `timeout`, the time to connect included.
    pub async fn call<F, R, T>(
        &self,
        host: &HostName,
        timeout: Duration,
        call: F,
    ) -> Result<T, CallFailure>
    where
        F: FnOnce(ControlClient, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + timeout;
        let client = self
            .client(host, timeout)
            .await
            .map_err(CallFailure::NotSent)?;
        let mut cx = context::current();
        cx.deadline = deadline;
        call(client, cx).await.map_err(|e| {
            self.clients.lock().remove(host);
            let cause = format!("call to {host} failed: {e}");
            match e {
                RpcError::Server(_) => CallFailure::NotSent(Failure::new(Code::Internal, cause)),
                _ => CallFailure::Ambiguous(Failure::new(Code::HostUnreachable, cause)),
            }
        })
    }

    async fn client(&self, host: &HostName, call_timeout: Duration) -> Outcome<ControlClient> {
        if let Some(client) = self.clients.lock().get(host) {
            return Ok(client.clone());
        }
        let unreachable = |cause: &str| {
            Failure::new(
                Code::HostUnreachable,
                format!("cannot connect to {host}: {cause}"),
            )
        };
        let address = self
            .hosts
            .get(host)
            .ok_or_else(|| unreachable("not listed in settings"))?;
        let stream = timeout(
            call_timeout.min(self.connect_timeout),
            TcpStream::connect(address.control),
        )
        .await
        .map_err(|_elapsed| unreachable("timed out"))?
        .map_err(|e| unreachable(&e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| unreachable(&e.to_string()))?;
        let stream = MeteredStream::new(stream, Some(host.clone()), Arc::clone(&self.meter));
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_CONTROL_FRAME_BYTES)
            .new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let client = ControlClient::new(client::Config::default(), transport).spawn();
        self.clients.lock().insert(host.clone(), client.clone());
        Ok(client)
    }
}
