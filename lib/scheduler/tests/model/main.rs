//! Model checks of the leases.
//!
//! The search runs the transition functions of the leases in every order of events within the
//! bounds. Injected faults verify that the same checks detect wrong leases.

mod freshness_model;
mod lease_message;
mod lease_model;
mod lease_state;

use std::env;

use freshness_model::{FreshnessFault, FreshnessModel};
use lease_model::{LeaseFault, LeaseModel};
use tarragon_explore::{Explorer, Model, Report, StopReason};
use yare::parameterized;

/// Returns an explorer that visits at most `states` states; `TARRAGON_STATES` overrides the number.
fn explorer(states: usize) -> Explorer {
    let max_states_override = env::var("TARRAGON_STATES").ok();
    Explorer {
        max_states: max_states_override
            .and_then(|text| text.parse().ok())
            .unwrap_or(states),
        max_depth: 60,
    }
}

fn explore<M>(name: &str, states: usize, model: &M) -> Report<M::Step>
where
    M: Model,
{
    explorer(states).run(name, model)
}

/// Guards against a task that runs on two workers, a released task that still runs, and a task that
/// starts although its job is reported as `not_run`.
#[parameterized(
    two_workers = { LeaseModel::new(2), 150_000 },
    one_worker_cancelled = { LeaseModel::new(1).with_cancel(), 60_000 },
    two_workers_cancelled = { LeaseModel::new(2).with_cancel(), 150_000 },
)]
fn no_unsafe_state_with_correct_leases(model: LeaseModel, states: usize) {
    let report = explore("leases", states, &model);
    assert_eq!(
        report.violation.map(|violation| violation.to_string()),
        None
    );
}

/// Guards against a model check that does not detect a wrong lease.
#[parameterized(
    no_drift_margin = { LeaseModel::new(2).with_fault(LeaseFault::DriftIgnored) },
    no_fence = { LeaseModel::new(2).with_fault(LeaseFault::FenceIgnored) },
    release_without_waiting = { LeaseModel::new(2).with_fault(LeaseFault::ReleasedWithoutWaiting) },
    no_leader_lease = { LeaseModel::new(2).with_fault(LeaseFault::LeaderLeaseIgnored) },
    not_run_without_confirmation = {
        LeaseModel::new(1).with_cancel().with_fault(LeaseFault::AssumedNeverBegan)
    },
)]
fn injected_lease_fault_is_detected(model: LeaseModel) {
    let report = explore("injected lease fault", 2_000_000, &model);
    assert_eq!(report.stop_reason, StopReason::Violation);
}

/// Guards against a host that decides by a revision older than the one reported as in force.
#[test]
fn no_stale_decision_with_correct_freshness_lease() {
    let report = explore("freshness", 100_000, &FreshnessModel::new(None));
    assert_eq!(
        report.violation.map(|violation| violation.to_string()),
        None
    );
}

/// Guards against a model check that does not detect a wrong freshness lease.
#[parameterized(
    lease_from_the_answer = { FreshnessFault::FromAnswer },
    no_drift_margin = { FreshnessFault::NoDriftMargin },
    no_wait_after_election = { FreshnessFault::NoWait },
)]
fn injected_freshness_fault_is_detected(fault: FreshnessFault) {
    let report = explore(
        "injected freshness fault",
        2_000_000,
        &FreshnessModel::new(Some(fault)),
    );
    assert_eq!(report.stop_reason, StopReason::Violation);
}
