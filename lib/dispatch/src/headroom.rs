use std::collections::BTreeMap;

use tarragon_names::PoolName;

use crate::seats::Seats;

/// Share of a pool's processor time that is kept for all but the least urgent queue, in percent.
/// Room that has to be made first comes too late for the shortest tasks.
const KEPT_PERCENT: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    all: u64,
    used: u64,
}

/// Processor time that tasks of the least urgent queue may still take, by pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom(BTreeMap<PoolName, Use>);

impl Headroom {
    pub(crate) fn of(seats: &Seats) -> Self {
        let mut pools = BTreeMap::<PoolName, Use>::new();
        for (_, seat) in seats.iter().filter(|(_, seat)| !seat.is_lapsed) {
            let pool = pools.entry(seat.record.pool.clone()).or_default();
            pool.all += seat.record.capacity.cpu_milli;
            pool.used += seat.used().cpu_milli;
        }
        Self(pools)
    }

    /// Tasks of the given size that may still be placed.
    ///
    /// In a pool that is not half used at least one may be, however large it is: in a small pool
    /// one task may need more than is kept.
    pub(crate) fn tasks(&self, pool: &PoolName, cpu_milli: u64) -> u32 {
        let Use { all, used } = self.0.get(pool).copied().unwrap_or_default();
        let left = (all * (100 - KEPT_PERCENT) / 100).saturating_sub(used);
        let tasks = left.checked_div(cpu_milli).unwrap_or(u64::MAX);
        let least = u64::from(used * 2 < all);
        u32::try_from(tasks.max(least)).unwrap_or(u32::MAX)
    }

    pub(crate) fn take(&mut self, pool: &PoolName, cpu_milli: u64) {
        if let Some(pool) = self.0.get_mut(pool) {
            pool.used += cpu_milli;
        }
    }
}
