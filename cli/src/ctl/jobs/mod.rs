//! Subcommands on jobs.

mod cancel;
mod explain;
mod list;
mod show;

pub(super) use cancel::Cancel;
pub(super) use explain::Explain;
pub(super) use list::List;
pub(super) use show::Show;
