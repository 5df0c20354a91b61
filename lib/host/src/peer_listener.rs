use std::{fmt::Debug, io, net::SocketAddr, sync::Arc, time::Duration};

use tarragon_names::HostName;
use tarragon_settings::Timing;
use tarragon_wire::{
    MAX_PEER_FRAME,
    peer::{PeerEvent, PeerFrame},
};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

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
    timing: Timing,
}

impl PeerListener {
    /// Binds the address.
    pub async fn bind(address: SocketAddr, own: HostName, timing: Timing) -> io::Result<Self> {
        Ok(Self {
            listener: TcpListener::bind(address).await?,
            own,
            timing,
        })
    }

    /// Accepts links until the stop.
    pub async fn run(self, sink: Arc<dyn PeerSink>, stop: CancellationToken) {
        while let Some(accepted) = stop.run_until_cancelled(self.listener.accept()).await {
            let Ok((stream, _)) = accepted else { continue };
            let (own, sink) = (self.own.clone(), Arc::clone(&sink));
            let silent = Duration::from_millis(self.timing.link_silent.0);
            let stop = stop.clone();
            tokio::spawn(async move {
                stop.run_until_cancelled(receive(stream, own, sink, silent))
                    .await
            });
        }
    }
}

/// Receives until the link fails or falls silent.
async fn receive(stream: TcpStream, own: HostName, sink: Arc<dyn PeerSink>, silent: Duration) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut frames = tarragon_wire::frames(stream, MAX_PEER_FRAME);
    let beat = PeerFrame::new(&own, None);
    while let Ok(Ok(Some(frame))) = timeout(silent, tarragon_wire::read(&mut frames)).await {
        let Ok((from, event)) = PeerFrame::parts(frame) else {
            return;
        };
        match event {
            Some(event) => sink.receive(&from, event),
            None => match timeout(silent, tarragon_wire::write(&mut frames, &beat)).await {
                Ok(Ok(())) => {}
                _ => return,
            },
        }
    }
}
