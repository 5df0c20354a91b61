use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use parking_lot::RwLock;
use tarragon_names::HostName;
use tarragon_wire::{
    MAX_PEER_FRAME,
    peer::{PeerEvent, PeerFrame},
};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{Instant, interval, sleep, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::{LinkObserver, LinkTiming};

/// Messages that may wait for a link; more are dropped, since every protocol on it resends.
const QUEUE: usize = 4_096;

/// Time between two attempts to connect.
const RECONNECT: Duration = Duration::from_millis(200);

/// Outgoing links to all other entry hosts.
///
/// Each link has its own connection and task. Whatever is sent counts as a heartbeat, and the other
/// side answers once in each heartbeat period, so a connection that has gone silent is closed and
/// made anew.
#[derive(Debug)]
pub struct Links {
    own: HostName,
    timing: LinkTiming,
    queues: RwLock<HashMap<HostName, mpsc::Sender<PeerEvent>>>,
    meter: Arc<dyn LinkObserver>,
    stop: CancellationToken,
}

impl Links {
    /// No links yet; `stop` ends all that are made.
    pub fn new(
        own: HostName,
        timing: LinkTiming,
        meter: Arc<dyn LinkObserver>,
        stop: CancellationToken,
    ) -> Self {
        Self {
            own,
            timing,
            queues: RwLock::default(),
            meter,
            stop,
        }
    }

    /// Starts a link to another host unless there is one. Call it on the runtime's threads.
    pub fn connect(&self, host: &HostName, address: SocketAddr) {
        if *host == self.own || self.queues.read().contains_key(host) {
            return;
        }
        let (tx, rx) = mpsc::channel(QUEUE);
        if self.queues.write().insert(host.clone(), tx).is_some() {
            return;
        }
        let link = Link {
            own: self.own.clone(),
            host: host.clone(),
            address,
            timing: self.timing,
            meter: Arc::clone(&self.meter),
            rx,
        };
        let stop = self.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(link.run()).await });
    }

    /// Sends a message; it may be lost.
    pub fn send(&self, to: &HostName, event: PeerEvent) {
        let queues = self.queues.read();
        let Some(queue) = queues.get(to) else {
            return;
        };
        if queue.try_send(event).is_err() {
            self.meter.dropped(to);
        }
    }

    /// Sends a message to all other hosts; it may be lost.
    pub fn broadcast(&self, event: &PeerEvent) {
        let hosts = self.queues.read().keys().cloned().collect::<Vec<_>>();
        for host in hosts {
            self.send(&host, event.clone());
        }
    }

    /// Name of this host.
    pub fn own_host(&self) -> &HostName {
        &self.own
    }
}

struct Link {
    own: HostName,
    host: HostName,
    address: SocketAddr,
    timing: LinkTiming,
    meter: Arc<dyn LinkObserver>,
    rx: mpsc::Receiver<PeerEvent>,
}

impl Link {
    async fn run(mut self) {
        let limit = self.timing.silence_timeout;
        loop {
            if let Ok(Ok(stream)) = timeout(limit, TcpStream::connect(self.address)).await {
                // Small heartbeats must not wait for a full segment.
                let nodelay = stream.set_nodelay(true);
                if nodelay.is_ok() && !self.drive(stream).await {
                    return;
                }
            }
            self.meter.down(&self.host);
            // What waited for the broken connection is out of date, and its senders resend.
            while self.rx.try_recv().is_ok() {}
            sleep(RECONNECT).await;
        }
    }

    /// Sends until the connection fails; false once the queue is closed.
    async fn drive(&mut self, stream: TcpStream) -> bool {
        let LinkTiming {
            heartbeat_interval,
            silence_timeout,
        } = self.timing;
        let mut due = interval(heartbeat_interval / 4);
        let mut sent = None::<Instant>;
        let mut frames = tarragon_wire::frames(stream, MAX_PEER_FRAME);
        let mut heard = Instant::now();
        loop {
            let frame = tokio::select! {
                event = self.rx.recv() => match event {
                    Some(event) => PeerFrame::new(&self.own, Some(&event)),
                    None => return false,
                },
                _ = due.tick() => {
                    if heard.elapsed() > silence_timeout {
                        self.meter.closed_after_silence();
                        return true;
                    }
                    if sent.is_some_and(|sent| sent.elapsed() < heartbeat_interval) {
                        continue;
                    }
                    PeerFrame::new(&self.own, None)
                }
                reply = frames.next() => match reply {
                    Some(Ok(buf)) => {
                        heard = Instant::now();
                        self.meter.received(&self.host, buf.len());
                        continue;
                    }
                    _ => return true,
                },
            };
            sent = Some(Instant::now());
            let buf = frame.encoded();
            self.meter.sent(&self.host, buf.len());
            match timeout_at(Instant::now() + silence_timeout, frames.send(buf)).await {
                Ok(Ok(())) => {}
                _ => return true,
            }
        }
    }
}
