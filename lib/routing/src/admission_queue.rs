use std::collections::{HashMap, VecDeque};

use tarragon_catalogue::Pattern;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::Millis;

/// Time for which a queue may stay non-empty before it counts as standing and the newest requests
/// are served first.
///
/// The oldest requests of a standing queue are the next to time out. Serving them first would spend
/// every slot on answers that arrive too late.
const MAX_STANDING_TIME: Millis = Millis(100);

/// Time for which the newest requests are still served first after the queue was last standing.
///
/// The skipped requests expire together and empty the queue. Without this delay the order would
/// switch back to oldest first each time, in the middle of the overload.
const NEWEST_FIRST_TIME: Millis = Millis(1_000);

/// Divisor of the moving average of run times: the newest run time has a weight of one eighth.
const RUN_TIME_AVERAGE_DIVISOR: u64 = 8;

/// A request that waits for a slot.
#[derive(Debug)]
struct QueuedRequest<W> {
    ticket: u64,
    entry: Pattern,
    deadline: Millis,
    waiter: W,
}

/// Requests of one pool that wait for a slot, bounded for each catalogue entry.
#[derive(Debug)]
pub struct AdmissionQueue<W> {
    queue: VecDeque<QueuedRequest<W>>,
    waiting_by_entry: HashMap<Pattern, u32>,
    standing_since: Option<Millis>,
    newest_first_until: Millis,
    next_ticket: u64,
    average_run_time: Option<Millis>,
}

impl<W> Default for AdmissionQueue<W> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
            waiting_by_entry: HashMap::new(),
            standing_since: None,
            newest_first_until: Millis(0),
            next_ticket: 0,
            average_run_time: None,
        }
    }
}

impl<W> AdmissionQueue<W> {
    /// Queues a request, or refuses it at once.
    ///
    /// `max_waiting` bounds the queued requests of the catalogue entry. If the bound is reached,
    /// queued requests that can no longer be answered in time are removed first, and their waiters
    /// are appended to `dropped`. Returns the ticket to pass to [`Self::remove`].
    pub fn enqueue(
        &mut self,
        entry: &Pattern,
        max_waiting: u32,
        deadline: Millis,
        now: Millis,
        waiter: W,
        dropped: &mut Vec<W>,
    ) -> Outcome<u64> {
        if self.is_unservable(deadline, now) {
            return Err(Failure::new(
                Code::NoSlot,
                format!(
                    "all slots are in use and only {} remain until the deadline",
                    deadline.since(now)
                ),
            )
            .retry_after(self.retry_after_hint().0));
        }
        if self.waiting_by_entry.get(entry).copied().unwrap_or(0) >= max_waiting {
            self.drop_unservable(now, dropped);
        }
        let waiting = self.waiting_by_entry.entry(entry.clone()).or_default();
        if *waiting >= max_waiting {
            return Err(Failure::new(
                Code::QueueFull,
                format!("{max_waiting} requests of {entry} already wait on this host"),
            )
            .retry_after(self.retry_after_hint().0));
        }
        *waiting += 1;
        self.next_ticket += 1;
        self.standing_since.get_or_insert(now);
        self.queue.push_back(QueuedRequest {
            ticket: self.next_ticket,
            entry: entry.clone(),
            deadline,
            waiter,
        });
        Ok(self.next_ticket)
    }

    /// Removes and returns the request for the next free slot: the oldest one, or the newest one
    /// while the queue is standing and for `NEWEST_FIRST_TIME` after that.
    ///
    /// Requests that can no longer be answered in time are removed first, and their waiters are
    /// appended to `dropped`.
    pub fn dequeue(&mut self, now: Millis, dropped: &mut Vec<W>) -> Option<W> {
        if self.is_standing(now) {
            self.newest_first_until = now + NEWEST_FIRST_TIME;
        }
        self.drop_unservable(now, dropped);
        let waiting = if now < self.newest_first_until {
            self.queue.pop_back()
        } else {
            self.queue.pop_front()
        }?;
        self.decrement_entry_count(&waiting.entry);
        self.reset_standing_if_empty();
        Some(waiting.waiter)
    }

    /// Removes a request whose caller stopped waiting; does nothing if it has left the queue.
    pub fn remove(&mut self, ticket: u64) {
        if let Some(at) = self.queue.iter().position(|w| w.ticket == ticket)
            && let Some(waiting) = self.queue.remove(at)
        {
            self.decrement_entry_count(&waiting.entry);
            self.reset_standing_if_empty();
        }
    }

    /// Adds the run time of an answered request to the moving average.
    pub fn record_run_time(&mut self, run_time: Millis) {
        let old = self.average_run_time.unwrap_or(run_time);
        let sum = old.0 * (RUN_TIME_AVERAGE_DIVISOR - 1) + run_time.0;
        self.average_run_time = Some(Millis(sum / RUN_TIME_AVERAGE_DIVISOR));
    }

    /// Average run time of a request; zero if none has been answered yet.
    pub fn average_run_time(&self) -> Millis {
        self.average_run_time.unwrap_or_default()
    }

    /// Number of queued requests, including those that can no longer be answered in time.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether the queue has been non-empty for longer than `MAX_STANDING_TIME`. Emptying the queue by
    /// dropping requests does not reset the time.
    pub fn is_standing(&self, now: Millis) -> bool {
        self.standing_since
            .is_some_and(|since| now.since(since) > MAX_STANDING_TIME)
    }

    /// Whether a request with this deadline cannot be answered in time even if it is sent now.
    fn is_unservable(&self, deadline: Millis, now: Millis) -> bool {
        now + self.average_run_time() >= deadline
    }

    fn drop_unservable(&mut self, now: Millis, dropped: &mut Vec<W>) {
        let earliest_end = now + self.average_run_time();
        if self.queue.iter().all(|w| w.deadline > earliest_end) {
            return;
        }
        for waiting in std::mem::take(&mut self.queue) {
            if waiting.deadline > earliest_end {
                self.queue.push_back(waiting);
            } else {
                self.decrement_entry_count(&waiting.entry);
                dropped.push(waiting.waiter);
            }
        }
    }

    fn decrement_entry_count(&mut self, entry: &Pattern) {
        if let Some(waiting) = self.waiting_by_entry.get_mut(entry) {
            *waiting -= 1;
            if *waiting == 0 {
                self.waiting_by_entry.remove(entry);
            }
        }
    }

    /// Resets the standing time once the queue is empty.
    ///
    /// Not called after dropping requests: a queue emptied in that way is still overloaded.
    fn reset_standing_if_empty(&mut self) {
        if self.queue.is_empty() {
            self.standing_since = None;
        }
    }

    fn retry_after_hint(&self) -> Millis {
        self.average_run_time().max(MAX_STANDING_TIME)
    }
}
