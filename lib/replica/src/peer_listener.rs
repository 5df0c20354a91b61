use std::{fmt::Debug, sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use tarragon_names::HostName;
use tarragon_wire::{
    DEFAULT_MESSAGE_BYTES, FrameAssembler,
    peer::{PeerEvent, PeerFrame},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{LinkObserver, LinkTiming, StateLimits};

/// Message size that every host takes, in bytes; records and calls of a host with more disk and memory
/// have to fit.
const MIN_MESSAGE_BYTES: u64 = 16 << 20;

/// Receiver of the messages on the links that other hosts open.
pub trait PeerSink: Debug + Send + Sync {
    /// Handles a message from `host`. Runs in the task of the link, so it must not block.
    fn receive(&self, host: &HostName, event: PeerEvent);
}

/// Accepts the links that other hosts open to this one.
#[derive(Debug)]
pub struct PeerListener {
    listener: TcpListener,
    own_host: HostName,
    timing: LinkTiming,
    observer: Arc<dyn LinkObserver>,
    max_message_bytes: usize,
}

impl PeerListener {
    /// Returns a listener for `own_host`, the name of this host, that accepts links on `listener`.
    pub fn new(
        listener: TcpListener,
        own_host: HostName,
        timing: LinkTiming,
        observer: Arc<dyn LinkObserver>,
    ) -> Self {
        Self {
            listener,
            own_host,
            timing,
            observer,
            max_message_bytes: DEFAULT_MESSAGE_BYTES,
        }
    }

    /// Sets the size of the largest message by the limits of the state, whose snapshot is one message.
    ///
    /// Ends of jobs enlarge a state at its limit, so a snapshot may be above it.
    #[must_use]
    pub fn with_state_limits(mut self, limits: StateLimits) -> Self {
        let bytes = (2 * limits.max_bytes()).max(MIN_MESSAGE_BYTES);
        self.max_message_bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        self
    }

    /// Accepts links until `stop` is cancelled; each link runs in its own task.
    pub async fn run(self, sink: Arc<dyn PeerSink>, stop: CancellationToken) {
        while let Some(accepted) = stop.run_until_cancelled(self.listener.accept()).await {
            let Ok((stream, _)) = accepted else { continue };
            let inbound = InboundLink {
                own_host: self.own_host.clone(),
                sink: Arc::clone(&sink),
                observer: Arc::clone(&self.observer),
                answer_interval: self.timing.heartbeat_interval / 2,
                silence_timeout: self.timing.silence_timeout,
                max_message_bytes: self.max_message_bytes,
            };
            let stop = stop.clone();
            tokio::spawn(async move { stop.run_until_cancelled(inbound.receive(stream)).await });
        }
    }
}

struct InboundLink {
    own_host: HostName,
    sink: Arc<dyn PeerSink>,
    observer: Arc<dyn LinkObserver>,
    /// Minimum time between two answers; frames in between are not answered.
    answer_interval: Duration,
    silence_timeout: Duration,
    max_message_bytes: usize,
}

impl InboundLink {
    /// Receives frames until the link fails or no frame arrives within the silence timeout.
    async fn receive(self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        // Hosts of earlier versions send a large message in one frame.
        let mut frames = tarragon_wire::frames(stream, self.max_message_bytes);
        let heartbeat = PeerFrame::new(&self.own_host, None).encoded();
        let mut last_answer_at = None::<Instant>;
        let mut assembler = FrameAssembler::new(self.max_message_bytes);
        while let Ok(Some(Ok(buf))) = timeout(self.silence_timeout, frames.next()).await {
            self.observer.inbound_frame(buf.len());
            let Ok((from, event)) = assembler.accept(&buf) else {
                return;
            };
            if let Some(event) = event {
                self.sink.receive(&from, event);
            }
            if last_answer_at.is_some_and(|at| at.elapsed() < self.answer_interval) {
                continue;
            }
            last_answer_at = Some(Instant::now());
            self.observer.inbound_frame(heartbeat.len());
            let Ok(Ok(())) = timeout(self.silence_timeout, frames.send(heartbeat.clone())).await
            else {
                return;
            };
        }
    }
}
