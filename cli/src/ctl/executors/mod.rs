//! Subcommands on executors.

mod drain;
mod list;
mod take_back;

pub(super) use drain::Drain;
pub(super) use list::List;
pub(super) use take_back::TakeBack;
