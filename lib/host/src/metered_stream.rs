use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tarragon_names::HostName;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::LinkMeter;

/// Connection for calls between hosts that counts its bytes.
///
/// `host` is the host that this host connected to; `None` if the other host opened the connection.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    host: Option<HostName>,
    meter: Arc<LinkMeter>,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, host: Option<HostName>, meter: Arc<LinkMeter>) -> Self {
        Self {
            stream,
            host,
            meter,
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.meter.count_call_bytes(self.host.as_ref(), read);
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = polled {
            self.meter.count_call_bytes(self.host.as_ref(), written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
