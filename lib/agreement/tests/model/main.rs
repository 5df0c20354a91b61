//! Model check of three product replicas under every order of events within a bound.

mod group;
mod shared;
mod state;

use std::env;

use group::{Fault, Group};
use state::Budget;
use tarragon_explore::{Bound, Explorer};
use yare::parameterized;

/// Bound for runs outside CI of the cases that are too large to complete.
const STATES: &str = "TARRAGON_MODEL_STATES";

type Start = fn(Fault, Budget) -> Group;

/// Guards against two leaders in a term, committed entries that are lost or changed, and stale
/// leased reads, in every order of events.
#[parameterized(
    elections = { Group::new, Budget { stands: 2, ..Budget::default() } },
    crash = { Group::new, Budget { stands: 2, crashes: 1, ..Budget::default() } },
    repeated_message = { Group::new, Budget { stands: 2, repeats: 1, ..Budget::default() } },
    lost_disk = { Group::new, Budget { stands: 2, lost_disks: 1, ..Budget::default() } },
    pause = { Group::new, Budget { stands: 2, waits: 1, ..Budget::default() } },
    binding_to_a_leader = {
        Group::settled,
        Budget { stands: 1, beats: 1, waits: 1, ..Budget::default() },
    },
    transfer = {
        Group::settled,
        Budget { stands: 1, transfers: 1, ..Budget::default() },
    },
)]
fn complete_search_finds_no_fault(start: Start, budget: Budget) {
    let explorer = Explorer {
        max_states: 150_000,
        max_depth: 60,
    };
    let group = start(Fault::None, budget.clone());
    let report = explorer.run(&format!("{budget:?}"), &group);
    assert_eq!(report.bound, Bound::Complete);
}

/// Like the complete searches, but within a bound on states that keeps CI fast.
#[parameterized(
    crash_before_sync = { 150_000, Group::new,
        Budget { stands: 2, crashes: 1, slow_syncs: 1, ..Budget::default() },
    },
    crash_and_proposal = { 40_000, Group::new,
        Budget { stands: 2, crashes: 1, proposals: 1, ..Budget::default() },
    },
    binding_after_a_restart = { 100_000, Group::settled,
        Budget { stands: 1, beats: 1, waits: 1, crashes: 1, ..Budget::default() },
    },
    late_transfer = { 100_000, Group::settled,
        Budget { transfers: 1, beats: 2, ..Budget::default() },
    },
    heartbeat = { 40_000, Group::new, Budget { stands: 2, beats: 1, ..Budget::default() } },
    three_elections = { 40_000, Group::new, Budget { stands: 3, ..Budget::default() } },
)]
fn bounded_search_finds_no_fault(states: usize, start: Start, budget: Budget) {
    let more = env::var(STATES).ok().and_then(|n| n.parse().ok());
    let explorer = Explorer {
        max_states: more.unwrap_or(states),
        max_depth: 60,
    };
    let group = start(Fault::None, budget.clone());
    let report = explorer.run(&format!("{budget:?}"), &group);
    assert_ne!(report.bound, Bound::Violation);
}

/// Guards against a model that would not notice a fault.
#[parameterized(
    vote_not_synced = {
        Fault::VoteNotSynced,
        Budget { stands: 2, crashes: 1, ..Budget::default() },
        "two leaders in a term",
    },
    lost_disk_under_the_old_identity = {
        Fault::OldIdentity,
        Budget { stands: 2, lost_disks: 1, ..Budget::default() },
        "two leaders in a term",
    },
    read_without_lease = {
        Fault::ReadWithoutLease,
        Budget { stands: 2, ..Budget::default() },
        "stale leased read",
    },
    lease_longer_than_the_election_minimum = {
        Fault::LongLease,
        Budget { stands: 2, ..Budget::default() },
        "stale leased read",
    },
)]
fn planted_fault_is_found(fault: Fault, budget: Budget, rule: &str) {
    let explorer = Explorer {
        max_states: 50_000,
        max_depth: 40,
    };
    let report = explorer.run(&format!("{fault:?}"), &Group::new(fault, budget));
    assert_eq!(report.violation.map(|v| v.rule).as_deref(), Some(rule));
}
