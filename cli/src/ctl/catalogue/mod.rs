//! Subcommands on the catalogue.

mod delete;
mod get;
mod history;
mod list;
mod put;
mod row;
mod wait;

pub(super) use delete::Delete;
pub(super) use get::Get;
pub(super) use history::History;
pub(super) use list::List;
pub(super) use put::Put;
pub(super) use wait::Wait;
