//! Tests of resolution, conditional writes and validation of catalogue entries.

use tarragon_catalogue::{Catalogue, CatalogueEntry, Limits};
use tarragon_codes::Code;
use tarragon_names::{Class, JobName, Revision, Workload};
use yare::parameterized;

fn entry(pattern: &str) -> CatalogueEntry {
    CatalogueEntry {
        pattern: pattern.to_owned().into(),
        owner: "reels".into(),
        class: Class::Standard,
        workloads: vec![Workload::Batch],
        pool: None,
        repeatable: false,
        limits: Limits::default(),
    }
}

/// Guards against resolving a name to a shorter prefix, or to none because of a pattern that sorts
/// between the name and its prefix.
#[parameterized(
    exact_wins = { "pre-press-a", Some("pre-press-a") },
    longest_prefix = { "pre-press-b", Some("pre-press-*") },
    pattern_sorts_between = { "pre-pz", Some("pre-*") },
    sorts_before_all_prefixes = { "a", Some("*") },
    equals_the_prefix = { "pre-", Some("pre-*") },
    multibyte = { "žilina-ž1", Some("žilina-*") },
    multibyte_differs = { "žilina_1", Some("*") },
)]
fn most_specific_entry_covers_the_name(name: &str, expected: Option<&str>) {
    let mut catalogue = Catalogue::default();
    for pattern in [
        "*",
        "pre-*",
        "pre-press-*",
        "pre-press-a",
        "pre-press-zz*",
        "žilina-*",
    ] {
        catalogue.put(Revision(0), entry(pattern)).unwrap();
    }
    let found = catalogue
        .resolve(&JobName::from(name))
        .map(|entry| entry.pattern.to_string());
    assert_eq!(found.as_deref(), expected);
}

/// Guards against a creation that is resent after the deletion and recreates the entry.
#[test]
fn creation_after_deletion_expects_the_revision_of_the_deletion() {
    let mut catalogue = Catalogue::default();
    assert_eq!(catalogue.put(Revision(0), entry("a")), Ok(Revision(1)));
    let pattern = entry("a").pattern;
    assert_eq!(catalogue.delete(Revision(1), &pattern), Ok(Revision(2)));
    assert!(catalogue.resolve(&"a".into()).is_none());
    let resent = catalogue.put(Revision(0), entry("a")).unwrap_err();
    assert_eq!(resent.code, Code::RevisionConflict);
    assert_eq!(catalogue.put(Revision(2), entry("a")), Ok(Revision(3)));
}

/// Guards against a host that replaces a newer change by an older one.
#[test]
fn install_ignores_older_changes() {
    let mut leader = Catalogue::default();
    leader.put(Revision(0), entry("a*")).unwrap();
    let first = leader.clone();
    leader.delete(Revision(1), &entry("a*").pattern).unwrap();
    let mut host = Catalogue::default();
    for source in [&leader, &first] {
        for (pattern, change) in source.changes_since(Revision(0)) {
            host.install(pattern.clone(), change.clone());
        }
    }
    assert_eq!(host.revision(), Revision(2));
    assert!(host.resolve(&"ab".into()).is_none());
}

/// Guards against accepting an entry whose fields contradict each other or exclude all work.
#[parameterized(
    no_owner = { |e| e.owner = "".into() },
    no_workloads = { |e| e.workloads.clear() },
    pool_without_requests = { |e| e.pool = Some("p".into()) },
    requests_without_pool = { |e| e.workloads.push(Workload::Request) },
    several_sends_but_not_repeatable = { |e| e.limits.max_sends = 2 },
    timeout_too_short = { |e| e.limits.request_timeout_ms = 49 },
    timeout_too_long = { |e| e.limits.request_timeout_ms = 30_001 },
    no_tasks = { |e| e.limits.max_tasks = 0 },
    star_before_the_end = { |e| e.pattern = "a*b".to_owned().into() },
    empty_pattern = { |e| e.pattern = String::new().into() },
)]
fn invalid_entry_is_rejected(change: fn(&mut CatalogueEntry)) {
    let mut entry = entry("a");
    assert_eq!(entry.validate(), Ok(()));
    change(&mut entry);
    assert_eq!(entry.validate().unwrap_err().code, Code::BadEntry);
}
