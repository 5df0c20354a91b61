//! Sharded state with one lock for each shard.
//!
//! Callers hold a lock for one decision, never across I/O or an `await`. Shards are always locked in
//! ascending order, so that two callers that need several shards cannot deadlock.

mod sharded;

pub use sharded::Sharded;
