use std::{
    fmt,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash},
};

use parking_lot::{Mutex, MutexGuard};

/// State split over shards, each behind its own lock.
pub struct Sharded<T> {
    shards: Box<[Mutex<T>]>,
}

impl<T> Sharded<T> {
    /// Makes `count` shards, at least one, each from its number.
    pub fn new<F>(count: usize, make: F) -> Self
    where
        F: FnMut(usize) -> T,
    {
        Self {
            shards: (0..count.max(1)).map(make).map(Mutex::new).collect(),
        }
    }

    /// Number of shards.
    pub fn count(&self) -> usize {
        self.shards.len()
    }

    /// Number of the shard that holds `key`; the same in every process and every run.
    pub fn shard_of<K>(&self, key: &K) -> usize
    where
        K: Hash + ?Sized,
    {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(key);
        (hash % self.shards.len() as u64) as usize
    }

    /// Runs `f` on the shard that holds `key`.
    pub fn with<K, F, R>(&self, key: &K, f: F) -> R
    where
        K: Hash + ?Sized,
        F: FnOnce(&mut T) -> R,
    {
        f(&mut self.shards[self.shard_of(key)].lock())
    }

    /// Runs `f` on one shard by its number.
    pub fn with_shard<F, R>(&self, shard: usize, f: F) -> R
    where
        F: FnOnce(&mut T) -> R,
    {
        f(&mut self.shards[shard].lock())
    }

    /// Runs `f` on each shard in turn, one lock at a time.
    pub fn for_each<F>(&self, mut f: F)
    where
        F: FnMut(&mut T),
    {
        for shard in &self.shards {
            f(&mut shard.lock());
        }
    }

    /// Locks all shards in ascending order and runs `f` on them together.
    pub fn with_all<F, R>(&self, f: F) -> R
    where
        F: FnOnce(&mut [MutexGuard<'_, T>]) -> R,
    {
        let mut guards = self.shards.iter().map(Mutex::lock).collect::<Vec<_>>();
        f(&mut guards)
    }
}

impl<T> fmt::Debug for Sharded<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sharded")
            .field("count", &self.shards.len())
            .finish_non_exhaustive()
    }
}
