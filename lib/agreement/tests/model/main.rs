//! Model checking of three real replicas under every order of events within a bound.

mod group;
mod shared;
mod state;

use std::env;

use group::{Fault, Group};
use state::Budget;
use tarragon_explore::{Explorer, StopReason};
use yare::parameterized;

/// Environment variable that overrides the bounds on states of `bounded_search_finds_no_violation`
/// for runs outside CI.
const MAX_STATES_VARIABLE: &str = "TARRAGON_MODEL_STATES";

type GroupConstructor = fn(Fault, Budget) -> Group;

/// Guards against two leaders in a term, committed entries that are lost or changed, and stale
/// leased reads, in every order of events.
#[parameterized(
    elections = { Group::new, Budget { elections: 2, ..Budget::default() } },
    crash = { Group::new, Budget { elections: 2, crashes: 1, ..Budget::default() } },
    duplicate_message = { Group::new, Budget { elections: 2, duplicates: 1, ..Budget::default() } },
    lost_disk = { Group::new, Budget { elections: 2, lost_disks: 1, ..Budget::default() } },
    pause = { Group::new, Budget { elections: 2, waits: 1, ..Budget::default() } },
    vote_refusal_after_leader_contact = {
        Group::with_leader,
        Budget { elections: 1, heartbeats: 1, waits: 1, ..Budget::default() },
    },
    transfer = {
        Group::with_leader,
        Budget { elections: 1, transfers: 1, ..Budget::default() },
    },
)]
fn complete_search_finds_no_violation(new_group: GroupConstructor, budget: Budget) {
    let explorer = Explorer {
        max_states: 150_000,
        max_depth: 60,
    };
    let group = new_group(Fault::None, budget.clone());
    let report = explorer.run(&format!("{budget:?}"), &group);
    assert_eq!(report.stop_reason, StopReason::Complete);
}

/// Guards against the same violations in models too large for a complete search. The bounds on
/// states keep CI fast.
#[parameterized(
    crash_before_sync = { 150_000, Group::new,
        Budget { elections: 2, crashes: 1, slow_syncs: 1, ..Budget::default() },
    },
    crash_and_proposal = { 40_000, Group::new,
        Budget { elections: 2, crashes: 1, proposals: 1, ..Budget::default() },
    },
    vote_refusal_after_a_restart = { 100_000, Group::with_leader,
        Budget { elections: 1, heartbeats: 1, waits: 1, crashes: 1, ..Budget::default() },
    },
    late_transfer = { 100_000, Group::with_leader,
        Budget { transfers: 1, heartbeats: 2, ..Budget::default() },
    },
    heartbeat = { 40_000, Group::new, Budget { elections: 2, heartbeats: 1, ..Budget::default() } },
    three_elections = { 40_000, Group::new, Budget { elections: 3, ..Budget::default() } },
)]
fn bounded_search_finds_no_violation(states: usize, new_group: GroupConstructor, budget: Budget) {
    let max_states = env::var(MAX_STATES_VARIABLE)
        .ok()
        .and_then(|n| n.parse().ok());
    let explorer = Explorer {
        max_states: max_states.unwrap_or(states),
        max_depth: 60,
    };
    let group = new_group(Fault::None, budget.clone());
    let report = explorer.run(&format!("{budget:?}"), &group);
    assert_ne!(report.stop_reason, StopReason::Violation);
}

/// Guards against a model that does not detect a violation.
#[parameterized(
    vote_not_synced = {
        Fault::VoteNotSynced,
        Budget { elections: 2, crashes: 1, ..Budget::default() },
        "two leaders in a term",
    },
    reused_identity_after_a_lost_disk = {
        Fault::ReusedIdentity,
        Budget { elections: 2, lost_disks: 1, ..Budget::default() },
        "two leaders in a term",
    },
    read_without_lease = {
        Fault::ReadWithoutLease,
        Budget { elections: 2, ..Budget::default() },
        "stale leased read",
    },
    lease_longer_than_the_election_minimum = {
        Fault::LongLease,
        Budget { elections: 2, ..Budget::default() },
        "stale leased read",
    },
)]
fn injected_fault_is_detected(fault: Fault, budget: Budget, rule: &str) {
    let explorer = Explorer {
        max_states: 50_000,
        max_depth: 40,
    };
    let report = explorer.run(&format!("{fault:?}"), &Group::new(fault, budget));
    assert_eq!(report.violation.map(|v| v.rule).as_deref(), Some(rule));
}
