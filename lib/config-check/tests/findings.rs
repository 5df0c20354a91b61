//! Entries that never match and limits that contradict each other.

use tarragon_config_check::{CheckedConfiguration, Finding, QueueDetails, findings};
use tarragon_names::{Millis, Name, PoolName, Resources, TeamName};
use tarragon_workflow::{AdviceTerms, Configuration, KeyDigest, Queue, Team, WorkerPool};
use yare::parameterized;

const HEX: &str = "0123456789abcdef";

fn queue(host: &str, prefix: &str) -> Queue {
    Queue {
        name: Name::from(format!("{host}{prefix}")),
        host: Name::from(host),
        prefix: Name::from(prefix),
        pool: PoolName::from("s"),
        priority: 0,
        max_attempts: 1,
        stretch_permille: 1_000,
        target_latency: Millis(0),
        advice: None,
    }
}

fn team(name: &str, keys: &[&str], weight: u64) -> Team {
    Team {
        name: TeamName::from(name),
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        weight,
        cap: Resources::new(u64::MAX, u64::MAX, u64::MAX),
    }
}

fn checked(places: &[(&str, &str)]) -> CheckedConfiguration {
    let queues = places.iter().map(|(host, prefix)| queue(host, prefix));
    let details = QueueDetails {
        route: Name::from("r"),
        time_limit: Millis(1_000),
        allows_anonymous: false,
    };
    CheckedConfiguration {
        configuration: Configuration {
            version: 1,
            queues: queues.collect(),
            pools: vec![WorkerPool {
                pool: PoolName::from("s"),
                enforces_capacity: false,
                is_powered_off: false,
            }],
            ..Configuration::default()
        },
        queue_details: vec![details; places.len()],
        ..CheckedConfiguration::default()
    }
}

/// Guards against a queue that no request reaches and that is not reported, and against a report of
/// a queue that some requests reach.
#[parameterized(
    one_queue = { &[("h", "/a/")], &[] },
    longer_prefix_takes_a_part = { &[("h", "/a/"), ("h", "/a/0")], &[] },
    longer_prefix_is_no_key = { &[("h", "/a/"), ("h", "/a/x/")], &[] },
    longer_prefix_on_another_host = { &[("h", ""), ("g", "/")], &[Finding::UnmatchablePrefix { queue: 0 }] },
    prefix_empty = { &[("h", "")], &[Finding::UnmatchablePrefix { queue: 0 }] },
    prefix_without_slash = { &[("h", "a/")], &[Finding::UnmatchablePrefix { queue: 0 }] },
    prefix_with_query = { &[("h", "/a?x=")], &[Finding::UnmatchablePrefix { queue: 0 }] },
    prefix_with_space = { &[("h", "/a b/")], &[Finding::UnmatchablePrefix { queue: 0 }] },
    host_with_port = { &[("h:80", "/a/")], &[Finding::UnmatchableHost { queue: 0 }] },
    host_with_line_end = { &[("h\n", "/a/")], &[Finding::UnmatchableHost { queue: 0 }] },
)]
fn unreached_queue_is_found(places: &[(&str, &str)], expected: &[Finding]) {
    assert_eq!(findings(&checked(places), None), expected);
}

/// Guards against a queue all of whose paths go to longer prefixes, of one digit or more, and
/// against one that is reported although a digit is left to it.
#[parameterized(
    each_digit = { 16, false, Some(1) },
    one_digit_missing = { 15, false, None },
    one_digit_by_two = { 15, true, Some(1) },
)]
fn covered_queue_is_found(digits: usize, with_second_digit: bool, by: Option<usize>) {
    let mut prefixes = HEX[..digits]
        .chars()
        .map(|d| format!("/a/{d}"))
        .collect::<Vec<_>>();
    if with_second_digit {
        prefixes.extend(HEX.chars().map(|d| format!("/a/f{d}")));
    }
    prefixes.insert(0, "/a/".to_owned());
    let places = prefixes.iter().map(|prefix| ("h", prefix.as_str()));
    let found = findings(&checked(&places.collect::<Vec<_>>()), None);
    let expected = by.map(|by| Finding::CoveredPrefix { queue: 0, by });
    assert_eq!(found, Vec::from_iter(expected));
}

/// Guards against limits that contradict each other and against a report at the exact bound.
#[parameterized(
    objective_at_the_limit = { |c| c.configuration.queues[0].target_latency = Millis(1_000), None },
    objective_above_the_limit = {
        |c| c.configuration.queues[0].target_latency = Millis(1_001),
        Some(Finding::TimeLimitBelowObjective { queue: 0, time_limit: Millis(1_000), objective: Millis(1_001) })
    },
    no_attempts = { |c| c.configuration.queues[0].max_attempts = 0, Some(Finding::NoAttempts { queue: 0 }) },
    advice_in_time = { |c| c.configuration.queues[0].advice = Some(advice(9_000, 999, 10)), None },
    advice_late = {
        |c| c.configuration.queues[0].advice = Some(advice(9_000, 1_000, 10)),
        Some(Finding::AdviceExpiresInTransit { queue: 0, arrival_us: 10_000, valid: Millis(10) })
    },
    advice_never_valid = {
        |c| c.configuration.queues[0].advice = Some(advice(0, 0, 0)),
        Some(Finding::AdviceExpiresInTransit { queue: 0, arrival_us: 0, valid: Millis(0) })
    },
    unused_pool = {
        |c| c.configuration.pools.push(WorkerPool { pool: "t".into(), enforces_capacity: true, is_powered_off: false }),
        Some(Finding::UnusedPool { pool: 1 })
    },
    one_weight = { |c| c.teams = vec![team("a", &["k"], 0), team("b", &["l"], 1)], None },
    zero_weights = { |c| c.teams = vec![team("a", &["k"], 0), team("b", &["l"], 0)], Some(Finding::ZeroWeights) },
    team_without_keys = { |c| c.teams = vec![team("a", &[], 1)], Some(Finding::TeamWithoutKeys { team: 0 }) },
    keys_not_required = {
        |c| { c.teams = vec![team("a", &["k"], 1)]; c.queue_details[0].allows_anonymous = true; },
        Some(Finding::UnrequiredKeys { team: 0 })
    },
    no_keys_to_require = { |c| c.queue_details[0].allows_anonymous = true, None },
    unmatchable_key = {
        |c| { c.teams = vec![team("a", &["k", "l "], 1)]; c.unmatchable_keys = vec![(0, 1)]; },
        Some(Finding::UnmatchableKey { team: 0, key: 1 })
    },
)]
fn contradiction_is_found(change: fn(&mut CheckedConfiguration), expected: Option<Finding>) {
    let mut checked = checked(&[("h", "/a/")]);
    change(&mut checked);
    assert_eq!(findings(&checked, None), Vec::from_iter(expected));
}

fn advice(decide_us: u64, per_worker_us: u64, valid_ms: u64) -> AdviceTerms {
    AdviceTerms {
        decide_us,
        per_worker_us,
        valid: Millis(valid_ms),
    }
}

/// Guards against a configuration that is sent and never comes into force.
#[parameterized(
    lower = { 6, 7, true },
    same = { 7, 7, true },
    higher = { 8, 7, false },
)]
fn version_that_is_not_higher_is_found(version: u64, in_force: u64, is_found: bool) {
    let mut new = checked(&[("h", "/a/")]);
    let mut old = new.clone();
    new.configuration.version = version;
    old.configuration.version = in_force;
    let expected = is_found.then_some(Finding::VersionNotHigher { version, in_force });
    assert_eq!(findings(&new, Some(&old)), Vec::from_iter(expected));
}
