use std::{fmt::Debug, sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use tarragon_names::HostName;
use tarragon_wire::{
    MAX_PEER_FRAME,
    peer::{PeerEvent, PeerFrame},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{LinkObserver, LinkTiming};

/// Receiver of what arrives on the links of other hosts.
pub trait PeerSink: Debug + Send + Sync {
    /// Takes a message of another host.
    fn receive(&self, host: &HostName, event: PeerEvent);
}

/// Accepts the links that other hosts open to this one.
#[derive(Debug)]
pub struct PeerListener {
    listener: TcpListener,
    own: HostName,
    timing: LinkTiming,
    meter: Arc<dyn LinkObserver>,
}

impl PeerListener {
    /// Links that arrive on `listener`.
    pub fn new(
        listener: TcpListener,
        own: HostName,
        timing: LinkTiming,
        meter: Arc<dyn LinkObserver>,
    ) -> Self {
        Self {
            listener,
            own,
            timing,
            meter,
        }
    }

    /// Accepts links until the stop.
    pub async fn run(self, sink: Arc<dyn PeerSink>, stop: CancellationToken) {
        while let Some(accepted) = stop.run_until_cancelled(self.listener.accept()).await {
            let Ok((stream, _)) = accepted else { continue };
            let inbound = InboundLink {
                own: self.own.clone(),
                sink: Arc::clone(&sink),
                meter: Arc::clone(&self.meter),
                answer_interval: self.timing.heartbeat_interval / 2,
                silence_timeout: self.timing.silence_timeout,
            };
            let stop = stop.clone();
            tokio::spawn(async move { stop.run_until_cancelled(inbound.receive(stream)).await });
        }
    }
}

struct InboundLink {
    own: HostName,
    sink: Arc<dyn PeerSink>,
    meter: Arc<dyn LinkObserver>,
    /// Time between two answers.
    answer_interval: Duration,
    silence_timeout: Duration,
}

impl InboundLink {
    /// Receives until the link fails or falls silent.
    async fn receive(self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let mut frames = tarragon_wire::frames(stream, MAX_PEER_FRAME);
        let heartbeat = PeerFrame::new(&self.own, None).encoded();
        let mut answered = None::<Instant>;
        while let Ok(Some(Ok(buf))) = timeout(self.silence_timeout, frames.next()).await {
            self.meter.inbound_frame(buf.len());
            let Ok((from, event)) = PeerFrame::decode_parts(&buf) else {
                return;
            };
            if let Some(event) = event {
                self.sink.receive(&from, event);
            }
            if answered.is_some_and(|answered| answered.elapsed() < self.answer_interval) {
                continue;
            }
            answered = Some(Instant::now());
            self.meter.inbound_frame(heartbeat.len());
            let Ok(Ok(())) = timeout(self.silence_timeout, frames.send(heartbeat.clone())).await
            else {
                return;
            };
        }
    }
}
