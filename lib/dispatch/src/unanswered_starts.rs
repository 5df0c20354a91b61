use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use tarragon_names::{Millis, Name, WorkerName};
use tarragon_workflow::{StepKey, TaskKey, WorkerRecord};

/// Worker to which a start order was sent, and its address at that time.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{worker} at {address}")]
pub(crate) struct OrderTarget {
    pub(crate) worker: WorkerName,
    pub(crate) address: Name,
}

impl OrderTarget {
    pub(crate) fn of(record: &WorkerRecord) -> Self {
        Self {
            worker: record.incarnation.worker.clone(),
            address: record.address.clone(),
        }
    }
}

/// Start orders for one task to one worker that got no answer in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LateStart {
    /// Time until which one of the orders may be carried out.
    pub(crate) until: Millis,
    /// Latest time at which a call with a lease was sent to the worker, if its record was removed since.
    pub(crate) last_lease_call_at: Millis,
    /// Orders of this host whose answers may still come.
    open_orders: u32,
    /// Whether there is another order, whose answer never comes.
    has_unknown_order: bool,
}

/// Tasks for which a start order got no answer, and where the order may still be carried out or its run
/// may still go on.
///
/// The incarnation that ran the task refuses such an order. A later one under the same name remembers
/// nothing, and the order may be the first call that it gets, so that nothing can make it refuse. The run
/// goes on for as long as a lease then, if no call reaches that incarnation.
#[derive(Debug, Default)]
pub(crate) struct UnansweredStarts {
    /// Orders by task and target; an order of an earlier leader may have no known target.
    by_task: BTreeMap<TaskKey, BTreeMap<Option<OrderTarget>, LateStart>>,
    by_address: BTreeMap<Name, BTreeSet<TaskKey>>,
}

impl UnansweredStarts {
    /// Records an order whose answer never comes.
    pub(crate) fn record(&mut self, task: TaskKey, target: Option<OrderTarget>, until: Millis) {
        self.entry(task, target, until).has_unknown_order = true;
    }

    /// Records an order whose answer may still come.
    pub(crate) fn record_open_order(&mut self, task: TaskKey, target: OrderTarget, until: Millis) {
        self.entry(task, Some(target), until).open_orders += 1;
    }

    /// Removes an order that was answered late. Returns whether no order for the task to the target is left.
    pub(crate) fn settle_open_order(&mut self, task: &TaskKey, target: &OrderTarget) -> bool {
        let targets = self.by_task.get_mut(task);
        let orders = targets.and_then(|targets| targets.get_mut(&Some(target.clone())));
        let Some(orders) = orders else {
            return false;
        };
        orders.open_orders = orders.open_orders.saturating_sub(1);
        if orders.open_orders > 0 || orders.has_unknown_order {
            return false;
        }
        self.settle_target(task, target);
        true
    }

    fn entry(
        &mut self,
        task: TaskKey,
        target: Option<OrderTarget>,
        until: Millis,
    ) -> &mut LateStart {
        if let Some(target) = &target {
            let tasks = self.by_address.entry(target.address.clone());
            tasks.or_default().insert(task);
        }
        let targets = self.by_task.entry(task).or_default();
        let order = targets.entry(target).or_default();
        order.until = until.max(order.until);
        order
    }

    /// Records when the last call with a lease was sent to a worker whose record is removed.
    pub(crate) fn worker_removed(&mut self, target: &OrderTarget, last_lease_call_at: Millis) {
        let key = Some(target.clone());
        let tasks = self.by_address.get(&target.address).into_iter().flatten();
        for task in tasks {
            let targets = self.by_task.get_mut(task);
            if let Some(order) = targets.and_then(|targets| targets.get_mut(&key)) {
                order.last_lease_call_at = last_lease_call_at.max(order.last_lease_call_at);
            }
        }
    }

    /// Returns whether a run of the task that a late order started may go on, or begin.
    pub(crate) fn contains(&self, task: &TaskKey) -> bool {
        self.by_task.contains_key(task)
    }

    /// Time until which an order for the task may be carried out; 0 if there is none.
    pub(crate) fn until(&self, task: &TaskKey) -> Millis {
        let orders = self.by_task.get(task).into_iter();
        let orders = orders.flat_map(BTreeMap::values);
        orders.map(|order| order.until).max().unwrap_or_default()
    }

