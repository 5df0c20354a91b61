//! Durable log, vote record and snapshot files behind a storage trait.
