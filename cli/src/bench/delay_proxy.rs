use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::{Instant, sleep_until},
};

/// Delayed chunks per direction of a connection; reading pauses while this many are queued.
const MAX_QUEUED_CHUNKS: usize = 4_096;

/// Maximum size of a single read.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// TCP proxy that simulates a link between two failure domains: forwards connections with a fixed
/// delay in each direction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DelayProxy {
    /// Address to which connections are forwarded.
    pub(crate) target: SocketAddr,
    /// One-way delay.
    pub(crate) delay: Duration,
}

impl DelayProxy {
    /// Listens on a free loopback port and forwards connections until the runtime shuts down.
    pub(crate) async fn start(self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.forward(stream));
            }
        });
        Ok(address)
    }

    async fn forward(self, client: TcpStream) {
        let Ok(server) = TcpStream::connect(self.target).await else {
            return;
        };
        if client
            .set_nodelay(true)
            .and_then(|()| server.set_nodelay(true))
            .is_err()
        {
            return;
        }
        let (client_rx, client_tx) = client.into_split();
        let (server_rx, server_tx) = server.into_split();
        // When one direction ends, both connections are dropped, so that client and server both see
        // the close.
        tokio::select! {
            () = copy_delayed(client_rx, server_tx, self.delay) => {}
            () = copy_delayed(server_rx, client_tx, self.delay) => {}
        }
    }
}

/// Writes each chunk a fixed time after it was read.
async fn copy_delayed(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, delay: Duration) {
    let (chunk_tx, mut chunk_rx) = mpsc::channel::<(Instant, Bytes)>(MAX_QUEUED_CHUNKS);
    let read = async move {
        let mut buf = vec![0; MAX_CHUNK_BYTES];
        while let Ok(len) = rx.read(&mut buf).await {
            let chunk = (Instant::now() + delay, Bytes::copy_from_slice(&buf[..len]));
            if len == 0 || chunk_tx.send(chunk).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due_at, chunk)) = chunk_rx.recv().await {
            sleep_until(due_at).await;
            if tx.write_all(&chunk).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(read, write);
}
