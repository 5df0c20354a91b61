//! Durable storage of the log, vote and snapshot of a replica, behind the trait [`LogStore`].
//!
//! [`FileStore`] stores them in a data folder, [`MemStore`] in memory. A data folder belongs to one
//! member identity. A host whose data folder has no identity must join as a new member.

mod disk;
mod disk_usage;
mod file_store;
mod files;
mod folder;
mod frame;
mod log_map;
mod log_reader;
mod log_store;
mod mem_store;
mod record;
mod store_sizes;

pub use disk::{Disk, LocalDisk};
pub use disk_usage::DiskUsage;
pub use file_store::FileStore;
pub use files::Files;
pub use folder::Folder;
pub use log_store::LogStore;
pub use mem_store::MemStore;
pub use store_sizes::StoreSizes;
