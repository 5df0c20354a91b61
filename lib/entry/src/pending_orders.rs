use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::{HostName, Millis};

use crate::worker_order::OrderKey;

/// An order that a host was asked to deliver.
#[derive(Debug)]
pub(crate) struct PendingOrder {
    pub(crate) host: HostName,
    pub(crate) sent_at: Millis,
    /// Time at which the order counts as unanswered.
    pub(crate) deadline: Millis,
    pub(crate) key: OrderKey,
}

/// An order that counts as unanswered and may still be answered.
#[derive(Debug)]
struct LateOrder {
    order: PendingOrder,
    /// Time after which an answer is no longer awaited.
    until: Millis,
}

/// Orders that hosts were asked to deliver, by number, until their results are known.
#[derive(Debug, Default)]
pub(crate) struct PendingOrders {
    pending: BTreeMap<u64, PendingOrder>,
    deadlines: BTreeSet<(Millis, u64)>,
    late: BTreeMap<u64, LateOrder>,
}

impl PendingOrders {
    pub(crate) fn insert(&mut self, id: u64, order: PendingOrder) {
        self.deadlines.insert((order.deadline, id));
        self.pending.insert(id, order);
    }

    /// Number of orders that do not count as unanswered yet.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Removes an order that does not count as unanswered yet.
    pub(crate) fn remove(&mut self, id: u64) -> Option<PendingOrder> {
        let order = self.pending.remove(&id)?;
        self.deadlines.remove(&(order.deadline, id));
        Some(order)
    }

    /// Removes such an order if `host` was asked to deliver it.
    pub(crate) fn remove_of(&mut self, host: &HostName, id: u64) -> Option<PendingOrder> {
        let is_of_host = self.pending.get(&id)?.host == *host;
        is_of_host.then(|| self.remove(id)).flatten()
    }

    /// Numbers of the orders of a host that do not count as unanswered yet.
    pub(crate) fn ids_of(&self, host: &HostName) -> Vec<u64> {
        let orders = self.pending.iter();
        let orders = orders.filter(|(_, order)| order.host == *host);
        orders.map(|(id, _)| *id).collect()
    }

    /// Number and host of the first order whose deadline has passed.
    pub(crate) fn first_overdue(&self, now: Millis) -> Option<(u64, HostName)> {
        let (deadline, id) = self.deadlines.first().copied()?;
        let order = self.pending.get(&id).filter(|_| deadline <= now)?;
        Some((id, order.host.clone()))
    }

    /// Keeps an order that counts as unanswered until `until`, because its answer may still come.
    pub(crate) fn await_late_answer(&mut self, id: u64, order: PendingOrder, until: Millis) {
        self.late.insert(id, LateOrder { order, until });
    }

    /// Returns whether a late answer to an order of `host` is awaited.
    pub(crate) fn is_late(&self, host: &HostName, id: u64) -> bool {
        let late = self.late.get(&id);
        late.is_some_and(|late| late.order.host == *host)
    }

    /// Removes an order that counts as unanswered.
    pub(crate) fn remove_late(&mut self, id: u64) -> Option<PendingOrder> {
        self.late.remove(&id).map(|late| late.order)
    }

    /// Forgets the orders whose late answers are no longer awaited.
    pub(crate) fn expire_late(&mut self, now: Millis) {
        self.late.retain(|_, late| now < late.until);
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
