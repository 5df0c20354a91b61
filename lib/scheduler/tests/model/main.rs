//! Model checks of the leases: the product's transition functions under every order of events
//! within the bounds, and planted faults that the same checks must find.

mod freshness_model;
mod lease_model;

use std::env;

use freshness_model::{FreshFault, FreshnessModel};
use lease_model::{LeaseFault, LeaseModel};
use tarragon_explore::{Bound, Explorer, Model, Report};
use yare::parameterized;

/// States that a search visits at most; `TARRAGON_STATES` raises it.
fn explorer(states: usize) -> Explorer {
    let asked = env::var("TARRAGON_STATES").ok();
    Explorer {
        max_states: asked.and_then(|text| text.parse().ok()).unwrap_or(states),
        max_depth: 60,
    }
}

fn explore<M>(name: &str, states: usize, model: &M) -> Report<M::Step>
where
    M: Model,
{
    explorer(states).run(name, model)
}

/// Guards against a task in two places, a released task that still runs
/// and a start after `not_run`, with the product's rules.
#[parameterized(
    two_workers = { LeaseModel::new(2), 150_000 },
    one_worker_cancelled = { LeaseModel::new(1).with_cancel(), 60_000 },
    two_workers_cancelled = { LeaseModel::new(2).with_cancel(), 150_000 },
)]
fn leases_hold(model: LeaseModel, states: usize) {
    let report = explore("leases", states, &model);
    assert_eq!(
        report.violation.map(|violation| violation.to_string()),
        None
    );
}

/// Guards against a check that would not notice a wrong lease.
#[parameterized(
    no_drift_margin = { LeaseModel::new(2).with_fault(LeaseFault::DriftIgnored) },
    no_fence = { LeaseModel::new(2).with_fault(LeaseFault::FenceIgnored) },
    release_without_waiting = { LeaseModel::new(2).with_fault(LeaseFault::ReleasedAtOnce) },
    no_leader_lease = { LeaseModel::new(2).with_fault(LeaseFault::LeaderLeaseIgnored) },
    not_run_without_confirmation = {
        LeaseModel::new(1).with_cancel().with_fault(LeaseFault::AssumedNeverBegan)
    },
)]
fn planted_lease_fault_is_found(model: LeaseModel) {
    let report = explore("planted lease fault", 2_000_000, &model);
    assert_eq!(report.bound, Bound::Violation);
}

/// Guards against a host that decides by an entry older than what is told as in force.
#[test]
fn freshness_holds() {
    let report = explore("freshness", 100_000, &FreshnessModel::new(None));
    assert_eq!(
        report.violation.map(|violation| violation.to_string()),
        None
    );
}

/// Guards against a check that would not notice a wrong freshness lease.
#[parameterized(
    lease_from_the_answer = { FreshFault::FromAnswer },
    no_drift_margin = { FreshFault::NoDriftMargin },
    no_wait_after_election = { FreshFault::NoWait },
)]
fn planted_freshness_fault_is_found(fault: FreshFault) {
    let report = explore(
        "planted freshness fault",
        2_000_000,
        &FreshnessModel::new(Some(fault)),
    );
    assert_eq!(report.bound, Bound::Violation);
}
