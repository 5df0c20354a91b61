use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::HostName;
use tarragon_replica::Links;
use tarragon_shard::Sharded;
use tarragon_wire::{peer::PeerEvent, record};
use tokio::{sync::oneshot, time::timeout};

use crate::{Reply, Request, link_monitor::LinkMonitor};

/// Number of shards of the table of pending calls.
const PENDING_CALL_SHARDS: usize = 8;

/// Calls between hosts over their links, with their answers.
#[derive(Debug)]
pub(crate) struct Mesh {
    pub(crate) links: Arc<Links>,
    pub(crate) link_monitor: Arc<LinkMonitor>,
    next_call_id: AtomicU64,
    /// Receivers of the answers by number of the call.
    pending_calls: Sharded<HashMap<u64, oneshot::Sender<Bytes>>>,
}

impl Mesh {
    /// Creates a mesh that numbers its calls from `first_call_id`.
    ///
    /// The number differs between processes, so that a late answer to an earlier process of this
    /// host matches no call.
    pub(crate) fn new(
        links: Arc<Links>,
        link_monitor: Arc<LinkMonitor>,
        first_call_id: u64,
    ) -> Self {
        Self {
            links,
            link_monitor,
            next_call_id: AtomicU64::new(first_call_id),
            pending_calls: Sharded::new(PENDING_CALL_SHARDS, |_| HashMap::new()),
        }
    }

    /// Opens a link to a host unless one exists; the name of a host is its address.
    pub(crate) fn connect(&self, host: &HostName) {
        if let Ok(address) = host.as_str().parse::<SocketAddr>() {
            self.links.connect(host, address);
        }
    }

    /// Calls another host and waits for the answer.
    ///
    /// The call fails with `HostUnreachable` if nothing was sent. It fails with `NotConfirmed` if no
    /// answer came within `call_timeout`; the effect of the request is then unknown.
    pub(crate) async fn call(
        &self,
        host: &HostName,
        request: &Request,
        call_timeout: Duration,
    ) -> Outcome<Reply> {
        self.connect(host);
        if self.link_monitor.is_down(host) {
            return Err(Failure::of(Code::HostUnreachable));
        }
        let body = encode(request)?;
        let id = self.next_call_id.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.pending_calls.with(&id, |calls| calls.insert(id, tx));
        self.links.send(host, PeerEvent::Call { id, body });
        let answer = timeout(call_timeout, rx).await;
        self.pending_calls.with(&id, |calls| calls.remove(&id));
        match answer {
            Ok(Ok(body)) => decode::<Outcome<Reply>>(&body)?,
            _ => Err(Failure::of(Code::NotConfirmed)),
        }
    }

    /// Completes a pending call with the answer of the other host.
    pub(crate) fn complete_call(&self, id: u64, body: Bytes) {
        if let Some(answer_tx) = self.pending_calls.with(&id, |calls| calls.remove(&id)) {
            // The call may have timed out in the meantime.
            let _timed_out = answer_tx.send(body);
        }
    }

    /// Sends the answer to a call of another host.
    pub(crate) fn send_answer(&self, host: &HostName, id: u64, reply: &Outcome<Reply>) {
        self.connect(host);
        if let Ok(body) = encode(reply) {
            self.links.send(host, PeerEvent::Answer { id, body });
        }
    }
}

/// Decodes the body of a call or an answer.
pub(crate) fn decode<T>(body: &[u8]) -> Outcome<T>
where
    T: serde::de::DeserializeOwned,
{
    record::decode(body).map_err(|e| Failure::new(Code::Malformed, e.to_string()))
}

/// Encodes the body of a message to another host.
pub(crate) fn encode<T>(value: &T) -> Outcome<Bytes>
where
    T: serde::Serialize,
{
    record::encode(value).map_err(|e| Failure::new(Code::Internal, e.to_string()))
}
