use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::ExecutorName;
use tarragon_routing::Grant;
use tarragon_shard::Sharded;
use tokio::{net::TcpStream, time::timeout};

use crate::counters::{Counters, increment};

/// Shards of the table of connections.
const SHARD_COUNT: usize = 16;

/// An open connection to one process of an executor; closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    epoch: u64,
    address: String,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

#[derive(Debug, Default)]
struct ExecutorConnections {
    idle: Vec<IdleConnection>,
    open_count: Arc<AtomicU32>,
}

/// Counts a connection as open until the task that drives the connection has ended.
#[derive(Debug)]
struct OpenCountGuard(Arc<AtomicU32>);

impl Drop for OpenCountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Connections to executors, limited to the number that each executor accepts.
#[derive(Debug)]
pub(crate) struct Connections {
    idle_timeout: Duration,
    connect_timeout: Duration,
    counters: Arc<Counters>,
    executors: Sharded<HashMap<ExecutorName, ExecutorConnections>>,
}

impl Connections {
    pub(crate) fn new(
        idle_timeout: Duration,
        connect_timeout: Duration,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            idle_timeout,
            connect_timeout,
            counters,
            executors: Sharded::new(SHARD_COUNT, |_| HashMap::new()),
        }
    }

    /// Removes and returns the most recently used idle connection that is still usable.
    pub(crate) fn take_idle(&self, grant: &Grant) -> Option<Connection> {
        self.executors.with(&grant.executor, |executors| {
            let known = executors.get_mut(&grant.executor)?;
            while let Some(IdleConnection {
                connection,
                idle_since,
            }) = known.idle.pop()
            {
                let is_usable = connection.epoch == grant.epoch
                    && connection.address == grant.address
                    && idle_since.elapsed() < self.idle_timeout
                    && connection.sender.is_ready();
                if is_usable {
                    return Some(connection);
                }
            }
            None
        })
    }

    /// Opens a connection, unless as many are open as the executor accepts.
    pub(crate) async fn open(&self, grant: &Grant) -> Outcome<Connection> {
        let open_count = self.executors.with(&grant.executor, |executors| {
            let known = executors.entry(grant.executor.clone()).or_default();
            Arc::clone(&known.open_count)
        });
        if open_count.fetch_add(1, Ordering::Relaxed) >= grant.connections {
            open_count.fetch_sub(1, Ordering::Relaxed);
            return Err(Failure::new(
                Code::NoSlot,
                format!(
                    "all {} connections of the executor are in use",
                    grant.connections
                ),
            ));
        }
        let open_count_guard = OpenCountGuard(open_count);
        let connect_failure = |cause: String| {
            increment(&self.counters.connect_failures);
            Failure::new(
                Code::NoExecutor,
                format!("{} at {}: {cause}", grant.executor, grant.address),
            )
        };
        let stream = match timeout(self.connect_timeout, TcpStream::connect(&grant.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(connect_failure(e.to_string())),
            Err(_) => return Err(connect_failure("timeout while connecting".to_owned())),
        };
        // Each request is written at once, so Nagle's algorithm would only add delay.
        let _result = stream.set_nodelay(true);
        let (sender, driver) = match http1::handshake(TokioIo::new(stream)).await {
            Ok(parts) => parts,
            Err(e) => return Err(connect_failure(e.to_string())),
        };
        tokio::spawn(async move {
            // The request that uses the connection reports the error.
            let _result = driver.await;
            drop(open_count_guard);
        });
        increment(&self.counters.connections_opened);
        Ok(Connection {
            sender,
            epoch: grant.epoch,
            address: grant.address.clone(),
        })
    }

    /// Keeps a connection for later requests. The last response on the connection must have arrived
    /// completely and in time.
    pub(crate) fn keep_idle(&self, executor: &ExecutorName, connection: Connection) {
        self.executors.with(executor, |executors| {
            executors
                .entry(executor.clone())
                .or_default()
                .idle
                .push(IdleConnection {
                    connection,
                    idle_since: Instant::now(),
                });
        });
    }

    /// Closes the idle connections of an executor that did not answer in time. These connections may
    /// be broken too, so the next request opens a new one.
    pub(crate) fn close_idle(&self, executor: &ExecutorName) {
        self.executors.with(executor, |executors| {
            if let Some(known) = executors.get_mut(executor) {
                known.idle.clear();
            }
        });
    }

    /// Closes connections that are idle for too long and removes executors without connections.
    pub(crate) fn remove_expired(&self) {
        self.executors.for_each(|executors| {
            executors.retain(|_, known| {
                known.idle.retain(|idle| {
                    idle.idle_since.elapsed() < self.idle_timeout
                        && !idle.connection.sender.is_closed()
                });
                !known.idle.is_empty() || known.open_count.load(Ordering::Relaxed) > 0
            });
        });
    }
}
