use tarragon_names::{HostName, Millis, PoolName};

use crate::{ExecutorTable, Grant, LoadSummary, RemoteLoads, RequestIds, RoutingConfig};

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// To an executor whose home is this host.
    Local(Grant),
    /// To another home host.
    Remote(HostName),
}

/// Result of a choice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send it there.
    Send(Target),
    /// All slots that are known are taken.
    Busy,
    /// No executor of the pool is known.
    NoExecutor,
}

/// Chooses where requests go.
#[derive(Debug)]
pub struct Router {
    executors: ExecutorTable,
    loads: RemoteLoads,
}

impl Router {
    /// A router that knows no executor; see [`ExecutorTable::new`] for `clock_offset`.
    pub fn new(cfg: RoutingConfig, clock_offset: u64, ids: RequestIds) -> Self {
        Self {
            executors: ExecutorTable::new(cfg, clock_offset, ids),
            loads: RemoteLoads::new(cfg),
        }
    }

    /// The executors that this host is home to.
    pub fn executors(&self) -> &ExecutorTable {
        &self.executors
    }

    /// The load of other hosts.
    pub fn loads(&self) -> &RemoteLoads {
        &self.loads
    }

    /// Chooses for a request that arrived from a caller: an own executor first, since each forward
    /// costs a round trip.
    pub fn choose(&self, pool: &PoolName, now: Millis) -> Choice {
        if let Some(grant) = self.executors.take(pool, now) {
            return Choice::Send(Target::Local(grant));
        }
        if let Some(host) = self.loads.take(pool, now) {
            return Choice::Send(Target::Remote(host));
        }
        if self.executors.has(pool, now) || self.loads.has(pool, now) {
            return Choice::Busy;
        }
        Choice::NoExecutor
    }

    /// Chooses for a request that another host forwarded; it is never forwarded again.
    pub fn choose_own(&self, pool: &PoolName, now: Millis) -> Choice {
        match self.executors.take(pool, now) {
            Some(grant) => Choice::Send(Target::Local(grant)),
            None if self.executors.has(pool, now) => Choice::Busy,
            None => Choice::NoExecutor,
        }
    }

    /// What this host tells the others.
    pub fn summary(&self, host: &HostName, now: Millis) -> LoadSummary {
        LoadSummary {
            host: host.clone(),
            sequence: now.0,
            pools: self.executors.loads(now),
        }
    }
}
