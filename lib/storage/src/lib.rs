//! Durable log, vote record and snapshot files behind a storage trait.
//!
//! [`FileStore`] keeps them in one data folder, [`MemStore`] in memory. A data folder belongs to
//! one member identity; a folder without it starts a new member.

mod file_store;
mod files;
mod folder;
mod frame;
mod log_store;
mod mem_store;
mod record;

pub use file_store::FileStore;
pub use files::Files;
pub use folder::Folder;
pub use log_store::LogStore;
pub use mem_store::MemStore;
