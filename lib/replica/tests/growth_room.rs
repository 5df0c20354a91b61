//! Refusal of records that the replicated state has no room for.

use tarragon_codes::Code;
use tarragon_replica::{Growth, GrowthRoom, StateLimits};
use tarragon_storage::StoreSizes;
use yare::parameterized;

const MIB: u64 = 1 << 20;

/// Room beside a log of this size, with a limit of 32 MiB and records of at most 4 MiB.
fn room(log_mib: u64, uncommitted_mib: u64) -> GrowthRoom {
    let limits = StateLimits::new(1_024 * MIB, 256 * MIB);
    let sizes = StoreSizes {
        log_bytes: log_mib * MIB,
        snapshot_bytes: 0,
    };
    GrowthRoom::new(limits, sizes, uncommitted_mib * MIB)
}

/// Guards against records beyond the room for them, against jobs that leave no room for a
/// configuration, and against a largest record that waits until nothing else is uncommitted.
#[parameterized(
    job_with_room = { room(20, 0), Growth::Work, 4, None },
    job_in_the_reserved_part = { room(27, 0), Growth::Work, 2, Some(Code::StateFull) },
    configuration_in_the_reserved_part = { room(27, 0), Growth::Settings, 4, None },
    no_room_at_all = { room(30, 0), Growth::Settings, 3, Some(Code::StateFull) },
    too_large_for_good = { room(0, 0), Growth::Settings, 5, Some(Code::TooLarge) },
    largest_beside_others = { room(4, 2), Growth::Settings, 4, None },
    many_uncommitted = { room(4, 3), Growth::Settings, 4, Some(Code::QueueFull) },
)]
fn record_is_taken_or_refused(
    room: GrowthRoom,
    growth: Growth,
    len_mib: u64,
    expected: Option<Code>,
) {
    let mut room = room;
    let refusal = room.take(growth, len_mib * MIB).err();
    assert_eq!(refusal.map(|failure| failure.code), expected);
}

/// Guards against a batch whose records fit one by one and not together.
#[test]
fn records_of_a_batch_count_together() {
    let mut room = room(24, 0);
    assert!(room.take(Growth::Work, 3 * MIB).is_ok());
    let refusal = room.take(Growth::Work, 2 * MIB).unwrap_err();
    assert_eq!(refusal.code, Code::StateFull);
}
