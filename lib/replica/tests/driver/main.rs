//! Thread of a replica that is the only voter of its group, on a store whose disk can be full.

mod disk_store;
mod group;
mod lagging_member;

use disk_store::DiskState;
use group::{Group, wait_until};
use tarragon_codes::Code;

/// Guards against a first entry of a term that is reported as synced, and so counted for its commit,
/// because it was written between the sync and the report of the vote.
#[test]
fn first_entry_of_a_term_is_synced_before_it_counts() {
    let group = Group::start(&DiskState::new());
    group.wait_for_leadership();
    assert_eq!(group.entries_unsynced_at_first_commit(), 0);
}

/// Guards against a leader that ends with a full disk, that answers no reads then, or that acknowledges
/// a write which its disk does not hold.
#[test]
fn leader_with_a_full_disk_waits_for_room() {
    let disk = DiskState::new();
    let group = Group::start(&disk);
    group.wait_for_leadership();
    assert_eq!(group.add(1), Ok(1));
    disk.set_full(true);
    group.send(10);
    wait_until("the full disk is reported", || {
        group.count("disk_full") == 1
    });
    assert_eq!(group.metrics.disk_full.get(), 1);
    let entries = disk.recovered().entries.len();
    let refusal = group.add(100).expect_err("nothing can be written");
    assert_eq!(refusal.code, Code::StateFull);
    assert!(refusal.retry_after_ms.is_some());
    assert_eq!(group.read(), Ok(()));
    assert_eq!(disk.recovered().entries.len(), entries);
    disk.set_full(false);
    wait_until("the disk is used again", || {
        group.count("disk_writable") == 1
    });
    assert_eq!(group.metrics.disk_full.get(), 0);
    assert_eq!(group.add(1_000), Ok(1_011));
    assert_eq!(group.count("storage_failed"), 0);
}
