use std::collections::HashMap;

use tarragon_names::{HostName, Millis, PoolName};
use tarragon_shard::Sharded;

use crate::{LoadSummary, PoolLoad, RoutingConfig};

/// Shards of the table; few are enough, as a cell has a few dozen hosts at most.
const SHARD_COUNT: usize = 4;

/// Last summary of a host, with its time of arrival and the requests forwarded to the host since.
#[derive(Debug)]
struct KnownHost {
    summary: LoadSummary,
    received_at: Millis,
    forwarded: HashMap<PoolName, u32>,
}

/// Slots at the other home hosts, according to their last load summaries.
#[derive(Debug)]
pub struct RemoteLoads {
    cfg: RoutingConfig,
    hosts: Sharded<HashMap<HostName, KnownHost>>,
}

impl RemoteLoads {
    /// Creates an empty table.
    pub fn new(cfg: RoutingConfig) -> Self {
        Self {
            cfg,
            hosts: Sharded::new(SHARD_COUNT, |_| HashMap::new()),
        }
    }

    /// Stores a summary, unless the stored one has the same or a higher sequence number.
    ///
    /// A stored summary that has expired is always replaced, because a restarted host sends lower
    /// sequence numbers.
    pub fn update(&self, summary: LoadSummary, now: Millis) {
        self.hosts.with(&summary.host.clone(), |hosts| {
            let outdated = hosts.get(&summary.host).is_some_and(|known| {
                summary.sequence <= known.summary.sequence && self.is_fresh(known, now)
            });
            if !outdated {
                hosts.insert(
                    summary.host.clone(),
                    KnownHost {
                        summary,
                        received_at: now,
                        forwarded: HashMap::new(),
                    },
                );
            }
        });
    }

    /// Treats a host as full until its next summary, because it refused a request or could not be
    /// reached.
    pub fn mark_full(&self, host: &HostName, pool: &PoolName) {
        self.hosts.with(host, |hosts| {
            if let Some(known) = hosts.get_mut(host) {
                known.forwarded.insert(pool.clone(), u32::MAX);
            }
        });
    }

    /// Chooses the host with the most free slots and counts one request as forwarded to it.
    pub fn choose_host(&self, pool: &PoolName, now: Millis) -> Option<HostName> {
        let mut best = None::<(u32, HostName)>;
        self.hosts.for_each(|hosts| {
            for (host, known) in hosts.iter() {
                let free = self.free_slots(known, pool, now);
                if free > best.as_ref().map_or(0, |(most_free, _)| *most_free) {
                    best = Some((free, host.clone()));
                }
            }
        });
        let (_, host) = best?;
        self.hosts.with(&host, |hosts| {
            if let Some(known) = hosts.get_mut(&host) {
                let forwarded = known.forwarded.entry(pool.clone()).or_default();
                *forwarded = forwarded.saturating_add(1);
            }
        });
        Some(host)
    }

    /// Whether any other host has slots of the pool, free or in use.
    pub fn has_slots(&self, pool: &PoolName, now: Millis) -> bool {
        let mut found = false;
        self.hosts.for_each(|hosts| {
            found |= hosts.values().any(|known| {
                self.pool_load(known, pool, now)
                    .is_some_and(|load| load.slots > 0)
            });
        });
        found
    }

    fn free_slots(&self, known: &KnownHost, pool: &PoolName, now: Millis) -> u32 {
        let forwarded = known.forwarded.get(pool).copied().unwrap_or(0);
        self.pool_load(known, pool, now)
            .map_or(0, |load| load.free.saturating_sub(forwarded))
    }

    fn pool_load<'a>(
        &self,
        known: &'a KnownHost,
        pool: &PoolName,
        now: Millis,
    ) -> Option<&'a PoolLoad> {
        if !self.is_fresh(known, now) {
            return None;
        }
        known.summary.pools.iter().find(|load| load.pool == *pool)
    }

    fn is_fresh(&self, known: &KnownHost, now: Millis) -> bool {
        now.since(known.received_at) <= self.cfg.summary_max_age
    }
}
