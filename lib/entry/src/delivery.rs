use std::{collections::BTreeMap, sync::Arc};

use tarragon_delivery::{DeliveryCounters, DeliveryLimits, DeliveryRoutes, OrderRoute};
use tarragon_dispatch::{Input, OrderOutcome};
use tarragon_names::{HostName, Millis};
use tarragon_telemetry::{Event, EventSink};
use tarragon_wire::peer::PeerEvent;
use tarragon_workflow::WorkflowState;

use crate::{
    EntryMetrics,
    mesh::{self, Mesh},
    order_batch::OrderBatch,
    pending_orders::{PendingOrder, PendingOrders},
    worker_order::{LATE_ANSWER_TIME, OrderKey, OrderResult, WorkerOrder},
};

/// Time that an order may take beyond its own timeout, for the frames to the delivering host and
/// back.
const DELIVERY_SLACK: Millis = Millis(400);

/// Time without any result after which a host with overdue orders counts as failed.
const MAX_RESULT_SILENCE: Millis = Millis(1_000);

/// Interval between two checks of the hosts and the overdue orders.
const CHECK_INTERVAL: Millis = Millis(100);

/// Interval between two assignments of the workers while no host comes or goes.
const ASSIGN_INTERVAL: Millis = Millis(1_000);

/// Interval between two reports of the hosts whose orders were not all answered.
const REPORT_INTERVAL: Millis = Millis(5_000);

/// Cause of an order without an answer, by which the metrics tell them apart.
#[derive(Clone, Copy, Debug, derive_more::Display)]
#[display(rename_all = "snake_case")]
enum UnansweredCause {
    /// The delivering host reports that the worker did not answer in time.
    WorkerTimeout,
    /// The delivering host reported nothing in time.
    HostTimeout,
    /// The link to the delivering host is down.
    LinkDown,
}

/// Delivery of the leader's orders through other hosts.
#[derive(Debug)]
pub(crate) struct Delivery {
    routes: DeliveryRoutes,
    mesh: Arc<Mesh>,
    workflow_state: Arc<WorkflowState>,
    events: Arc<dyn EventSink>,
    metrics: EntryMetrics,
    orders: PendingOrders,
    /// Results of orders that were not given to a host.
    not_sent: Vec<Input>,
    /// Time of the last result of each host that has pending orders.
    last_results: BTreeMap<HostName, Millis>,
    /// Orders of the current step, by delivering host.
    batches: BTreeMap<HostName, Vec<(u64, WorkerOrder)>>,
    counters: DeliveryCounters,
    last_id: u64,
    next_check_at: Millis,
    next_assign_at: Millis,
    next_report_at: Millis,
}

impl Delivery {
    /// Numbers its orders from `first_id`, which differs between processes, so that a late result for
    /// an earlier process matches no order.
    pub(crate) fn new(
        limits: DeliveryLimits,
        mesh: Arc<Mesh>,
        workflow_state: Arc<WorkflowState>,
        events: Arc<dyn EventSink>,
        metrics: EntryMetrics,
        first_id: u64,
    ) -> Self {
        Self {
            routes: DeliveryRoutes::new(limits, mesh.links.own_host().clone()),
            mesh,
            workflow_state,
            events,
            metrics,
            orders: PendingOrders::default(),
            not_sent: Vec::new(),
            last_results: BTreeMap::new(),
            batches: BTreeMap::new(),
            counters: DeliveryCounters::default(),
            last_id: first_id,
            next_check_at: Millis(0),
            next_assign_at: Millis(0),
            next_report_at: Millis(0),
        }
    }

    /// Learns from an input of the dispatcher which hosts can deliver.
    pub(crate) fn observe(&mut self, input: &Input, now: Millis) {
        match input {
            Input::HostSeen {
                host,
                domain,
                capacity,
                ..
            } => self.routes.host_seen(host, domain, *capacity, now),
            Input::HostStops(host) => self.routes.host_stopped(host),
            Input::LostLeadership => {
                self.routes.clear();
                self.orders.clear();
                self.not_sent.clear();
                self.last_results.clear();
                self.batches.clear();
                self.counters.take_report();
            }
            _ => {}
        }
    }

