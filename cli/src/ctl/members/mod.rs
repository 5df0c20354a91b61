//! Subcommands on the replicas.

mod replace;

pub(super) use replace::Replace;