    /// Time until which an order for any task of the step may be carried out; 0 if there is none.
    pub(crate) fn until_of_step(&self, step: StepKey) -> Millis {
        let tasks = self.by_task.range(TaskKey { step, index: 0 }..);
        let tasks = tasks.take_while(|(task, _)| task.step == step);
        let orders = tasks.flat_map(|(_, targets)| targets.values());
        orders.map(|order| order.until).max().unwrap_or_default()
    }

    /// Tasks whose orders to this address can no longer be carried out at `now`, but whose runs may go on.
    pub(crate) fn overdue(&self, address: &Name, now: Millis) -> Vec<TaskKey> {
        let tasks = self.by_address.get(address).into_iter().flatten();
        let overdue = tasks.filter(|task| now >= self.until_at(task, address));
        overdue.copied().collect()
    }

    pub(crate) fn has_overdue(&self, address: &Name, now: Millis) -> bool {
        let tasks = self.by_address.get(address).into_iter().flatten();
        tasks
            .into_iter()
            .any(|task| now >= self.until_at(task, address))
    }

    /// Longest time that a poll of the worker at this address may wait, at most `longest`: its answer shall
    /// be here when the next order can no longer be carried out.
    pub(crate) fn poll_wait(&self, address: &Name, now: Millis, longest: Millis) -> Millis {
        let tasks = self.by_address.get(address).into_iter().flatten();
        let waits = tasks.map(|task| self.until_at(task, address).since(now));
        waits.min().map_or(longest, |wait| wait.min(longest))
    }

    /// Time until which the orders for a task to this address may be carried out.
    fn until_at(&self, task: &TaskKey, address: &Name) -> Millis {
        let targets = self.by_task.get(task).into_iter().flatten();
        let of_address = targets.filter(|(target, _)| is_at(target.as_ref(), address));
        let untils = of_address.map(|(_, order)| order.until);
        untils.max().unwrap_or_default()
    }

    /// Removes the orders for a task to an address, which can no longer have any effect there.
    pub(crate) fn settle(&mut self, task: &TaskKey, address: &Name) {
        if let Some(targets) = self.by_task.get_mut(task) {
            targets.retain(|target, _| !is_at(target.as_ref(), address));
        }
        self.drop_if_settled(task, Some(address));
    }

    /// Removes the orders for a task to a target.
    fn settle_target(&mut self, task: &TaskKey, target: &OrderTarget) {
        if let Some(targets) = self.by_task.get_mut(task) {
            targets.remove(&Some(target.clone()));
        }
        self.drop_if_settled(task, Some(&target.address));
    }

    /// Removes the orders whose runs have ended by `now`, according to `ends_by`, and returns their tasks.
    pub(crate) fn expire<F>(&mut self, now: Millis, ends_by: F) -> Vec<TaskKey>
    where
        F: Fn(Option<&OrderTarget>, &LateStart) -> Millis,
    {
        let mut expired = Vec::new();
        for (task, targets) in &mut self.by_task {
            let ended = targets.extract_if(.., |target, order| {
                order.until <= now && ends_by(target.as_ref(), order) <= now
            });
            expired.extend(ended.map(|(target, _)| (*task, target)));
        }
        for (task, target) in &expired {
            let address = target.as_ref().map(|target| &target.address);
            self.drop_if_settled(task, address);
        }
        expired.into_iter().map(|(task, _)| task).collect()
    }

    /// Removes what is kept for a task that has no orders, or none to this address.
    fn drop_if_settled(&mut self, task: &TaskKey, address: Option<&Name>) {
        let Some(targets) = self.by_task.get(task) else {
            return;
        };
        if let Some(address) = address
            && !targets.keys().any(|target| is_at(target.as_ref(), address))
            && let Some(tasks) = self.by_address.get_mut(address)
        {
            tasks.remove(task);
            if tasks.is_empty() {
                self.by_address.remove(address);
            }
        }
        if targets.is_empty() {
            self.by_task.remove(task);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.by_task.clear();
        self.by_address.clear();
    }
}

fn is_at(target: Option<&OrderTarget>, address: &Name) -> bool {
    target.is_some_and(|target| target.address == *address)
}
