use crate::{parse, section::Section};

/// Bounds of what a host takes in at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Largest body of a request in bytes.
    pub max_body_bytes: u64,
    /// Most open connections of callers.
    pub max_connections: u32,
    /// Threads that serve connections.
    pub worker_threads: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_connections: 4_096,
            worker_threads: 4,
        }
    }
}

impl LimitSettings {
    pub(crate) fn read(section: &Section<'_>) -> Self {
        let default = Self::default();
        Self {
            max_body_bytes: section.or(
                "max_body_bytes",
                default.max_body_bytes,
                parse::number(1_024, 64 << 20),
            ),
            max_connections: section.or(
                "max_connections",
                default.max_connections,
                parse::number(16, 65_536),
            ),
            worker_threads: section.or(
                "worker_threads",
                default.worker_threads,
                parse::number(1, 256),
            ),
        }
    }
}
