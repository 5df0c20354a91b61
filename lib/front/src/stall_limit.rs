use std::{
    fmt, io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// A stream that fails with `TimedOut` if a write or flush makes no progress for `limit`.
///
/// Without this limit, a caller that stops reading its answer could keep its connection and the
/// memory of the answer indefinitely.
pub(crate) struct StallLimit {
    stream: TcpStream,
    limit: Duration,
    /// Runs while a write is pending; `None` while writes make progress.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl StallLimit {
    pub(crate) fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            stall_timer: None,
        }
    }

    /// Passes the result of a write on, or fails once writes have been pending for `limit`.
    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.stall_timer = None;
            return poll;
        }
        let limit = self.limit;
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the peer accepted no bytes within the time limit",
        )))
    }
}

impl AsyncRead for StallLimit {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallLimit {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_stall(cx, poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_stall(cx, poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(cx);
        self.check_stall(cx, poll)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.check_stall(cx, poll)
    }
}

impl fmt::Debug for StallLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StallLimit")
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}
