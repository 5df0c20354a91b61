//! Sharded state with one lock for each shard.
//!
//! A lock is held for one decision, never over I/O or an await. Shards are always locked in
//! ascending order, so two callers that need several shards cannot deadlock.

mod sharded;

pub use sharded::Sharded;
