use std::collections::HashMap;

use tarragon_names::{HostName, Millis, PoolName};
use tarragon_shard::Sharded;

use crate::{LoadSummary, PoolLoad, RoutingConfig};

/// Shards of the table; a cell has a few dozen hosts at most.
const SHARDS: usize = 4;

/// A summary with its time of arrival and what was sent to the host since.
#[derive(Debug)]
struct Known {
    summary: LoadSummary,
    received: Millis,
    sent: HashMap<PoolName, u32>,
}

/// Load of the other home hosts, by their last summaries.
#[derive(Debug)]
pub struct RemoteLoads {
    cfg: RoutingConfig,
    hosts: Sharded<HashMap<HostName, Known>>,
}

impl RemoteLoads {
    /// An empty table.
    pub fn new(cfg: RoutingConfig) -> Self {
        Self {
            cfg,
            hosts: Sharded::new(SHARDS, |_| HashMap::new()),
        }
    }

    /// Takes a summary. An older one than the last is dropped, unless the last one has aged out,
    /// which is how a restarted host with a lower sequence is heard again.
    pub fn update(&self, summary: LoadSummary, now: Millis) {
        self.hosts.with(&summary.host.clone(), |hosts| {
            let outdated = hosts.get(&summary.host).is_some_and(|known| {
                summary.sequence <= known.summary.sequence && self.fresh(known, now)
            });
            if !outdated {
                hosts.insert(
                    summary.host.clone(),
                    Known {
                        summary,
                        received: now,
                        sent: HashMap::new(),
                    },
                );
            }
        });
    }

    /// Forgets a host that refused or could not be reached, until its next summary.
    pub fn exhausted(&self, host: &HostName, pool: &PoolName) {
        self.hosts.with(host, |hosts| {
            if let Some(known) = hosts.get_mut(host) {
                known.sent.insert(pool.clone(), u32::MAX);
            }
        });
    }

    /// Picks the host with the most free slots and counts one request as sent to it.
    pub fn take(&self, pool: &PoolName, now: Millis) -> Option<HostName> {
        let mut best = None::<(u32, HostName)>;
        self.hosts.for_each(|hosts| {
            for (host, known) in hosts.iter() {
                let free = self.free(known, pool, now);
                if free > best.as_ref().map_or(0, |(most, _)| *most) {
                    best = Some((free, host.clone()));
                }
            }
        });
        let (_, host) = best?;
        self.hosts.with(&host, |hosts| {
            if let Some(known) = hosts.get_mut(&host) {
                let sent = known.sent.entry(pool.clone()).or_default();
                *sent = sent.saturating_add(1);
            }
        });
        Some(host)
    }

    /// Tells whether any other host has slots of the pool, free or not.
    pub fn has(&self, pool: &PoolName, now: Millis) -> bool {
        let mut found = false;
        self.hosts.for_each(|hosts| {
            found |= hosts.values().any(|known| {
                self.load(known, pool, now)
                    .is_some_and(|load| load.slots > 0)
            });
        });
        found
    }

    fn free(&self, known: &Known, pool: &PoolName, now: Millis) -> u32 {
        let sent = known.sent.get(pool).copied().unwrap_or(0);
        self.load(known, pool, now)
            .map_or(0, |load| load.free.saturating_sub(sent))
    }

    fn load<'a>(&self, known: &'a Known, pool: &PoolName, now: Millis) -> Option<&'a PoolLoad> {
        if !self.fresh(known, now) {
            return None;
        }
        known.summary.pools.iter().find(|load| load.pool == *pool)
    }

    fn fresh(&self, known: &Known, now: Millis) -> bool {
        now.since(known.received) <= self.cfg.summary_max_age
    }
}
