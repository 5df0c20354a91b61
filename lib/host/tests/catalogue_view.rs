//! Guards against a host that decides by a catalogue that it cannot prove to be fresh, and against
//! a late answer that undoes a newer change.

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
        echoed_clock: clock,
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
    fresh_after_the_answer = { 400, true },
    fresh_in_the_last_millisecond_of_the_lease = { 100 + FRESHNESS_LEASE.0 - 1, true },
    stale_one_lease_after_the_poll_and_not_the_answer = { 100 + FRESHNESS_LEASE.0, false },
)]
fn lease_is_counted_from_the_poll(now: u64, fresh: bool) {
    let view = CatalogueView::new("h1".into());
    let poll = view.start_poll(Millis(100));
    view.apply_grant(grant(poll.host_clock, 1, "reels"));
    assert_eq!(view.fresh(Millis(now)).is_some(), fresh);
}

#[test]
fn host_without_an_answer_is_not_fresh() {
    let view = CatalogueView::new("h1".into());
    view.start_poll(Millis(100));
    assert!(view.fresh(Millis(101)).is_none());
}

#[test]
fn late_answer_does_not_undo_a_newer_change() {
    let view = CatalogueView::new("h1".into());
    let first = view.start_poll(Millis(100));
    let second = view.start_poll(Millis(600));
    view.apply_grant(grant(second.host_clock, 2, "web"));
    view.apply_grant(grant(first.host_clock, 1, "reels"));
    assert_eq!(view.revision(), Revision(2));
    assert_eq!(owner(&view, Millis(700)).as_deref(), Some("web"));
    assert!(view.fresh(Millis(599 + FRESHNESS_LEASE.0)).is_some());
}
