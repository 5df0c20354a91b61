use std::{collections::HashMap, sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use tarragon_names::HostName;
use tarragon_settings::{HostAddress, HostSettings, Timing};
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

use crate::LinkMeter;

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
    queues: HashMap<HostName, mpsc::Sender<PeerEvent>>,
    meter: Arc<LinkMeter>,
}

impl Links {
    /// Starts a link to each other host.
    pub fn start(cfg: &HostSettings, meter: Arc<LinkMeter>, stop: &CancellationToken) -> Self {
        let mut queues = HashMap::new();
        for host in cfg.hosts.iter().filter(|host| host.name != cfg.name) {
            let (tx, rx) = mpsc::channel(QUEUE);
            let link = Link {
                own: cfg.name.clone(),
                host: host.clone(),
                timing: cfg.timing,
                meter: Arc::clone(&meter),
                rx,
            };
            let stop = stop.clone();
            tokio::spawn(async move { stop.run_until_cancelled(link.run()).await });
            queues.insert(host.name.clone(), tx);
        }
        Self {
            own: cfg.name.clone(),
            queues,
            meter,
        }
    }

    /// Sends a message; it may be lost.
    pub fn send(&self, to: &HostName, event: PeerEvent) {
        let Some(queue) = self.queues.get(to) else {
            return;
        };
        if queue.try_send(event).is_err() {
            self.meter.dropped(to);
        }
    }

    /// Sends a message to all other hosts; it may be lost.
    pub fn broadcast(&self, event: &PeerEvent) {
        for host in self.queues.keys() {
            self.send(host, event.clone());
        }
    }

    /// Name of this host.
    pub fn own(&self) -> &HostName {
        &self.own
    }
}

struct Link {
    own: HostName,
    host: HostAddress,
    timing: Timing,
    meter: Arc<LinkMeter>,
    rx: mpsc::Receiver<PeerEvent>,
}

impl Link {
    async fn run(mut self) {
        let limit = Duration::from_millis(self.timing.link_silent.0);
        loop {
            if let Ok(Ok(stream)) = timeout(limit, TcpStream::connect(self.host.peer)).await {
                // Small heartbeats must not wait for a full segment.
                let nodelay = stream.set_nodelay(true);
                if nodelay.is_ok() && !self.drive(stream).await {
                    return;
                }
            }
            self.meter.down(&self.host.name);
            // What waited for the broken connection is out of date, and its senders resend.
            while self.rx.try_recv().is_ok() {}
            sleep(RECONNECT).await;
        }
    }

    /// Sends until the connection fails; false once the queue is closed.
    async fn drive(&mut self, stream: TcpStream) -> bool {
        let silent = Duration::from_millis(self.timing.link_silent.0);
        let beat = Duration::from_millis(self.timing.link_beat.0);
        let mut due = interval(beat / 4);
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
                    if heard.elapsed() > silent {
                        self.meter.silent();
                        return true;
                    }
                    if sent.is_some_and(|sent| sent.elapsed() < beat) {
                        continue;
                    }
                    PeerFrame::new(&self.own, None)
                }
                reply = frames.next() => match reply {
                    Some(Ok(buf)) => {
                        heard = Instant::now();
                        self.meter.heard(&self.host.name, buf.len());
                        continue;
                    }
                    _ => return true,
                },
            };
            sent = Some(Instant::now());
            let buf = frame.encoded();
            self.meter.sent(&self.host.name, buf.len());
            match timeout_at(Instant::now() + silent, frames.send(buf)).await {
                Ok(Ok(())) => {}
                _ => return true,
            }
        }
    }
}
