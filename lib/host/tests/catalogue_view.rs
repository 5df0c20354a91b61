//! Guards against a host that decides by a catalogue it cannot prove to be fresh, and against a
//! late answer that takes a change back.

use tarragon_catalogue::{CatalogueEntry, FRESHNESS_LEASE, Limits, Pattern};
use tarragon_host::CatalogueView;
use tarragon_names::{Class, Millis, Revision, Term, Workload};
use tarragon_wire::control::CatalogueGrant;
use yare::parameterized;

fn entry(owner: &str) -> CatalogueEntry {
    CatalogueEntry {
        pattern: Pattern::from("reel*".to_owned()),
        owner: owner.into(),
        class: Class::Urgent,
        workloads: vec![Workload::Batch],
        pool: None,
        repeatable: false,
        limits: Limits::default(),
    }
}

fn grant(clock: Millis, revision: u64, owner: &str) -> CatalogueGrant {
    let entry = entry(owner);
    CatalogueGrant {
        clock,
        term: Term(1),
        revision: Revision(revision),
        entries: vec![(entry.pattern.clone(), Revision(revision), Some(entry))],
    }
}

fn owner(view: &CatalogueView, now: Millis) -> Option<String> {
    let catalogue = view.fresh(now)?;
    catalogue
        .resolve(&"reel-7".into())
        .map(|entry| entry.owner.to_string())
}

#[parameterized(
    right_after_the_answer = { 400, true },
    at_the_end_of_the_lease = { 100 + FRESHNESS_LEASE.0 - 1, true },
    lease_runs_from_the_poll_and_not_from_the_answer = { 100 + FRESHNESS_LEASE.0, false },
)]
fn lease_ends(now: u64, fresh: bool) {
    let view = CatalogueView::new("h1".into());
    let poll = view.poll(Millis(100));
    view.granted(grant(poll.clock, 1, "reels"));
    assert_eq!(view.fresh(Millis(now)).is_some(), fresh);
}

#[test]
fn host_without_an_answer_is_not_fresh() {
    let view = CatalogueView::new("h1".into());
    view.poll(Millis(100));
    assert!(view.fresh(Millis(101)).is_none());
}

#[test]
fn late_answer_takes_nothing_back() {
    let view = CatalogueView::new("h1".into());
    let first = view.poll(Millis(100));
    let second = view.poll(Millis(600));
    view.granted(grant(second.clock, 2, "web"));
    view.granted(grant(first.clock, 1, "reels"));
    assert_eq!(view.revision(), Revision(2));
    assert_eq!(owner(&view, Millis(700)).as_deref(), Some("web"));
    assert!(view.fresh(Millis(599 + FRESHNESS_LEASE.0)).is_some());
}
