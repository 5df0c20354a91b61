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

/// Chunks on their way in one direction of one connection.
const IN_FLIGHT: usize = 4_096;

/// Largest chunk that is read at a time, in bytes.
const CHUNK: usize = 16 << 10;

/// Fake of a link between two failure domains: passes connections on with a fixed delay each way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DelayLine {
    /// Where connections go.
    pub(crate) target: SocketAddr,
    /// Delay one way.
    pub(crate) delay: Duration,
}

impl DelayLine {
    /// Listens on a free port and passes connections on for as long as the runtime lives.
    pub(crate) async fn start(self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.pass_on(stream));
            }
        });
        Ok(address)
    }

    async fn pass_on(self, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target).await else {
            return;
        };
        if near
            .set_nodelay(true)
            .and_then(|()| far.set_nodelay(true))
            .is_err()
        {
            return;
        }
        let (near_rx, near_tx) = near.into_split();
        let (far_rx, far_tx) = far.into_split();
        // When one direction ends, both halves are dropped, so the other side sees the end too.
        tokio::select! {
            () = copy(near_rx, far_tx, self.delay) => {}
            () = copy(far_rx, near_tx, self.delay) => {}
        }
    }
}

/// Copies each chunk a fixed time after it arrived.
async fn copy(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, delay: Duration) {
    let (queue, mut due) = mpsc::channel::<(Instant, Bytes)>(IN_FLIGHT);
    let read = async move {
        let mut buf = vec![0; CHUNK];
        while let Ok(len) = rx.read(&mut buf).await {
            let chunk = (Instant::now() + delay, Bytes::copy_from_slice(&buf[..len]));
            if len == 0 || queue.send(chunk).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((at, chunk)) = due.recv().await {
            sleep_until(at).await;
            if tx.write_all(&chunk).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(read, write);
}
