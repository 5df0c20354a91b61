//! Subcommands on the quotas of teams.

mod get;
mod put;

pub(super) use get::Get;
pub(super) use put::Put;
