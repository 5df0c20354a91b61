use std::collections::{BTreeMap, HashMap};

use tarragon_names::WorkerName;

use crate::{BudgetLimits, Urgency};

/// All urgencies, the most urgent first.
const URGENCIES: [Urgency; 4] = [
    Urgency::Poll,
    Urgency::Stop,
    Urgency::Start,
    Urgency::Throttle,
];

/// Decision about a call that is to be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The call may be opened now.
    Granted,
    /// The call waits until [`OrderBudget::grant_next`] returns its number.
    Queued,
    /// Too many calls of this urgency wait. The call is not made.
    Rejected,
}

#[derive(Clone, Debug)]
struct WaitingCall {
    id: u64,
    worker: WorkerName,
}

/// Limits the calls to workers that are open at the same time, and orders the waiting ones.
///
/// Without the limits, a burst of orders uses up the descriptors of the process. Then polls fail
/// too, workers that are well count as silent, and their runs are stopped and placed again, which
/// takes still more calls.
#[derive(Clone, Debug)]
pub struct OrderBudget {
    limits: BudgetLimits,
    /// Open calls by urgency.
    open: BTreeMap<Urgency, usize>,
    /// Open calls by worker, without polls.
    open_by_worker: HashMap<WorkerName, usize>,
    /// Waiting calls by urgency, in the order of their arrival.
    waiting: BTreeMap<Urgency, BTreeMap<u64, WaitingCall>>,
    waiting_count: usize,
    last_arrival: u64,
}

impl OrderBudget {
    /// Creates a budget without any call.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            open: BTreeMap::new(),
            open_by_worker: HashMap::new(),
            waiting: BTreeMap::new(),
            waiting_count: 0,
            last_arrival: 0,
        }
    }

    /// Decides about a new call. `id` identifies the call while it waits.
    ///
    /// When too many calls wait, the least urgent one that waits gives way to a more urgent one. Its
    /// number is returned; that call is not made.
    pub fn request(
        &mut self,
        id: u64,
        worker: &WorkerName,
        urgency: Urgency,
    ) -> (Admission, Option<u64>) {
        let is_first = self.waiting.get(&urgency).is_none_or(BTreeMap::is_empty);
        if is_first && self.has_room(worker, urgency) {
            self.open_call(worker, urgency);
            return (Admission::Granted, None);
        }
        let mut displaced = None;
        if self.waiting_count >= self.limits.max_queued {
            displaced = self.displace_less_urgent(urgency);
            if displaced.is_none() {
                return (Admission::Rejected, None);
            }
        }
        self.last_arrival += 1;
        let call = WaitingCall {
            id,
            worker: worker.clone(),
        };
        let same_urgency = self.waiting.entry(urgency).or_default();
        same_urgency.insert(self.last_arrival, call);
        self.waiting_count += 1;
        (Admission::Queued, displaced)
    }

    /// Removes a call that waits, because it is not needed any more.
    pub fn cancel(&mut self, id: u64, urgency: Urgency) {
        let Some(waiting) = self.waiting.get_mut(&urgency) else {
            return;
        };
        let found = waiting.iter().find(|(_, call)| call.id == id);
        if let Some(arrival) = found.map(|(arrival, _)| *arrival) {
            waiting.remove(&arrival);
            self.waiting_count -= 1;
        }
    }

    /// Ends an open call.
    pub fn release(&mut self, worker: &WorkerName, urgency: Urgency) {
        if let Some(open) = self.open.get_mut(&urgency) {
            *open = open.saturating_sub(1);
        }
        if urgency == Urgency::Poll {
            return;
        }
        if let Some(open) = self.open_by_worker.get_mut(worker) {
            *open -= 1;
            if *open == 0 {
                self.open_by_worker.remove(worker);
            }
        }
    }

    /// Opens the most urgent waiting call for which there is room, and returns its number.
    pub fn grant_next(&mut self) -> Option<u64> {
        for urgency in URGENCIES {
            let Some(waiting) = self.waiting.get(&urgency) else {
                continue;
            };
            if !self.has_total_room(urgency) {
                continue;
            }
            let mut calls = waiting.iter();
            let found = calls.find(|(_, call)| self.has_worker_room(&call.worker, urgency));
            let Some(arrival) = found.map(|(arrival, _)| *arrival) else {
                continue;
            };
            let call = self.waiting.get_mut(&urgency)?.remove(&arrival)?;
            self.waiting_count -= 1;
            self.open_call(&call.worker, urgency);
            return Some(call.id);
        }
        None
    }

    /// Number of open calls.
    pub fn open_count(&self) -> usize {
        self.open.values().sum()
    }

    /// Number of calls that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting_count
    }

    fn open_call(&mut self, worker: &WorkerName, urgency: Urgency) {
        *self.open.entry(urgency).or_default() += 1;
        if urgency != Urgency::Poll {
            *self.open_by_worker.entry(worker.clone()).or_default() += 1;
        }
    }

    fn has_room(&self, worker: &WorkerName, urgency: Urgency) -> bool {
        self.has_total_room(urgency) && self.has_worker_room(worker, urgency)
    }

    fn has_total_room(&self, urgency: Urgency) -> bool {
        let from_urgency = |least: Urgency| self.open.range(least..).map(|(_, open)| open).sum();
        // A call counts against the limit of its own kind and against those of all more urgent ones.
        URGENCIES
            .into_iter()
            .filter(|least| *least <= urgency)
            .all(|least| {
                let open: usize = from_urgency(least);
                open < self.limits.max_open_from(least)
            })
    }

    fn has_worker_room(&self, worker: &WorkerName, urgency: Urgency) -> bool {
        let open = self.open_by_worker.get(worker).copied().unwrap_or(0);
        urgency == Urgency::Poll || open < self.limits.max_open_per_worker
    }

    /// Removes the waiting call that came last among the least urgent ones, if it is less urgent
    /// than `urgency`.
    fn displace_less_urgent(&mut self, urgency: Urgency) -> Option<u64> {
        let mut waiting = self.waiting.iter_mut().rev();
        let (least_urgent, calls) = waiting.find(|(_, calls)| !calls.is_empty())?;
        if *least_urgent <= urgency {
            return None;
        }
        let (_, call) = calls.pop_last()?;
        self.waiting_count -= 1;
        Some(call.id)
    }
}
