use std::collections::{BTreeMap, VecDeque};

use tarragon_names::Millis;
use tarragon_workflow::{RunEvent, TaskKey};

/// Time after which a placed run has been listed by a poll, or its worker counts as silent and gets no
/// calls with leases. Later the shorter bound on leases holds for it.
const MAX_AGE: Millis = Millis(5_000);

/// Runs that were placed lately, as this host has applied their records, also while another host led.
///
/// They are not in the log with their times. A host that has restarted or installed a snapshot since does
/// not know them.
#[derive(Debug, Default)]
pub(crate) struct RecentPlacements {
    by_task: BTreeMap<TaskKey, (u32, Millis)>,
    /// Tasks in the order of their placements.
    order: VecDeque<(Millis, TaskKey)>,
}

impl RecentPlacements {
    /// Takes the placements among `records`, which were applied at `now`.
    pub(crate) fn record(&mut self, records: &[RunEvent], now: Millis) {
        self.expire(now);
        for record in records {
            if let RunEvent::Placed { task, run, .. } = record {
                self.by_task.insert(*task, (*run, now));
                self.order.push_back((now, *task));
            }
        }
    }

    /// Returns whether the run was placed lately.
    pub(crate) fn contains(&self, task: &TaskKey, run: u32, now: Millis) -> bool {
        let placed = self.by_task.get(task);
        placed.is_some_and(|(placed, at)| *placed == run && now.since(*at) < MAX_AGE)
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, task)) = self.order.front()
            && now.since(*at) >= MAX_AGE
        {
            if self.by_task.get(task).is_some_and(|(_, last)| last == at) {
                self.by_task.remove(task);
            }
            self.order.pop_front();
        }
    }
}
