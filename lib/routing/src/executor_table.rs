use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{ExecutorName, HostName, Millis, PoolName};
use tarragon_shard::Sharded;

use crate::{
    Announcement, AnnouncementReply, ExecutorView, Grant, PoolLoad, RegisteredExecutor, RequestEnd,
    RequestIds, RoutingConfig, Running,
};

/// Shards of the table. A host is home to a dozen executors today and to some hundred at the target.
const SHARDS: usize = 16;

/// Most executors in one shard. Anyone who may announce could fill the host's memory otherwise; a
/// home has some hundred executors at the target.
const SHARD_EXECUTORS: usize = 256;

/// Times a choice is made again because another request took the slot in between.
const CHOICES: usize = 8;

#[derive(Debug, Default)]
struct Shard {
    executors: HashMap<ExecutorName, RegisteredExecutor>,
    /// Names that an operator drains; kept while the executor is unknown too.
    drained: HashSet<ExecutorName>,
}

/// How well an executor suits the next request; the least is the best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    taken_per_mille: u64,
    used_at: Millis,
}

/// The executors that this host is home to.
#[derive(Debug)]
pub struct ExecutorTable {
    cfg: RoutingConfig,
    clock_offset: u64,
    ids: RequestIds,
    numbers: AtomicU64,
    moving: AtomicBool,
    shards: Sharded<Shard>,
}

impl ExecutorTable {
    /// An empty table.
    ///
    /// `clock_offset` is drawn at random for each process and added to the readings handed out, so
    /// that a reading of an earlier process or of another host is not taken for one of this process.
    pub fn new(cfg: RoutingConfig, clock_offset: u64, ids: RequestIds) -> Self {
        Self {
            cfg,
            clock_offset,
            ids,
            numbers: AtomicU64::new(0),
            moving: AtomicBool::new(false),
            shards: Sharded::new(SHARDS, |_| Shard::default()),
        }
    }

    /// Takes an announcement.
    pub fn announce(&self, announcement: Announcement, now: Millis) -> Outcome<AnnouncementReply> {
        let echo = announcement
            .echoed_clock
            .and_then(|echo| echo.checked_sub(self.clock_offset))
            .map(Millis)
            .filter(|echo| *echo <= now);
        let running = Running::of(&announcement, &self.ids);
        let name = announcement.name.clone();
        self.shards.with(&name, |shard| {
            let full = shard.executors.len() >= SHARD_EXECUTORS;
            match shard.executors.get_mut(&name) {
                Some(known) if announcement.epoch < known.last().epoch => {
                    return Err(Failure::new(
                        Code::Malformed,
                        "epoch: a later process of this executor has announced itself",
                    ));
                }
                Some(known) => {
                    known.announce(announcement, echo, running.as_ref(), now, &self.cfg);
                }
                None if full => {
                    return Err(Failure::new(
                        Code::TooManyRequests,
                        "this host is home to too many executors; announce to another one",
                    ));
                }
                None => {
                    let executor = RegisteredExecutor::new(announcement, now, &self.cfg);
                    shard.executors.insert(name.clone(), executor);
                }
            }
            Ok(AnnouncementReply {
                clock: self.clock_offset + now.0,
                moving: self.moving.load(Ordering::Relaxed),
                draining: shard.drained.contains(&name),
            })
        })
    }

    /// Id that the request with this slot carries to its executor.
    pub fn request_id(&self, grant: &Grant) -> String {
        self.ids.id(grant.number)
    }

    /// Tells executors from now on to find another home, because this host stops.
    pub fn set_moving(&self, moving: bool) {
        self.moving.store(moving, Ordering::Relaxed);
    }

    /// Marks an executor as draining, or takes it back; false if this host is not its home.
    pub fn set_draining(&self, name: &ExecutorName, draining: bool) -> bool {
        self.shards.with(name, |shard| {
            if draining {
                shard.drained.insert(name.clone());
            } else {
                shard.drained.remove(name);
            }
            shard.executors.contains_key(name)
        })
    }

