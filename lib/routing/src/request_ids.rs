use tarragon_names::{HostName, Name};

/// Converts between request numbers of this process and request ids, which are unique among the
/// processes of all hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestIds {
    prefix: Name,
}

impl RequestIds {
    /// Ids for one process of a host; `boot` is a random number chosen when the process starts.
    pub fn new(host: &HostName, boot: u64) -> Self {
        Self {
            prefix: format!("{host}-{boot:x}-").into(),
        }
    }

    /// Id of the request with this number.
    pub fn id(&self, number: u64) -> String {
        format!("{}{number}", self.prefix)
    }

    /// Request number in an id; `None` if another process issued the id.
    pub fn parse_number(&self, id: &str) -> Option<u64> {
        id.strip_prefix(self.prefix.as_str())?.parse().ok()
    }
}
