use std::{future::pending, net::SocketAddr, time::Duration};

use tarragon_leases::{WORKER_HEARTBEAT_INTERVAL, WorkerOrder, WorkerReport};
use tarragon_names::WorkerName;
use tarragon_wire::{
    Frames, MAX_WORKER_FRAME_BYTES, WireError, frames, read,
    worker::{OrderFrame, ReportFrame},
    write,
};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};

/// Time without a frame to the gateway after which an empty one is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a frame from the gateway after which the connection is dropped.
///
/// It spans three heartbeat intervals, because an idle gateway sends only answers to heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3 * WORKER_HEARTBEAT_INTERVAL.0);

/// Timeout for opening a connection and for writing a frame.
const IO_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection of a worker to its gateway; holds `None` while no connection is open.
#[derive(Debug, Default)]
pub struct WorkerLink(Option<OpenLink>);

#[derive(Debug)]
struct OpenLink {
    frames: Frames<TcpStream>,
    last_contact_at: Instant,
    last_sent_at: Instant,
}

impl WorkerLink {
    /// Connects to a gateway; returns `None` if the attempt fails or times out.
    pub async fn open(gateway: SocketAddr) -> Option<Self> {
        let stream = timeout(IO_TIMEOUT, TcpStream::connect(gateway))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let now = Instant::now();
        Some(Self(Some(OpenLink {
            frames: frames(stream, MAX_WORKER_FRAME_BYTES),
            last_contact_at: now,
            last_sent_at: now,
        })))
    }

    /// Whether a connection is open.
    pub fn is_open(&self) -> bool {
        self.0.is_some()
    }

    /// Closes the connection, if one is open.
    pub fn close(&mut self) {
        self.0 = None;
    }

    /// Sends a report; the report is lost if no connection is open or the connection fails.
    pub async fn send(&mut self, worker: &WorkerName, report: &WorkerReport) {
        self.write(ReportFrame::new(worker, report)).await;
    }

    /// Closes the connection if the gateway has been silent for `SILENCE_TIMEOUT`; otherwise sends an
    /// empty frame if nothing was sent for `KEEP_ALIVE_INTERVAL`.
    pub async fn keep_alive(&mut self, worker: &WorkerName) {
        let Some(open) = &self.0 else {
            return;
        };
        if open.last_contact_at.elapsed() >= SILENCE_TIMEOUT {
            self.close();
        } else if open.last_sent_at.elapsed() >= KEEP_ALIVE_INTERVAL {
            let worker = worker.to_string();
            self.write(ReportFrame {
                worker,
                report: None,
            })
            .await;
        }
    }

    /// Waits for the next order; returns `None` when the connection has been closed.
    ///
    /// Never returns if no connection is open at the call. Cancel safe: dropping the future loses no
    /// frame.
    pub async fn next_order(&mut self) -> Option<WorkerOrder> {
        loop {
            let Some(open) = &mut self.0 else {
                return pending().await;
            };
            let silence = sleep_until(open.last_contact_at + SILENCE_TIMEOUT);
            let frame = tokio::select! {
                frame = read::<_, OrderFrame>(&mut open.frames) => frame,
                () = silence => Ok(None),
            };
            open.last_contact_at = Instant::now();
            match frame.and_then(|frame| frame.map(OrderFrame::into_order).transpose()) {
                Ok(Some(Some(order))) => return Some(order),
                Ok(Some(None)) => {}
                Ok(None) | Err(_) => {
                    self.close();
                    return None;
                }
            }
        }
    }

    async fn write(&mut self, frame: ReportFrame) {
        let Some(open) = &mut self.0 else {
            return;
        };
        open.last_sent_at = Instant::now();
        let written: Result<Result<(), WireError>, _> =
            timeout(IO_TIMEOUT, write(&mut open.frames, &frame)).await;
        if !matches!(written, Ok(Ok(()))) {
            self.close();
        }
    }
}
