//! Thread of a replica that is the only voter of its group, on a store in memory.

mod disk_store;
mod group;

use disk_store::DiskState;
use group::Group;

/// Guards against a first entry of a term that is reported as synced, and so counted for its commit,
/// because it was written between the sync and the report of the vote.
#[test]
fn first_entry_of_a_term_is_synced_before_it_counts() {
    let group = Group::start(&DiskState::new());
    group.wait_for_leadership();
    assert_eq!(group.entries_unsynced_at_first_commit(), 0);
}
