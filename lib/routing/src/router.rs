use tarragon_names::{HostName, Millis, PoolName};

use crate::{ExecutorTable, Grant, LoadSummary, RemoteLoads, RequestIds, RoutingConfig};

/// Destination of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// An executor that is registered with this host.
    Local(Grant),
    /// Another home host, which forwards the request to one of its executors.
    Remote(HostName),
}

/// Result of routing one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoutingDecision {
    /// Send the request to this target.
    Send(Target),
    /// All known slots of the pool are in use.
    Busy,
    /// No executor of the pool is known.
    NoExecutor,
}

/// Chooses an executor of this host or another home host for each request.
#[derive(Debug)]
pub struct Router {
    executors: ExecutorTable,
    remote_loads: RemoteLoads,
}

impl Router {
    /// Creates a router without executors; see [`ExecutorTable::new`] for `clock_offset`.
    pub fn new(cfg: RoutingConfig, clock_offset: u64, ids: RequestIds) -> Self {
        Self {
            executors: ExecutorTable::new(cfg, clock_offset, ids),
            remote_loads: RemoteLoads::new(cfg),
        }
    }

    /// Executors that are registered with this host.
    pub fn executors(&self) -> &ExecutorTable {
        &self.executors
    }

    /// Slots at the other home hosts.
    pub fn remote_loads(&self) -> &RemoteLoads {
        &self.remote_loads
    }

    /// Chooses the target of a request that arrived from a caller. Executors of this host have
    /// precedence because a forward costs a round trip.
    pub fn choose(&self, pool: &PoolName, now: Millis) -> RoutingDecision {
        if let Some(grant) = self.executors.acquire_slot(pool, now) {
            return RoutingDecision::Send(Target::Local(grant));
        }
        if let Some(host) = self.remote_loads.choose_host(pool, now) {
            return RoutingDecision::Send(Target::Remote(host));
        }
        if self.executors.has_executor(pool, now) || self.remote_loads.has_slots(pool, now) {
            return RoutingDecision::Busy;
        }
        RoutingDecision::NoExecutor
    }

    /// Chooses an executor of this host for a request that another host forwarded. A forwarded
    /// request is never forwarded again.
    pub fn choose_local(&self, pool: &PoolName, now: Millis) -> RoutingDecision {
        match self.executors.acquire_slot(pool, now) {
            Some(grant) => RoutingDecision::Send(Target::Local(grant)),
            None if self.executors.has_executor(pool, now) => RoutingDecision::Busy,
            None => RoutingDecision::NoExecutor,
        }
    }

    /// Load summary of this host, to be sent to the other hosts.
    pub fn load_summary(&self, host: &HostName, now: Millis) -> LoadSummary {
        LoadSummary {
            host: host.clone(),
            sequence: now.0,
            pools: self.executors.pool_loads(now),
        }
    }
}
