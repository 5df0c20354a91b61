use std::collections::HashMap;

use tarragon_names::{Millis, Term, WorkerName};

/// Maximum number of workers that are remembered. The memory is emptied when it is full, so that
/// heartbeats under invented names cannot fill it.
const MAX_WORKERS: usize = 4_096;

#[derive(Clone, Debug)]
struct RecordedHeartbeat<R> {
    record: R,
    term: Term,
    recorded_at: Millis,
}

/// Heartbeats that the leader has recorded, as the host knows that received them.
///
/// A heartbeat that says nothing new is answered without the leader, except for one now and then that
/// shows the leader that the worker is alive. With a thousand workers the leader would otherwise
/// answer some 700 of them per second.
#[derive(Clone, Debug)]
pub struct HeartbeatCache<R> {
    refresh_after: Millis,
    recorded: HashMap<WorkerName, RecordedHeartbeat<R>>,
}

impl<R> HeartbeatCache<R>
where
    R: PartialEq,
{
    /// Creates an empty cache; each record is passed on again after `refresh_after`.
    pub fn new(refresh_after: Millis) -> Self {
        Self {
            refresh_after,
            recorded: HashMap::new(),
        }
    }

    /// Returns whether the leader of this term has recorded this state of the worker recently.
    pub fn is_recorded(&self, worker: &WorkerName, record: &R, term: Term, now: Millis) -> bool {
        self.recorded.get(worker).is_some_and(|known| {
            known.term == term
                && known.record == *record
                && now.since(known.recorded_at) < self.refresh_after
        })
    }

    /// Remembers that the leader of this term has recorded the state of a worker.
    pub fn insert(&mut self, worker: WorkerName, record: R, term: Term, now: Millis) {
        if self.recorded.len() >= MAX_WORKERS {
            self.recorded.clear();
        }
        let recorded = RecordedHeartbeat {
            record,
            term,
            recorded_at: now,
        };
        self.recorded.insert(worker, recorded);
    }

    /// Forgets a worker, because it leaves or its state is not certain.
    pub fn remove(&mut self, worker: &WorkerName) {
        self.recorded.remove(worker);
    }
}
