use tarragon_names::{HostName, Name};

/// Ids of the requests that a process of a host sends to executors, unique among all processes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestIds {
    prefix: Name,
}

impl RequestIds {
    /// Ids of one process; `boot` is drawn at random when it starts.
    pub fn new(host: &HostName, boot: u64) -> Self {
        Self {
            prefix: format!("{host}-{boot:x}-").into(),
        }
    }

    /// The id of a request by its number.
    pub fn id(&self, number: u64) -> String {
        format!("{}{number}", self.prefix)
    }

    /// The number in an id of this process.
    pub fn number(&self, id: &str) -> Option<u64> {
        id.strip_prefix(self.prefix.as_str())?.parse().ok()
    }
}
