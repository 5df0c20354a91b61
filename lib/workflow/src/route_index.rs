use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    sync::OnceLock,
};

use tarragon_names::Name;

use crate::Queue;

/// Finds the queue of a request without reading all routes of a configuration.
///
/// The index follows from the queues and is built at the first lookup, after which they must not change.
/// It is not a part of the value of a configuration: all indexes are equal, and a clone is empty, because
/// the queues of a copy may be replaced.
#[derive(Debug, Default)]
pub struct RouteIndex(OnceLock<Box<HostTable>>);

/// Routes by host name.
type HostTable = HashMap<Name, HostRoutes>;

/// Routes of one host name.
#[derive(Debug, Default)]
struct HostRoutes {
    /// Positions of the queues by prefix.
    by_prefix: HashMap<Name, usize>,
    /// Lengths of the prefixes, the longest one first.
    lengths: BTreeSet<Reverse<usize>>,
}

impl RouteIndex {
    /// Returns the position of the queue with the longest prefix that `path` begins with. If several
    /// queues have it, the last one counts.
    pub(crate) fn position(&self, queues: &[Queue], host: &str, path: &str) -> Option<usize> {
        let hosts = self.0.get_or_init(|| Box::new(Self::build(queues)));
        let routes = hosts.get(host)?;
        let mut lengths = routes.lengths.range(Reverse(path.len())..);
        lengths.find_map(|Reverse(length)| {
            // A prefix that ends inside of a character of the path cannot match.
            let prefix = path.get(..*length)?;
            routes.by_prefix.get(prefix).copied()
        })
    }

    fn build(queues: &[Queue]) -> HostTable {
        let mut hosts = HostTable::new();
        for (position, queue) in queues.iter().enumerate() {
            let routes = hosts.entry(queue.host.clone()).or_default();
            routes.by_prefix.insert(queue.prefix.clone(), position);
            routes.lengths.insert(Reverse(queue.prefix.len()));
        }
        hosts
    }
}

impl Clone for RouteIndex {
    fn clone(&self) -> Self {
        Self::default()
    }
}

impl PartialEq for RouteIndex {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for RouteIndex {}
