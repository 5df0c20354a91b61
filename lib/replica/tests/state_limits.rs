//! Limits of log and snapshot in bytes.

use tarragon_agreement::Config;
use tarragon_replica::StateLimits;
use tarragon_storage::StoreSizes;
use yare::parameterized;

const MIB: u64 = 1 << 20;

fn sizes(log_mib: u64, snapshot_mib: u64) -> StoreSizes {
    StoreSizes {
        log_bytes: log_mib * MIB,
        snapshot_bytes: snapshot_mib * MIB,
    }
}

/// Guards against limits that the disk or the memory of a host cannot hold.
#[parameterized(
    disk_is_the_smaller = { 64, 1_024, 24 },
    memory_is_the_smaller = { 1_024, 256, 32 },
    no_disk = { 0, 256, 0 },
    length_of_a_record_is_the_smallest = { 1_048_576, 1_048_576, 1_024 },
)]
fn limit_follows_from_disk_and_memory(disk_mib: u64, memory_mib: u64, expected_mib: u64) {
    let limits = StateLimits::new(disk_mib * MIB, memory_mib * MIB);
    assert_eq!(limits.max_bytes(), expected_mib * MIB);
}

/// Guards against both snapshots, the log and damaged data that together exceed the disk.
#[test]
fn everything_at_its_limit_fits_the_disk() {
    let limits = StateLimits::new(64 * MIB, 1_024 * MIB);
    let all = 2 * limits.max_bytes() + limits.max_aside_bytes();
    assert!(all + limits.max_record_bytes() < 64 * MIB);
}

/// Guards against a log of large entries that grows until the disk is full, and against snapshots
/// that follow one another without a pause, as when a snapshot leaves many uncommitted entries.
#[parameterized(
    small_log = { 15, 0, 0, false },
    half_of_the_limit = { 16, 0, 0, true },
    large_snapshot_leaves_less = { 9, 7, 0, true },
    large_snapshot_and_small_log = { 8, 7, 0, false },
    snapshot_above_half = { 2, 30, 0, true },
    pause_after_a_large_snapshot = { 1, 30, 0, false },
    snapshot_above_the_limit = { 1, 40, 0, false },
    little_after_the_latest_snapshot = { 17, 0, 16, false },
    enough_after_the_latest_snapshot = { 18, 0, 16, true },
)]
fn snapshot_is_due_by_bytes(log_mib: u64, snapshot_mib: u64, kept_log_mib: u64, expected: bool) {
    let limits = StateLimits::new(1_024 * MIB, 256 * MIB);
    let is_due = limits.is_snapshot_due(sizes(log_mib, snapshot_mib), kept_log_mib * MIB);
    assert_eq!(is_due, expected);
}

/// Guards against a largest record that is refused for as long as anything else is uncommitted.
#[test]
fn largest_record_fits_beside_others() {
    let limits = StateLimits::new(1_024 * MIB, 256 * MIB);
    let cfg = limits.bound(&Config::default());
    assert!(cfg.max_uncommitted_bytes as u64 > limits.max_record_bytes());
}

/// Guards against growth that is accepted although log and next snapshot have no room for it.
#[parameterized(
    empty = { 0, 0, 32 },
    both_count = { 10, 12, 10 },
    above_the_limit = { 20, 20, 0 },
)]
fn room_is_what_log_and_snapshot_leave(log_mib: u64, snapshot_mib: u64, expected_mib: u64) {
    let limits = StateLimits::new(1_024 * MIB, 256 * MIB);
    let room = limits.room(sizes(log_mib, snapshot_mib));
    assert_eq!(room, expected_mib * MIB);
}
