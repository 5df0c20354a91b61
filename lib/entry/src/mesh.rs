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

use crate::{Reply, Request, mesh_meter::MeshMeter};

/// Shards of the table of open calls.
const SHARDS: usize = 8;

/// Calls between hosts over their links.
#[derive(Debug)]
pub(crate) struct Mesh {
    pub(crate) links: Arc<Links>,
    pub(crate) meter: Arc<MeshMeter>,
    next: AtomicU64,
    waiters: Sharded<HashMap<u64, oneshot::Sender<Bytes>>>,
}

impl Mesh {
    /// `first` differs between processes, so that a late answer to an earlier process of this host
    /// matches no call.
    pub(crate) fn new(links: Arc<Links>, meter: Arc<MeshMeter>, first: u64) -> Self {
        Self {
            links,
            meter,
            next: AtomicU64::new(first),
            waiters: Sharded::new(SHARDS, |_| HashMap::new()),
        }
    }

    /// Makes sure that there is a link to a host.
    pub(crate) fn connect(&self, host: &HostName) {
        if let Ok(address) = host.as_str().parse::<SocketAddr>() {
            self.links.connect(host, address);
        }
    }

    /// Makes a call to another host.
    ///
    /// `HostUnreachable` means that nothing was sent; after `NotConfirmed` the effect is unknown.
    pub(crate) async fn call(
        &self,
        host: &HostName,
        request: &Request,
        limit: Duration,
    ) -> Outcome<Reply> {
        self.connect(host);
        if self.meter.is_down(host) {
            return Err(Failure::of(Code::HostUnreachable));
        }
        let body = encode(request)?;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.waiters.with(&id, |waiters| waiters.insert(id, tx));
        self.links.send(host, PeerEvent::Call { id, body });
        let answer = timeout(limit, rx).await;
        self.waiters.with(&id, |waiters| waiters.remove(&id));
        match answer {
            Ok(Ok(body)) => decode::<Outcome<Reply>>(&body)?,
            _ => Err(Failure::of(Code::NotConfirmed)),
        }
    }

    /// Passes on the answer to a call.
    pub(crate) fn answered(&self, id: u64, body: Bytes) {
        if let Some(waiter) = self.waiters.with(&id, |waiters| waiters.remove(&id)) {
            // The caller may have given up.
            let _gone = waiter.send(body);
        }
    }

    /// Sends the answer to a call of another host.
    pub(crate) fn answer(&self, host: &HostName, id: u64, reply: &Outcome<Reply>) {
        self.connect(host);
        if let Ok(body) = encode(reply) {
            self.links.send(host, PeerEvent::Answer { id, body });
        }
    }
}

/// Reads a call of another host.
pub(crate) fn decode<T>(body: &[u8]) -> Outcome<T>
where
    T: serde::de::DeserializeOwned,
{
    record::decode(body).map_err(|e| Failure::new(Code::Malformed, e.to_string()))
}

fn encode<T>(value: &T) -> Outcome<Bytes>
where
    T: serde::Serialize,
{
    record::encode(value).map_err(|e| Failure::new(Code::Internal, e.to_string()))
}
