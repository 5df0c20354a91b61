//! Estimates against declared sizes and limits.

use proptest::prelude::*;
use tarragon_names::{Millis, Resources};
use tarragon_sizing::{Estimator, Usage};
use yare::parameterized;

fn size(cpu_milli: u64, memory_mb: u64) -> Resources {
    Resources::new(cpu_milli, memory_mb, 0)
}

fn report(estimator: &Estimator, declared: Resources, peak: Resources, count: u32) {
    for _ in 0..count {
        let usage = Usage {
            peak,
            run_time: Some(Millis(1_000)),
        };
        estimator.report(&"entry".into(), &declared, &usage);
    }
}

/// Guards against a reservation that shrinks after a few reports, and against ignored reports.
#[parameterized(
    no_report = { 0, size(100, 100), size(1_000, 1_000) },
    few_small_reports = { 19, size(100, 100), size(1_000, 1_000) },
    few_large_reports = { 19, size(2_000, 4_000), size(2_000, 4_000) },
    enough_small_reports = { 20, size(100, 100), size(105, 105) },
    enough_large_reports = { 20, size(2_000, 4_000), size(2_100, 4_200) },
)]
fn declared_size_is_a_minimum_until_enough_reports(
    count: u32,
    peak: Resources,
    expected: Resources,
) {
    let estimator = Estimator::new();
    let declared = size(1_000, 1_000);
    report(&estimator, declared, peak, count);
    let reserved = estimator.reservation(&"entry".into(), &declared, &Resources::ZERO);
    // The histogram has a resolution of 9%.
    for (actual, expected) in [
        (reserved.cpu_milli, expected.cpu_milli),
        (reserved.memory_mb, expected.memory_mb),
    ] {
        assert!(
            actual >= expected * 91 / 100 && actual <= expected * 110 / 100,
            "{reserved}"
        );
    }
}

/// Guards against the same reservation for tasks of different sizes where callers are off by a
/// constant factor.
#[test]
fn constant_factor_is_corrected_for_tasks_of_any_size() {
    let estimator = Estimator::new();
    for n in 0..40 {
        let declared = size(1_000 << (n % 4), 1_024 << (n % 4));
        let used = size(declared.cpu_milli / 4, declared.memory_mb * 2);
        report(&estimator, declared, used, 1);
    }
    let reserved = estimator.reservation(&"entry".into(), &size(4_000, 4_096), &Resources::ZERO);
    assert!((1_000..1_160).contains(&reserved.cpu_milli), "{reserved}");
    assert!((8_192..9_500).contains(&reserved.memory_mb), "{reserved}");
}

/// Guards against reservations that stay high after usage has dropped.
#[test]
fn old_reports_lose_weight() {
    let estimator = Estimator::new();
    let declared = size(1_000, 1_000);
    report(&estimator, declared, size(8_000, 8_000), 100);
    report(&estimator, declared, size(500, 500), 700);
    let reserved = estimator.reservation(&"entry".into(), &declared, &Resources::ZERO);
    assert!(
        reserved.cpu_milli < 600 && reserved.memory_mb < 600,
        "{reserved}"
    );
}

/// Guards against reports of one entry that change the reservations of another, or that outlive
/// their entry.
#[test]
fn entries_have_separate_estimates() {
    let estimator = Estimator::new();
    report(&estimator, size(10, 10), size(9_000, 9_000), 50);
    let declared = size(1_000, 1_000);
    let other = estimator.reservation(&"other".into(), &declared, &Resources::ZERO);
    assert_eq!(other, declared);
    estimator.remove_entry(&"entry".into());
    let forgotten = estimator.reservation(&"entry".into(), &declared, &Resources::ZERO);
    assert_eq!(forgotten, declared);
}

/// Guards against an expected run time that ignores the reports, or that follows too few of them.
#[parameterized(
    declared_until_enough_reports = { 5, 60_000, 60_000 },
    corrected_down = { 50, 60_000, 1_000 },
    corrected_up = { 50, 10, 1_000 },
)]
fn run_time_follows_reports_once_there_are_enough(count: u32, declared: u64, expected: u64) {
    let estimator = Estimator::new();
    report(&estimator, size(1, 1), size(1, 1), count);
    let run = estimator.run_time(&"entry".into(), Millis(declared), Millis(0));
    assert!(
        run.0 >= expected * 91 / 100 && run.0 <= expected * 110 / 100,
        "{run}"
    );
}

/// Guards against a reservation above the entry's limit, whatever usage is reported.
#[test]
fn reservation_never_exceeds_the_limit() {
    let amounts = || (1_u64..1 << 40, 1_u64..1 << 40);
    proptest!(|(
        reports in prop::collection::vec((amounts(), amounts()), 0..60),
        declared in amounts(),
        limit in amounts(),
    )| {
        let estimator = Estimator::new();
        let to_size = |(cpu, memory)| size(cpu, memory);
        for (declared, peak) in reports {
            report(&estimator, to_size(declared), to_size(peak), 1);
        }
        let limit = to_size(limit);
        let reserved = estimator.reservation(&"entry".into(), &to_size(declared), &limit);
        prop_assert!(reserved.fits(&limit), "reservation {} exceeds the limit {}", reserved, limit);
    });
}
