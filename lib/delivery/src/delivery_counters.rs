use std::collections::BTreeMap;

use derive_more::Display;
use tarragon_names::{HostName, Millis};

/// Orders to change a run that one host delivered within some time.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display("{answered} orders answered after {mean_time} ms on average and {longest_time} ms at most, {unanswered} not answered", mean_time = self.mean_time().0, longest_time = longest_time.0)]
pub struct HostCounts {
    /// Orders that the worker answered.
    pub answered: u64,
    /// Orders without an answer in time.
    pub unanswered: u64,
    /// Longest time from the order to its answer.
    pub longest_time: Millis,
    total_time: Millis,
}

impl HostCounts {
    /// Mean time from an order to its answer.
    pub fn mean_time(&self) -> Millis {
        Millis(self.total_time.0 / self.answered.max(1))
    }
}

/// Counts by delivering host of the orders to change runs, from one report to the next.
///
/// They tell a host that is too slow for its share from workers that do not answer: the answered orders
/// of such a host take long as well.
#[derive(Clone, Debug, Default)]
pub struct DeliveryCounters {
    by_host: BTreeMap<HostName, HostCounts>,
}

impl DeliveryCounters {
    /// Counts an order that was answered `time` after it was given.
    pub fn record_answered(&mut self, host: &HostName, time: Millis) {
        let counts = self.by_host.entry(host.clone()).or_default();
        counts.answered += 1;
        counts.longest_time = counts.longest_time.max(time);
        counts.total_time += time;
    }

    /// Counts an order that was not answered in time.
    pub fn record_unanswered(&mut self, host: &HostName) {
        let counts = self.by_host.entry(host.clone()).or_default();
        counts.unanswered += 1;
    }

    /// Returns the counts since the last report and begins anew.
    pub fn take_report(&mut self) -> BTreeMap<HostName, HostCounts> {
        std::mem::take(&mut self.by_host)
    }
}
