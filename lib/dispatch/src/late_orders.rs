use std::collections::BTreeMap;

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{TaskKey, WorkerIncarnation};

use crate::{DispatchConfig, backoff::backoff, run_view::RunView};

/// A start order without an answer whose run has ended.
#[derive(Clone, Debug)]
struct LateOrder {
    /// Incarnation that ran the task or was told to refuse the run; `None` if there is none.
    refused_by: Option<WorkerIncarnation>,
    expires_at: Millis,
    /// Earliest time of the next stop order.
    stop_at: Millis,
    failed_stops: u32,
}

/// Start orders that may still arrive although their runs have ended, by worker.
///
/// The incarnation on which a run ended refuses such an order. A later incarnation under the same
/// name remembers nothing and would run the task again, so it is told to refuse the run.
#[derive(Debug, Default)]
pub(crate) struct LateOrders(BTreeMap<WorkerName, BTreeMap<(TaskKey, u32), LateOrder>>);

impl LateOrders {
    /// Records a run that ended, as seen on `incarnation`, while a start order for it had no answer.
    pub(crate) fn insert(
        &mut self,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        view: &RunView,
    ) {
        let order = LateOrder {
            refused_by: view.is_refused().then(|| incarnation.clone()),
            expires_at: view.start_may_arrive_until,
            stop_at: Millis(0),
            failed_stops: 0,
        };
        let orders = self.0.entry(incarnation.worker.clone()).or_default();
        orders.insert((task, view.run), order);
    }

    /// Drops the orders that can no longer arrive.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.0.retain(|_, orders| {
            orders.retain(|_, order| now < order.expires_at);
            !orders.is_empty()
        });
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Workers with orders that may still arrive.
    pub(crate) fn workers(&self) -> impl Iterator<Item = &WorkerName> {
        self.0.keys()
    }

    /// Returns the runs that `incarnation` has to be told to refuse now. The next attempt is due
    /// after `cfg.order_timeout`.
    pub(crate) fn take_due(
        &mut self,
        incarnation: &WorkerIncarnation,
        now: Millis,
        cfg: &DispatchConfig,
    ) -> Vec<(TaskKey, u32)> {
        let Some(orders) = self.0.get_mut(&incarnation.worker) else {
            return Vec::new();
        };
        let due = orders.iter_mut().filter(|(_, order)| {
            order.refused_by.as_ref() != Some(incarnation) && order.stop_at <= now
        });
        let due = due.map(|(run, order)| {
            let delay = backoff(cfg.order_retry, order.failed_stops, run);
            order.stop_at = now + cfg.order_timeout + delay;
            order.failed_stops += 1;
            *run
        });
        due.collect()
    }

    /// Records that `incarnation` refuses the run from now on. Returns whether that is news.
    pub(crate) fn stop_accepted(
        &mut self,
        incarnation: &WorkerIncarnation,
        run: (TaskKey, u32),
    ) -> bool {
        let orders = self.0.get_mut(&incarnation.worker);
        let Some(order) = orders.and_then(|orders| orders.get_mut(&run)) else {
            return false;
        };
        order.failed_stops = 0;
        let previous = order.refused_by.replace(incarnation.clone());
        previous.as_ref() != Some(incarnation)
    }
}
