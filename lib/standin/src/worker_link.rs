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

/// Time between two frames to the gateway, at most.
const LINK_BEAT: Duration = Duration::from_millis(250);

/// Time without a frame after which the gateway is given up: three answers to heartbeats, since a
/// gateway sends nothing else while there is no work.
const LINK_SILENT: Duration = Duration::from_millis(3 * WORKER_HEARTBEAT_INTERVAL.0);

/// Time limit for opening a connection and for writing a frame.
const STALLED: Duration = Duration::from_secs(1);

/// Connection of a worker to its gateway, if there is one.
#[derive(Debug, Default)]
pub struct WorkerLink(Option<Open>);

#[derive(Debug)]
struct Open {
    frames: Frames<TcpStream>,
    heard: Instant,
    sent: Instant,
}

impl WorkerLink {
    /// Opens a connection.
    pub async fn open(gateway: SocketAddr) -> Option<Self> {
        let stream = timeout(STALLED, TcpStream::connect(gateway))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let now = Instant::now();
        Some(Self(Some(Open {
            frames: frames(stream, MAX_WORKER_FRAME_BYTES),
            heard: now,
            sent: now,
        })))
    }

    /// Tells whether a connection is open.
    pub fn is_open(&self) -> bool {
        self.0.is_some()
    }

    /// Drops the connection.
    pub fn close(&mut self) {
        self.0 = None;
    }

    /// Sends a report; it is lost if the connection fails.
    pub async fn send(&mut self, worker: &WorkerName, report: &WorkerReport) {
        self.write(ReportFrame::new(worker, report)).await;
    }

    /// Keeps the connection alive, and drops one that has gone silent.
    pub async fn keep(&mut self, worker: &WorkerName) {
        let Some(open) = &self.0 else {
            return;
        };
        if open.heard.elapsed() >= LINK_SILENT {
            self.close();
        } else if open.sent.elapsed() >= LINK_BEAT {
            let worker = worker.to_string();
            self.write(ReportFrame {
                worker,
                report: None,
            })
            .await;
        }
    }

    /// Waits for the next order; `None` says that the connection was dropped.
    ///
    /// It never returns while no connection is open. Dropping the future loses no frame.
    pub async fn order(&mut self) -> Option<WorkerOrder> {
        loop {
            let Some(open) = &mut self.0 else {
                return pending().await;
            };
            let silent = sleep_until(open.heard + LINK_SILENT);
            let frame = tokio::select! {
                frame = read::<_, OrderFrame>(&mut open.frames) => frame,
                () = silent => Ok(None),
            };
            open.heard = Instant::now();
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
        open.sent = Instant::now();
        let written: Result<Result<(), WireError>, _> =
            timeout(STALLED, write(&mut open.frames, &frame)).await;
        if !matches!(written, Ok(Ok(()))) {
            self.close();
        }
    }
}
