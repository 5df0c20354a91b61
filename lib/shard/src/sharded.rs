use std::{
    fmt,
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash},
};

use parking_lot::{Mutex, MutexGuard};

/// State partitioned into shards by key, each under its own lock.
pub struct Sharded<T> {
    shards: Box<[Mutex<T>]>,
}

impl<T> Sharded<T> {
    /// Creates `count` shards, at least one; `make` gets the number of each.
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

    /// Number of the shard of `key`; the hash has no random seed, so every process computes the same.
    pub fn shard_of<K>(&self, key: &K) -> usize
    where
        K: Hash + ?Sized,
    {
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(key);
        (hash % self.shards.len() as u64) as usize
    }

    /// Runs `f` on the shard of `key`, under its lock.
    pub fn with<K, F, R>(&self, key: &K, f: F) -> R
    where
        K: Hash + ?Sized,
        F: FnOnce(&mut T) -> R,
    {
        f(&mut self.shards[self.shard_of(key)].lock())
    }

    /// Runs `f` on the shard with this number, under its lock.
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

    /// Locks all shards in ascending order and runs `f` on all of them at once.
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