    /// Queues an order for the host that delivers to its worker. Returns the order if this host calls
    /// the worker itself.
    pub(crate) fn queue(&mut self, order: WorkerOrder, now: Millis) -> Option<WorkerOrder> {
        let host = match self.routes.route(order.worker(), order.is_repeated()) {
            OrderRoute::Leader => return Some(order),
            OrderRoute::Host(host) => host,
            OrderRoute::OverBudget => {
                let result = OrderResult::Order(OrderOutcome::NotSent);
                self.not_sent.extend(OrderKey::of(&order).input(result));
                return None;
            }
        };
        self.last_id = self.last_id.wrapping_add(1);
        let id = self.last_id;
        let deadline = now + order.timeout() + DELIVERY_SLACK;
        let pending = PendingOrder {
            host: host.clone(),
            sent_at: now,
            deadline,
            key: OrderKey::of(&order),
        };
        self.orders.insert(id, pending);
        self.last_results.entry(host.clone()).or_insert(now);
        self.batches.entry(host).or_default().push((id, order));
        None
    }

    /// Sends the orders of a step, one frame for each host.
    pub(crate) fn send_batches(&mut self) {
        for (host, orders) in std::mem::take(&mut self.batches) {
            self.mesh.connect(&host);
            match mesh::encode(&OrderBatch { orders }) {
                Ok(body) => self.mesh.links.send(&host, PeerEvent::Orders(body)),
                Err(failure) => {
                    // The orders count as unanswered after their deadlines.
                    let event = Event::error("orders_not_encoded").code(failure.code.number());
                    self.events.emit(&event.detail(failure.cause));
                }
            }
        }
    }

    /// Takes the results that a host reported. Results of other hosts' orders are ignored.
    pub(crate) fn take_results(
        &mut self,
        host: &HostName,
        results: Vec<(u64, OrderResult)>,
        now: Millis,
    ) -> Vec<Input> {
        let mut inputs = Vec::new();
        for (id, result) in results {
            if self.orders.is_late(host, id) {
                self.last_results.insert(host.clone(), now);
                inputs.extend(self.take_late_result(id, &result, now));
            } else if let Some(order) = self.orders.remove_of(host, id) {
                self.last_results.insert(host.clone(), now);
                self.count(&order, &result, now);
                inputs.extend(order.key.clone().input(result.clone()));
                self.await_late_answer(id, order, &result, now);
            }
        }
        inputs
    }

    /// Keeps an order that was not answered in time, because its answer may still come.
    fn await_late_answer(
        &mut self,
        id: u64,
        order: PendingOrder,
        result: &OrderResult,
        now: Millis,
    ) {
        if matches!(result, OrderResult::Order(OrderOutcome::Unanswered)) {
            let until = now + LATE_ANSWER_TIME + DELIVERY_SLACK;
            self.orders.await_late_answer(id, order, until);
        }
    }

    /// Takes the result of an order that counts as unanswered.
    fn take_late_result(&mut self, id: u64, result: &OrderResult, now: Millis) -> Option<Input> {
        let (OrderResult::Order(outcome) | OrderResult::LateOrder(outcome)) = *result else {
            return None;
        };
        if outcome == OrderOutcome::Unanswered {
            return None;
        }
        let order = self.orders.remove_late(id)?;
        if outcome.is_answer() {
            self.count_answered(&order, now);
        }
        order.key.input(OrderResult::LateOrder(outcome))
    }

    fn count_answered(&mut self, order: &PendingOrder, now: Millis) {
        let time = now.since(order.sent_at);
        self.counters.record_answered(&order.host, time);
        self.routes.order_answered(&order.host, time);
    }

    /// Counts the result of an order to change a run.
    fn count(&mut self, order: &PendingOrder, result: &OrderResult, now: Millis) {
        match result {
            OrderResult::Order(outcome) if outcome.is_answer() => {
                self.count_answered(order, now);
            }
            OrderResult::Order(OrderOutcome::Unanswered) => {
                self.count_unanswered(&order.host, UnansweredCause::WorkerTimeout);
            }
            OrderResult::Order(_) | OrderResult::LateOrder(_) | OrderResult::Poll(_) => {}
        }
    }

