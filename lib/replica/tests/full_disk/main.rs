//! Seeded search over writes, refusals of the disk, snapshots and crashes.
//!
//! `TARRAGON_SEEDS=FROM..TO` chooses the seeds.

mod life;
mod refusing_disk;

use std::{
    env,
    panic::{AssertUnwindSafe, catch_unwind},
};

use life::Life;
use refusing_disk::Refusal;
use yare::parameterized;

/// Seeds that run without `TARRAGON_SEEDS`.
const SEEDS: (u64, u64) = (0, 12);

fn seeds() -> std::ops::Range<u64> {
    let Ok(seeds) = env::var("TARRAGON_SEEDS") else {
        return SEEDS.0..SEEDS.1;
    };
    let (from, to) = seeds.split_once("..").expect("FROM..TO");
    let (from, to) = (from.parse::<u64>(), to.parse::<u64>());
    from.expect("a number")..to.expect("a number")
}

/// Guards against a write that is reported although the disk refused it, one that is lost or repeated
/// in another order once there is room, and entries that a snapshot covers and that are written after
/// it.
#[test]
fn refused_writes_are_done_in_order_and_reported_once_durable() {
    for seed in seeds() {
        let run = catch_unwind(|| Life::run(seed, Refusal::Reported));
        assert!(run.is_ok(), "failed with seed {seed}");
    }
}

/// Guards against a search that passes whatever the disk does: a disk that drops what it has no room
/// for without saying so has to be found.
#[parameterized(
    appends = { Refusal::SilentAppends },
    replacements = { Refusal::SilentReplacements },
)]
fn disk_that_forgets_writes_is_found(refusal: Refusal) {
    let is_found = |seed| catch_unwind(AssertUnwindSafe(|| Life::run(seed, refusal))).is_err();
    let (from, to) = SEEDS;
    assert!((from..to).any(is_found), "no seed finds it");
}
