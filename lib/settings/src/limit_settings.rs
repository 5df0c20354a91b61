use crate::{parse, section::Section};

/// Limits on the load that a host accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of open connections, of callers and of workers each.
    pub max_connections: u32,
    /// Space for the data folder, in MiB.
    pub disk_mb: u32,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u32,
    /// Number of threads of the async runtime, which serve the connections.
    pub worker_threads: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_connections: 4_096,
            disk_mb: 1_024,
            memory_mb: 1_024,
            worker_threads: 4,
        }
    }
}

impl LimitSettings {
    pub(crate) fn read(section: &Section<'_>) -> Self {
        let default = Self::default();
        Self {
            max_body_bytes: section.or_default(
                "max_body_bytes",
                default.max_body_bytes,
                parse::number(1_024, 64 << 20),
            ),
            max_connections: section.or_default(
                "max_connections",
                default.max_connections,
                parse::number(16, 65_536),
            ),
            disk_mb: section.or_default("disk_mb", default.disk_mb, parse::number(64, 1 << 20)),
            memory_mb: section.or_default(
                "memory_mb",
                default.memory_mb,
                parse::number(64, 1 << 20),
            ),
            worker_threads: section.or_default(
                "worker_threads",
                default.worker_threads,
                parse::number(1, 256),
            ),
        }
    }
}
