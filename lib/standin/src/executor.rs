use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{
    net::TcpListener,
    sync::Notify,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    ExecutorConfig, ExecutorFault, ExecutorRecord, executor_announcer, executor_server,
    executor_state::ExecutorState,
};

/// Time between two looks at whether the last request has ended.
const LEAVE_POLL: Duration = Duration::from_millis(20);

/// A backend server for trials and tests: it answers each request with the request's body.
///
/// Requests beyond its slots and connections beyond its limit are counted as violations.
#[derive(Debug)]
pub struct StandinExecutor {
    state: Arc<ExecutorState>,
    address: SocketAddr,
    accepted: Arc<AtomicU64>,
    wake: Arc<Notify>,
    stop: CancellationToken,
}

impl StandinExecutor {
    /// Listens on a free port and announces itself to its hosts.
    pub async fn start(cfg: ExecutorConfig) -> io::Result<Self> {
        let listener = TcpListener::bind((cfg.listen, 0)).await?;
        let address = listener.local_addr()?;
        let executor = Self {
            state: Arc::new(ExecutorState::new(cfg)),
            address,
            accepted: Arc::default(),
            wake: Arc::default(),
            stop: CancellationToken::new(),
        };
        tokio::spawn(executor_server::accept(
            listener,
            Arc::clone(&executor.state),
            Arc::clone(&executor.accepted),
            executor.stop.clone(),
        ));
        // A process that starts later has a higher epoch, as long as the host's date does not go back.
        let epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        tokio::spawn(executor_announcer::announce(
            Arc::clone(&executor.state),
            address,
            epoch,
            Arc::clone(&executor.wake),
            executor.stop.clone(),
        ));
        Ok(executor)
    }

    /// Address that requests go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins a fault, or ends it with [`ExecutorFault::None`].
    pub fn set_fault(&self, fault: ExecutorFault) {
        let accepted = self.accepted.load(Ordering::Relaxed);
        self.state.set_fault(fault, accepted);
    }

    /// Requests that it began to run, in order; the same as `GET /standin/log`.
    pub fn records(&self) -> Vec<ExecutorRecord> {
        self.state.records()
    }

    /// Number of requests that it began to run.
    pub fn started_requests(&self) -> u64 {
        self.state.ran.load(Ordering::Relaxed)
    }

    /// Requests beyond its slots and connections beyond its limit.
    pub fn violations(&self) -> u64 {
        self.state.violations.load(Ordering::Relaxed)
    }

    /// Most requests that ran at a time.
    pub fn peak(&self) -> u32 {
        self.state.peak.load(Ordering::Relaxed)
    }

    /// Requests that run now.
    pub fn busy(&self) -> u32 {
        self.state.busy.load(Ordering::Relaxed)
    }

    /// Tells the home that it leaves, lets running requests end and stops.
    ///
    /// It serves on for a beat after the home's answer, since requests that were sent before may still
    /// be on the way.
    pub async fn leave(&self) {
        self.announce_leave();
        let end = Instant::now() + self.state.cfg.leave_timeout;
        while Instant::now() < end && (self.busy() > 0 || !self.state.has_left()) {
            sleep(LEAVE_POLL).await;
        }
        sleep(self.state.cfg.announce_interval).await;
        while Instant::now() < end && self.busy() > 0 {
            sleep(LEAVE_POLL).await;
        }
        self.stop();
    }

    /// Tells the home that it leaves, and serves on.
    pub fn announce_leave(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
        self.wake.notify_one();
    }

    /// Stops at once, as a process that is killed does.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Drop for StandinExecutor {
    fn drop(&mut self) {
        self.stop();
    }
}