    fn count_unanswered(&mut self, host: &HostName, cause: UnansweredCause) {
        self.counters.record_unanswered(host);
        let labels = [host.as_str(), &cause.to_string()];
        let counter = self.metrics.unanswered_orders.with_label_values(&labels);
        counter.inc();
    }

    /// Writes the hosts to the log that did not get an answer to each order since the last report.
    fn report(&mut self) {
        for (host, counts) in self.counters.take_report() {
            if counts.unanswered > 0 {
                let event = Event::info("orders_unanswered").peer(host);
                self.events.emit(&event.detail(counts.to_string()));
            }
        }
    }

    /// Assigns workers to hosts if hosts have changed, and returns the results of the orders whose
    /// delivery failed.
    pub(crate) fn check(&mut self, now: Millis) -> Vec<Input> {
        let mut failed = std::mem::take(&mut self.not_sent);
        if now < self.next_check_at {
            return failed;
        }
        self.next_check_at = now + CHECK_INTERVAL;
        self.orders.expire_late(now);
        failed.extend(self.fail_unreachable_hosts(now));
        failed.extend(self.fail_overdue_orders(now));
        if self.routes.is_changed() || now >= self.next_assign_at {
            if now >= self.next_assign_at {
                self.next_assign_at = now + ASSIGN_INTERVAL;
                self.routes.end_period();
            }
            self.assign(now);
        }
        self.metrics.pending_orders.set(self.orders.len() as i64);
        if now >= self.next_report_at {
            self.next_report_at = now + REPORT_INTERVAL;
            self.report();
        }
        failed
    }

    fn assign(&mut self, now: Millis) {
        let workers = self.workflow_state.workers().into_iter();
        let workers = workers.map(|record| (record.incarnation.worker, record.domain));
        let workers = workers.collect::<Vec<_>>();
        self.routes.assign(&workers, now);
        let delivered = self.routes.delivered_workers() as i64;
        self.metrics.delivered_workers.set(delivered);
    }

    /// Fails the orders of the hosts whose link is down.
    fn fail_unreachable_hosts(&mut self, now: Millis) -> Vec<Input> {
        let hosts = self.last_results.keys();
        let down = hosts.filter(|host| self.mesh.link_monitor.is_down(host));
        let down = down.cloned().collect::<Vec<_>>();
        let mut inputs = Vec::new();
        for host in down {
            self.host_failed(&host, "its link is down", now);
            for id in self.orders.ids_of(&host) {
                inputs.extend(self.fail(id, UnansweredCause::LinkDown, now));
            }
            self.last_results.remove(&host);
        }
        inputs
    }

    fn fail_overdue_orders(&mut self, now: Millis) -> Vec<Input> {
        let mut inputs = Vec::new();
        while let Some((id, host)) = self.orders.first_overdue(now) {
            let last_result = self.last_results.get(&host).copied();
            if last_result.is_none_or(|at| now.since(at) > MAX_RESULT_SILENCE) {
                self.host_failed(&host, "it reports no results", now);
            }
            inputs.extend(self.fail(id, UnansweredCause::HostTimeout, now));
        }
        inputs
    }

    fn host_failed(&mut self, host: &HostName, cause: &str, now: Millis) {
        if self.routes.host_failed(host, now) {
            let event = Event::warning("delivering_host_failed").peer(host.clone());
            let pending = self.orders.ids_of(host).len();
            self.events
                .emit(&event.detail(format!("{cause}, {pending} orders pending")));
        }
    }

    /// Ends a pending order whose result is not known.
    fn fail(&mut self, id: u64, cause: UnansweredCause, now: Millis) -> Option<Input> {
        let order = self.orders.remove(id)?;
        let key = order.key.clone();
        let result = key.undelivered();
        self.metrics.count_result(key.label(), &result);
        if matches!(result, OrderResult::Order(_)) {
            self.count_unanswered(&order.host, cause);
        }
        self.await_late_answer(id, order, &result, now);
        key.input(result)
    }
}
