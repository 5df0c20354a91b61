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
    ExecutorConfig, ExecutorFault, RequestRecord, executor_announcer, executor_server,
    executor_state::ExecutorState,
};

/// Interval between two checks whether the last request has ended.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Backend server for trials and tests that answers each request with the body of the request.
///
/// It refuses requests beyond its slots and connections beyond its limit, and counts both as
/// violations, because the hosts must respect these limits.
#[derive(Debug)]
pub struct StandinExecutor {
    state: Arc<ExecutorState>,
    address: SocketAddr,
    accepted_connections: Arc<AtomicU64>,
    announce_now: Arc<Notify>,
    stop: CancellationToken,
}

impl StandinExecutor {
    /// Binds a free port, then starts to accept requests and to announce the executor to its hosts.
    pub async fn start(cfg: ExecutorConfig) -> io::Result<Self> {
        let listener = TcpListener::bind((cfg.listen, 0)).await?;
        let address = listener.local_addr()?;
        let executor = Self {
            state: Arc::new(ExecutorState::new(cfg)),
            address,
            accepted_connections: Arc::default(),
            announce_now: Arc::default(),
            stop: CancellationToken::new(),
        };
        tokio::spawn(executor_server::accept(
            listener,
            Arc::clone(&executor.state),
            Arc::clone(&executor.accepted_connections),
            executor.stop.clone(),
        ));
        // A process that starts later has a higher epoch, unless the wall clock was set back.
        let epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        tokio::spawn(executor_announcer::announce(
            Arc::clone(&executor.state),
            address,
            epoch,
            Arc::clone(&executor.announce_now),
            executor.stop.clone(),
        ));
        Ok(executor)
    }

    /// Address on which the executor accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects a fault, which replaces the previous one; [`ExecutorFault::None`] ends it.
    pub fn set_fault(&self, fault: ExecutorFault) {
        let accepted = self.accepted_connections.load(Ordering::Relaxed);
        self.state.set_fault(fault, accepted);
    }

    /// Records of the requests that the executor started to run, in order, up to a maximum number; the
    /// same list as `GET /standin/log`.
    pub fn records(&self) -> Vec<RequestRecord> {
        self.state.records()
    }

    /// Number of requests that the executor has started to run.
    pub fn started_requests(&self) -> u64 {
        self.state.started_requests.load(Ordering::Relaxed)
    }

    /// Number of refused requests beyond the slots and connections beyond the limit.
    pub fn violations(&self) -> u64 {
        self.state.violations.load(Ordering::Relaxed)
    }

    /// Maximum number of requests that have run at the same time.
    pub fn peak(&self) -> u32 {
        self.state.peak.load(Ordering::Relaxed)
    }

    /// Number of requests that run now.
    pub fn busy(&self) -> u32 {
        self.state.busy.load(Ordering::Relaxed)
    }

    /// Announces the leave to the home host, waits for running requests to end, and stops.
    ///
    /// After the home host's answer, the executor accepts requests for at least one announcement
    /// interval, because requests that were sent before the answer may still arrive. It stops waiting
    /// for running requests at the leave timeout.
    pub async fn leave(&self) {
        self.announce_leave();
        let deadline = Instant::now() + self.state.cfg.leave_timeout;
        while Instant::now() < deadline && (self.busy() > 0 || !self.state.has_left()) {
            sleep(LEAVE_POLL_INTERVAL).await;
        }
        sleep(self.state.cfg.announce_interval).await;
        while Instant::now() < deadline && self.busy() > 0 {
            sleep(LEAVE_POLL_INTERVAL).await;
        }
        self.stop();
    }

    /// Announces the leave to the home host, and continues to accept requests.
    pub fn announce_leave(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
        self.announce_now.notify_one();
    }

    /// Stops at once and closes all connections, like a killed process.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Drop for StandinExecutor {
    fn drop(&mut self) {
        self.stop();
    }
}
