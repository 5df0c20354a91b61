use std::{
    collections::{HashMap, VecDeque, hash_map::Entry},
    future::ready,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use futures::{SinkExt, StreamExt};
use parking_lot::RwLock;
use tarragon_names::HostName;
use tarragon_wire::{
    MAX_PEER_FRAME_BYTES,
    peer::{PeerEvent, PeerFrame},
};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{Instant, interval, sleep, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::{
    LinkObserver, LinkTiming,
    link_queue::{LinkQueue, QueuedEvent},
};

/// Delay before the next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Outgoing links to all other entry hosts.
///
/// Each link has its own connection and task. Every frame counts as a heartbeat. The other host
/// answers frames at least once per heartbeat interval, so a link without an answer for the silence
/// timeout is closed and reconnected.
#[derive(Debug)]
pub struct Links {
    own_host: HostName,
    timing: LinkTiming,
    queues: RwLock<HashMap<HostName, LinkQueue>>,
    observer: Arc<dyn LinkObserver>,
    stop: CancellationToken,
}

impl Links {
    /// Returns an empty set of links. Cancelling `stop` ends all links.
    pub fn new(
        own_host: HostName,
        timing: LinkTiming,
        observer: Arc<dyn LinkObserver>,
        stop: CancellationToken,
    ) -> Self {
        Self {
            own_host,
            timing,
            queues: RwLock::default(),
            observer,
            stop,
        }
    }

    /// Starts a link to another host unless one exists. Must be called within the Tokio runtime.
    pub fn connect(&self, host: &HostName, address: SocketAddr) {
        if *host == self.own_host || self.queues.read().contains_key(host) {
            return;
        }
        let (queue, rx) = LinkQueue::new();
        // Another thread may have started a link since the check. Its queue has to stay.
        match self.queues.write().entry(host.clone()) {
            Entry::Occupied(_) => return,
            Entry::Vacant(vacant) => vacant.insert(queue),
        };
        let link = Link {
            own_host: self.own_host.clone(),
            host: host.clone(),
            address,
            timing: self.timing,
            observer: Arc::clone(&self.observer),
            rx,
        };
        let stop = self.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(link.run()).await });
    }

    /// Queues a message for a host. It is dropped if the queue is full; every protocol on the links
    /// resends lost messages.
    pub fn send(&self, to: &HostName, event: PeerEvent) {
        let queues = self.queues.read();
        let Some(queue) = queues.get(to) else {
            return;
        };
        if !queue.push(event) {
            self.observer.dropped(to);
        }
    }

    /// Queues a message for every linked host; delivery is not guaranteed.
    pub fn broadcast(&self, event: &PeerEvent) {
        let hosts = self.queues.read().keys().cloned().collect::<Vec<_>>();
        for host in hosts {
            self.send(&host, event.clone());
        }
    }

    /// Name of this host.
    pub fn own_host(&self) -> &HostName {
        &self.own_host
    }
}

struct Link {
    own_host: HostName,
    host: HostName,
    address: SocketAddr,
    timing: LinkTiming,
    observer: Arc<dyn LinkObserver>,
    rx: mpsc::Receiver<QueuedEvent>,
}

impl Link {
    async fn run(mut self) {
        let connect_timeout = self.timing.silence_timeout;
        loop {
            if let Ok(Ok(stream)) = timeout(connect_timeout, TcpStream::connect(self.address)).await
            {
                // Nagle's algorithm would delay small frames such as heartbeats.
                let nodelay = stream.set_nodelay(true);
                if nodelay.is_ok() && !self.drive(stream).await {
                    return;
                }
            }
            self.observer.down(&self.host);
            // The queued messages are out of date, and their senders resend.
            while self.rx.try_recv().is_ok() {}
            sleep(RECONNECT_DELAY).await;
        }
    }

    /// Sends queued messages and heartbeats until the connection fails. Returns false if the queue
    /// was closed instead.
    async fn drive(&mut self, stream: TcpStream) -> bool {
        let LinkTiming {
            heartbeat_interval,
            silence_timeout,
        } = self.timing;
        let mut check_timer = interval(heartbeat_interval / 4);
        let mut last_sent_at = None::<Instant>;
        let mut frames = tarragon_wire::frames(stream, MAX_PEER_FRAME_BYTES);
        let mut last_contact = Instant::now();
        // Frames of the current message; replies are read in between.
        let mut outgoing = VecDeque::new();
        loop {
            tokio::select! {
                event = self.rx.recv(), if outgoing.is_empty() => match event {
                    Some((event, _room)) => {
                        outgoing = PeerFrame::encoded_parts(&self.own_host, Some(&event));
                    }
                    None => return false,
                },
                () = ready(()), if !outgoing.is_empty() => {}
                _ = check_timer.tick() => {
                    if last_contact.elapsed() > silence_timeout {
                        self.observer.closed_after_silence();
                        return true;
                    }
                    if last_sent_at.is_some_and(|at| at.elapsed() < heartbeat_interval) {
                        continue;
                    }
                    if outgoing.is_empty() {
                        outgoing = PeerFrame::encoded_parts(&self.own_host, None);
                    }
                }
                reply = frames.next() => match reply {
                    Some(Ok(buf)) => {
                        last_contact = Instant::now();
                        self.observer.received(&self.host, buf.len());
                        continue;
                    }
                    _ => return true,
                },
            }
            let Some(buf) = outgoing.pop_front() else {
                continue;
            };
            last_sent_at = Some(Instant::now());
            self.observer.sent(&self.host, buf.len());
            match timeout_at(Instant::now() + silence_timeout, frames.send(buf)).await {
                Ok(Ok(())) => {}
                _ => return true,
            }
        }
    }
}