    /// Takes a slot of the least loaded executor of a pool.
    pub fn take(&self, pool: &PoolName, now: Millis) -> Option<Grant> {
        for _ in 0..CHOICES {
            let name = self.least_loaded(pool, now)?;
            let grant = self.shards.with(&name, |shard| {
                let executor = shard.executors.get_mut(&name)?;
                executor.take(now).then(|| Grant {
                    number: self.numbers.fetch_add(1, Ordering::Relaxed) + 1,
                    executor: name.clone(),
                    pool: pool.clone(),
                    epoch: executor.last().epoch,
                    address: executor.last().address.clone(),
                    connections: executor.last().connections,
                    taken_at: now,
                })
            });
            if grant.is_some() {
                return grant;
            }
        }
        None
    }

    /// Tells whether the request that holds this slot may still be sent. To be asked right before
    /// the send, because opening a connection may have taken longer than the rest of the lease.
    pub fn may_send(&self, grant: &Grant, now: Millis) -> bool {
        self.shards.with(&grant.executor, |shard| {
            shard
                .executors
                .get(&grant.executor)
                .is_some_and(|known| known.last().epoch == grant.epoch && known.may_send(now))
                && !shard.drained.contains(&grant.executor)
        })
    }

    /// Gives a slot back. A slot of an earlier process of the executor is gone already.
    pub fn finish(&self, grant: &Grant, end: RequestEnd, now: Millis) {
        self.shards.with(&grant.executor, |shard| {
            if let Some(executor) = shard.executors.get_mut(&grant.executor)
                && executor.last().epoch == grant.epoch
            {
                executor.finish(grant.number, end, now, &self.cfg);
            }
        });
    }

    /// Free and all slots of each pool, for the summary to other hosts.
    pub fn loads(&self, now: Millis) -> Vec<PoolLoad> {
        let mut pools = BTreeMap::<PoolName, (u32, u32)>::new();
        self.shards.for_each(|shard| {
            for (name, executor) in &shard.executors {
                if !executor.open(now) || shard.drained.contains(name) {
                    continue;
                }
                let (free, slots) = pools.entry(executor.last().pool.clone()).or_default();
                *free += executor.free(now);
                *slots += executor.usable();
            }
        });
        pools
            .into_iter()
            .map(|(pool, (free, slots))| PoolLoad { pool, free, slots })
            .collect()
    }

    /// Tells whether an executor of the pool is here that takes requests, though perhaps not now.
    pub fn has(&self, pool: &PoolName, now: Millis) -> bool {
        let mut found = false;
        self.shards.for_each(|shard| {
            found |= shard.executors.iter().any(|(name, executor)| {
                executor.last().pool == *pool
                    && executor.leased(now)
                    && !executor.leaving()
                    && !shard.drained.contains(name)
            });
        });
        found
    }

    /// The executors as they are shown to operators.
    pub fn views(&self, host: &HostName, now: Millis) -> Vec<ExecutorView> {
        let mut views = Vec::new();
        self.shards.for_each(|shard| {
            for (name, executor) in &shard.executors {
                let last = executor.last();
                views.push(ExecutorView {
                    name: name.clone(),
                    pool: last.pool.clone(),
                    domain: last.domain.clone(),
                    home_host: host.clone(),
                    slots: last.slots,
                    busy: executor.taken(),
                    state: state(executor, shard.drained.contains(name), now).to_owned(),
                });
            }
        });
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    /// Forgets executors that have been silent for long.
    pub fn sweep(&self, now: Millis) {
        self.shards.for_each(|shard| {
            shard
                .executors
                .retain(|_, executor| !executor.forgettable(now, &self.cfg));
        });
    }

    fn least_loaded(&self, pool: &PoolName, now: Millis) -> Option<ExecutorName> {
        let mut best = None::<(Rank, ExecutorName)>;
        self.shards.for_each(|shard| {
            for (name, executor) in &shard.executors {
                if executor.last().pool != *pool
                    || executor.free(now) == 0
                    || shard.drained.contains(name)
                {
                    continue;
                }
                let rank = Rank {
                    taken_per_mille: u64::from(executor.taken()) * 1_000
                        / u64::from(executor.usable()),
                    used_at: executor.used_at(),
                };
                if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                    best = Some((rank, name.clone()));
                }
            }
        });
        best.map(|(_, name)| name)
    }
}

fn state(executor: &RegisteredExecutor, drained: bool, now: Millis) -> &'static str {
    if executor.leaving() {
        "leaving"
    } else if drained {
        "draining"
    } else if !executor.settled() {
        "joining"
    } else if !executor.leased(now) {
        "silent"
    } else if !executor.open(now) {
        "avoided"
    } else {
        "serving"
    }
}
