use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{ExecutorName, HostName, Millis, PoolName};
use tarragon_shard::Sharded;

use crate::{
    Announcement, AnnouncementReply, ExecutorView, Grant, PoolLoad, RegisteredExecutor, RequestEnd,
    RequestIds, RoutingConfig, RunningRequests,
};

/// Shards of the table. A home host has a dozen executors today and some hundred at the target size.
const SHARD_COUNT: usize = 16;

/// Maximum number of executors in one shard. Without a bound, anyone who may send announcements could
/// fill the host's memory. A home host has some hundred executors at the target size.
const MAX_EXECUTORS_PER_SHARD: usize = 256;

/// Maximum number of attempts to acquire a slot. An attempt fails if another request takes the last
/// free slot of the chosen executor first.
const MAX_CHOICES: usize = 8;

#[derive(Debug, Default)]
struct Shard {
    executors: HashMap<ExecutorName, RegisteredExecutor>,
    /// Executors that an operator is draining; includes names that are not registered here.
    drained: HashSet<ExecutorName>,
}

/// Order in which executors are chosen; the lowest rank gets the next request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    used_slots_per_mille: u64,
    last_granted_at: Millis,
}

/// Executors that are registered with this host.
#[derive(Debug)]
pub struct ExecutorTable {
    cfg: RoutingConfig,
    clock_offset: u64,
    ids: RequestIds,
    last_request_number: AtomicU64,
    is_moving_executors: AtomicBool,
    shards: Sharded<Shard>,
}

impl ExecutorTable {
    /// Creates an empty table.
    ///
    /// `clock_offset` is a random number for each process. It is added to the clock readings in
    /// replies, so that readings of an earlier process or of another host are recognized as foreign.
    pub fn new(cfg: RoutingConfig, clock_offset: u64, ids: RequestIds) -> Self {
        Self {
            cfg,
            clock_offset,
            ids,
            last_request_number: AtomicU64::new(0),
            is_moving_executors: AtomicBool::new(false),
            shards: Sharded::new(SHARD_COUNT, |_| Shard::default()),
        }
    }

    /// Registers an executor, or updates its state and renews its lease.
    pub fn announce(&self, announcement: Announcement, now: Millis) -> Outcome<AnnouncementReply> {
        let echoed_clock = announcement
            .echoed_clock
            .and_then(|echoed| echoed.checked_sub(self.clock_offset))
            .map(Millis)
            .filter(|echoed| *echoed <= now);
        let running = RunningRequests::from_announcement(&announcement, &self.ids);
        let name = announcement.name.clone();
        self.shards.with(&name, |shard| {
            let is_full = shard.executors.len() >= MAX_EXECUTORS_PER_SHARD;
            match shard.executors.get_mut(&name) {
                Some(known) if announcement.epoch < known.last_announcement().epoch => {
                    return Err(Failure::new(
                        Code::Malformed,
                        "epoch: a later process of this executor is registered",
                    ));
                }
                Some(known) => {
                    known.announce(announcement, echoed_clock, running.as_ref(), now, &self.cfg);
                }
                None if is_full => {
                    return Err(Failure::new(
                        Code::TooManyRequests,
                        "too many executors are registered with this host; announce to another one",
                    ));
                }
                None => {
                    let executor = RegisteredExecutor::new(announcement, now, &self.cfg);
                    shard.executors.insert(name.clone(), executor);
                }
            }
            Ok(AnnouncementReply {
                clock: self.clock_offset + now.0,
                moving: self.is_moving_executors.load(Ordering::Relaxed),
                draining: shard.drained.contains(&name),
            })
        })
    }

    /// Id that is sent to the executor with the request of this grant.
    pub fn request_id(&self, grant: &Grant) -> String {
        self.ids.id(grant.request_number)
    }

    /// Sets whether replies ask executors to announce themselves to another host.
    pub fn set_moving_executors(&self, moving: bool) {
        self.is_moving_executors.store(moving, Ordering::Relaxed);
    }

    /// Starts or cancels draining of an executor; false if the executor is not registered here.
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

    /// Assigns a slot of the least loaded executor of a pool; `None` if no slot is free.
    pub fn acquire_slot(&self, pool: &PoolName, now: Millis) -> Option<Grant> {
        for _ in 0..MAX_CHOICES {
            let name = self.least_loaded(pool, now)?;
            let grant = self.shards.with(&name, |shard| {
                let executor = shard.executors.get_mut(&name)?;
                executor.acquire_slot(now).then(|| Grant {
                    request_number: self.last_request_number.fetch_add(1, Ordering::Relaxed) + 1,
                    executor: name.clone(),
                    pool: pool.clone(),
                    epoch: executor.last_announcement().epoch,
                    address: executor.last_announcement().address.clone(),
                    connections: executor.last_announcement().connections,
                    granted_at: now,
                })
            });
            if grant.is_some() {
                return grant;
            }
        }
        None
    }

