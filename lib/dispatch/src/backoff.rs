use std::hash::{DefaultHasher, Hash, Hasher};

use tarragon_names::Millis;

/// Number of failed attempts after which the delay no longer doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Returns the delay before an order is sent again after `failures` failed attempts.
///
/// The delay doubles with each failure. Up to half of it is added, depending on `key`, so that orders
/// that failed together are not sent again together.
pub(crate) fn backoff<K>(first: Millis, failures: u32, key: &K) -> Millis
where
    K: Hash,
{
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let delay = first.0 << doublings;
    let mut hasher = DefaultHasher::new();
    (key, failures).hash(&mut hasher);
    Millis(delay + hasher.finish() % (delay / 2).max(1))
}
