use std::collections::{HashMap, VecDeque};

use tarragon_catalogue::Pattern;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::Millis;

/// Time for which a queue may stand before the newest requests are served first.
///
/// In a queue that stands, the oldest requests are the ones whose callers give up next; serving them
/// first would spend every slot on answers that come too late.
const STANDING_TARGET: Millis = Millis(100);

/// Time for which the newest requests stay first once the queue has been standing.
///
/// The requests that were passed over expire together and empty the queue. Without the hold each
/// such moment would begin another spell of oldest first in the middle of the overload.
const STANDING_HOLD: Millis = Millis(1_000);

/// Weight of the newest run time in the average, as one part in this many.
const RUN_TIME_PARTS: u64 = 8;

/// A request that waits for a slot.
#[derive(Debug)]
struct Waiting<W> {
    ticket: u64,
    entry: Pattern,
    deadline: Millis,
    waiter: W,
}

/// Requests of one pool that wait for a slot, bounded for each catalogue entry.
#[derive(Debug)]
pub struct Admission<W> {
    queue: VecDeque<Waiting<W>>,
    by_entry: HashMap<Pattern, u32>,
    standing_since: Option<Millis>,
    newest_first_until: Millis,
    next_ticket: u64,
    run_time: Option<Millis>,
}

impl<W> Default for Admission<W> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
            by_entry: HashMap::new(),
            standing_since: None,
            newest_first_until: Millis(0),
            next_ticket: 0,
            run_time: None,
        }
    }
}

impl<W> Admission<W> {
    /// Queues a request, or refuses it at once.
    ///
    /// `most` bounds the waiting requests of the entry. Returns the ticket to leave with. Waiters
    /// that cannot be answered in time any more are dropped first and handed to `dropped`.
    pub fn enter(
        &mut self,
        entry: &Pattern,
        most: u32,
        deadline: Millis,
        now: Millis,
        waiter: W,
        dropped: &mut Vec<W>,
    ) -> Outcome<u64> {
        if self.hopeless(deadline, now) {
            return Err(Failure::new(
                Code::NoSlot,
                format!("all slots are taken and {} are left", deadline.since(now)),
            )
            .retry_after(self.wait_hint().0));
        }
        if self.by_entry.get(entry).copied().unwrap_or(0) >= most {
            self.drop_hopeless(now, dropped);
        }
        let waiting = self.by_entry.entry(entry.clone()).or_default();
        if *waiting >= most {
            return Err(Failure::new(
                Code::QueueFull,
                format!("{most} requests of {entry} wait on this host"),
            )
            .retry_after(self.wait_hint().0));
        }
        *waiting += 1;
        self.next_ticket += 1;
        self.standing_since.get_or_insert(now);
        self.queue.push_back(Waiting {
            ticket: self.next_ticket,
            entry: entry.clone(),
            deadline,
            waiter,
        });
        Ok(self.next_ticket)
    }

    /// Takes the request that gets the next slot: the oldest one, or the newest one once the queue
    /// has been standing for too long.
    pub fn next(&mut self, now: Millis, dropped: &mut Vec<W>) -> Option<W> {
        if self.standing(now) {
            self.newest_first_until = now + STANDING_HOLD;
        }
        self.drop_hopeless(now, dropped);
        let waiting = if now < self.newest_first_until {
            self.queue.pop_back()
        } else {
            self.queue.pop_front()
        }?;
        self.left(&waiting.entry);
        self.emptied();
        Some(waiting.waiter)
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, ticket: u64) {
        if let Some(at) = self.queue.iter().position(|w| w.ticket == ticket)
            && let Some(waiting) = self.queue.remove(at)
        {
            self.left(&waiting.entry);
            self.emptied();
        }
    }

    /// Learns how long a request ran.
    pub fn ran(&mut self, run_time: Millis) {
        let old = self.run_time.unwrap_or(run_time);
        let sum = old.0 * (RUN_TIME_PARTS - 1) + run_time.0;
        self.run_time = Some(Millis(sum / RUN_TIME_PARTS));
    }

    /// Time that a request runs on average; zero if none has ended yet.
    pub fn run_time(&self) -> Millis {
        self.run_time.unwrap_or_default()
    }

    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Tells whether the queue has been standing for too long.
    pub fn standing(&self, now: Millis) -> bool {
        self.standing_since
            .is_some_and(|since| now.since(since) > STANDING_TARGET)
    }

    /// Tells whether a request with this deadline cannot be answered in time even if it is sent now.
    fn hopeless(&self, deadline: Millis, now: Millis) -> bool {
        now + self.run_time() >= deadline
    }

    fn drop_hopeless(&mut self, now: Millis, dropped: &mut Vec<W>) {
        let least = now + self.run_time();
        if self.queue.iter().all(|w| w.deadline > least) {
            return;
        }
        for waiting in std::mem::take(&mut self.queue) {
            if waiting.deadline > least {
                self.queue.push_back(waiting);
            } else {
                self.left(&waiting.entry);
                dropped.push(waiting.waiter);
            }
        }
    }

    fn left(&mut self, entry: &Pattern) {
        if let Some(waiting) = self.by_entry.get_mut(entry) {
            *waiting -= 1;
            if *waiting == 0 {
                self.by_entry.remove(entry);
            }
        }
    }

    /// Ends the standing of a queue that was served to its end. One that was emptied by dropping
    /// requests stands on.
    fn emptied(&mut self) {
        if self.queue.is_empty() {
            self.standing_since = None;
        }
    }

    fn wait_hint(&self) -> Millis {
        self.run_time().max(STANDING_TARGET)
    }
}