    /// Whether the request of this grant may still be sent. Callers check this right before sending,
    /// because the lease may have ended while a connection was being opened.
    pub fn may_send(&self, grant: &Grant, now: Millis) -> bool {
        self.shards.with(&grant.executor, |shard| {
            shard.executors.get(&grant.executor).is_some_and(|known| {
                known.last_announcement().epoch == grant.epoch && known.may_send(now)
            }) && !shard.drained.contains(&grant.executor)
        })
    }

    /// Releases a slot. Does nothing for a grant of an earlier process of the executor, whose slots
    /// are no longer counted.
    pub fn release_slot(&self, grant: &Grant, end: RequestEnd, now: Millis) {
        self.shards.with(&grant.executor, |shard| {
            if let Some(executor) = shard.executors.get_mut(&grant.executor)
                && executor.last_announcement().epoch == grant.epoch
            {
                executor.release_slot(grant.request_number, end, now, &self.cfg);
            }
        });
    }

    /// Free and total slots of each pool, for the load summary to other hosts.
    pub fn pool_loads(&self, now: Millis) -> Vec<PoolLoad> {
        let mut pools = BTreeMap::<PoolName, (u32, u32)>::new();
        self.shards.for_each(|shard| {
            for (name, executor) in &shard.executors {
                if !executor.accepts_requests(now) || shard.drained.contains(name) {
                    continue;
                }
                let (free, slots) = pools
                    .entry(executor.last_announcement().pool.clone())
                    .or_default();
                *free += executor.free_slots(now);
                *slots += executor.usable_slots();
            }
        });
        pools
            .into_iter()
            .map(|(pool, (free, slots))| PoolLoad { pool, free, slots })
            .collect()
    }

    /// Whether an executor of the pool is registered that serves requests, even if all its slots are
    /// in use or it is avoided after failures.
    pub fn has_executor(&self, pool: &PoolName, now: Millis) -> bool {
        let mut found = false;
        self.shards.for_each(|shard| {
            found |= shard.executors.iter().any(|(name, executor)| {
                executor.last_announcement().pool == *pool
                    && executor.has_lease(now)
                    && !executor.is_leaving()
                    && !shard.drained.contains(name)
            });
        });
        found
    }

    /// Status of all executors for operators, sorted by name.
    pub fn views(&self, host: &HostName, now: Millis) -> Vec<ExecutorView> {
        let mut views = Vec::new();
        self.shards.for_each(|shard| {
            for (name, executor) in &shard.executors {
                let last = executor.last_announcement();
                views.push(ExecutorView {
                    name: name.clone(),
                    pool: last.pool.clone(),
                    domain: last.domain.clone(),
                    home_host: host.clone(),
                    slots: last.slots,
                    busy: executor.used_slots(),
                    state: executor_state(executor, shard.drained.contains(name), now).to_owned(),
                });
            }
        });
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    /// Removes executors that have not announced themselves for a long time.
    pub fn remove_silent(&self, now: Millis) {
        self.shards.for_each(|shard| {
            shard
                .executors
                .retain(|_, executor| !executor.is_removable(now, &self.cfg));
        });
    }

    fn least_loaded(&self, pool: &PoolName, now: Millis) -> Option<ExecutorName> {
        let mut best = None::<(Rank, ExecutorName)>;
        self.shards.for_each(|shard| {
            for (name, executor) in &shard.executors {
                if executor.last_announcement().pool != *pool
                    || executor.free_slots(now) == 0
                    || shard.drained.contains(name)
                {
                    continue;
                }
                let rank = Rank {
                    used_slots_per_mille: u64::from(executor.used_slots()) * 1_000
                        / u64::from(executor.usable_slots()),
                    last_granted_at: executor.last_granted_at(),
                };
                if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                    best = Some((rank, name.clone()));
                }
            }
        });
        best.map(|(_, name)| name)
    }
}

fn executor_state(executor: &RegisteredExecutor, drained: bool, now: Millis) -> &'static str {
    if executor.is_leaving() {
        "leaving"
    } else if drained {
        "draining"
    } else if !executor.has_joined() {
        "joining"
    } else if !executor.has_lease(now) {
        "silent"
    } else if !executor.accepts_requests(now) {
        "avoided"
    } else {
        "serving"
    }
}
