//! Resolution, conditional writes and checks of entries.

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

/// Guards against a shorter prefix, or a neighbour in sort order, hiding the right entry.
#[parameterized(
    exact_wins = { "pre-press-a", Some("pre-press-a") },
    longest_prefix = { "pre-press-b", Some("pre-press-*") },
    neighbour_in_order = { "pre-pz", Some("pre-*") },
    below_all = { "a", Some("*") },
    the_prefix_itself = { "pre-", Some("pre-*") },
    multibyte = { "žilina-ž1", Some("žilina-*") },
    multibyte_differs = { "žilina_1", Some("*") },
)]
fn resolves(name: &str, expected: Option<&str>) {
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

/// Guards against a creation that is resent after a deletion bringing the entry back.
#[test]
fn creation_after_deletion_needs_its_revision() {
    let mut catalogue = Catalogue::default();
    assert_eq!(catalogue.put(Revision(0), entry("a")), Ok(Revision(1)));
    let pattern = entry("a").pattern;
    assert_eq!(catalogue.delete(Revision(1), &pattern), Ok(Revision(2)));
    assert!(catalogue.resolve(&"a".into()).is_none());
    let resent = catalogue.put(Revision(0), entry("a")).unwrap_err();
    assert_eq!(resent.code, Code::RevisionConflict);
    assert_eq!(catalogue.put(Revision(2), entry("a")), Ok(Revision(3)));
}

/// Guards against a host installing an older change over a newer one.
#[test]
fn install_never_goes_back() {
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

/// Guards against an accepted entry that no request or job can satisfy.
#[parameterized(
    no_owner = { |e| e.owner = "".into() },
    no_work = { |e| e.workloads.clear() },
    pool_without_requests = { |e| e.pool = Some("p".into()) },
    requests_without_pool = { |e| e.workloads.push(Workload::Request) },
    repeated_though_not_repeatable = { |e| e.limits.max_sends = 2 },
    timeout_too_short = { |e| e.limits.request_timeout_ms = 49 },
    timeout_too_long = { |e| e.limits.request_timeout_ms = 30_001 },
    no_tasks = { |e| e.limits.max_tasks = 0 },
    star_inside = { |e| e.pattern = "a*b".to_owned().into() },
    empty_name = { |e| e.pattern = String::new().into() },
)]
fn contradiction_is_found(change: fn(&mut CatalogueEntry)) {
    let mut entry = entry("a");
    assert_eq!(entry.validate(), Ok(()));
    change(&mut entry);
    assert_eq!(entry.validate().unwrap_err().code, Code::BadEntry);
}
