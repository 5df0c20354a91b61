//! Lookup of the queue of a request.

use proptest::prelude::*;
use tarragon_names::{Millis, Name, PoolName};
use tarragon_workflow::{Configuration, Queue};

fn queue((host, prefix): &(String, String)) -> Queue {
    Queue {
        name: Name::from(format!("{host}{prefix}")),
        host: Name::from(host.as_str()),
        prefix: Name::from(prefix.as_str()),
        pool: PoolName::from("p"),
        priority: 0,
        max_attempts: 1,
        stretch_permille: 1_000,
        target_latency: Millis(0),
        advice: None,
    }
}

fn configuration(routes: &[(String, String)]) -> Configuration {
    Configuration {
        queues: routes.iter().map(queue).collect(),
        ..Configuration::default()
    }
}

/// Result of reading all routes.
fn resolve_slowly<'a>(
    configuration: &'a Configuration,
    host: &str,
    path: &'a str,
) -> Option<(&'a Queue, &'a str)> {
    let queues = configuration.queues.iter();
    let matching =
        queues.filter(|q| q.host.as_str() == host && path.starts_with(q.prefix.as_str()));
    let queue = matching.max_by_key(|queue| queue.prefix.len())?;
    Some((queue, &path[queue.prefix.len()..]))
}

proptest! {
    /// Guards against an index that leads a request to another queue than all routes together would:
    /// with nested, equal and empty prefixes, characters of several bytes, and paths that end early.
    #[test]
    fn index_finds_the_queue_with_the_longest_prefix(
        routes in proptest::collection::vec(("[ab]", "[/aé]{0,4}"), 0..24),
        requests in proptest::collection::vec(("[abc]", "[/aéè]{0,6}"), 1..24),
    ) {
        let configuration = configuration(&routes);
        for (host, path) in &requests {
            prop_assert_eq!(
                configuration.resolve(host, path),
                resolve_slowly(&configuration, host, path)
            );
        }
    }

    /// Guards against a copy that is changed and then looked up by the routes of the original.
    #[test]
    fn changed_copy_has_its_own_index(
        routes in proptest::collection::vec(("[ab]", "[/a]{0,3}"), 1..8),
        others in proptest::collection::vec(("[ab]", "[/a]{0,3}"), 1..8),
        path in "[/a]{0,4}",
    ) {
        let original = configuration(&routes);
        let _indexed = original.resolve("a", &path);
        let copy = Configuration {
            queues: others.iter().map(queue).collect(),
            ..original.clone()
        };
        prop_assert_eq!(copy.resolve("a", &path), resolve_slowly(&copy, "a", &path));
        prop_assert_eq!(original.clone(), original);
    }
}
