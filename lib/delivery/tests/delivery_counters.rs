//! Counts of the orders that each host delivers.

use tarragon_delivery::DeliveryCounters;
use tarragon_names::{HostName, Millis};

/// Guards against a report that hides a slow host among others, or repeats what was reported before.
#[test]
fn counts_are_kept_by_host_until_the_report() {
    let (slow, fast) = (HostName::from("slow"), HostName::from("fast"));
    let mut counters = DeliveryCounters::default();
    counters.record_answered(&slow, Millis(100));
    counters.record_answered(&slow, Millis(300));
    counters.record_unanswered(&slow);
    counters.record_answered(&fast, Millis(4));
    let report = counters.take_report();
    assert_eq!(
        report[&slow].to_string(),
        "2 orders answered after 200 ms on average and 300 ms at most, 1 not answered"
    );
    assert_eq!(report[&fast].unanswered, 0);
    assert_eq!(report[&fast].mean_time(), Millis(4));
    assert!(counters.take_report().is_empty());
}
