//! Subcommands on the configuration of the users' platform.

mod check;
mod check_report;

pub(super) use check::Check;
