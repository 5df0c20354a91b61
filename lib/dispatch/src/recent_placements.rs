use std::collections::{BTreeMap, VecDeque};

use tarragon_names::Millis;
use tarragon_workflow::TaskKey;

/// Time after which a placed run has been listed by a poll, or its worker counts as silent and gets no
/// calls with leases. Later the shorter bound on leases holds for it.
const MAX_AGE: Millis = Millis(5_000);

/// Runs that other leaders placed lately, as this host has applied their records.
///
/// They are not in the log with their times. To a host that has restarted since, all runs that it reads
/// again count as placed lately; one that has installed a snapshot does not know them.
#[derive(Debug, Default)]
pub(crate) struct RecentPlacements {
    by_task: BTreeMap<TaskKey, (u32, Millis)>,
    /// Tasks in the order of their placements.
    order: VecDeque<(Millis, TaskKey)>,
}

impl RecentPlacements {
    /// Records runs whose placements were applied at `now`.
    pub(crate) fn record(&mut self, runs: &[(TaskKey, u32)], now: Millis) {
        self.expire(now);
        for (task, run) in runs {
            self.by_task.insert(*task, (*run, now));
            self.order.push_back((now, *task));
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
