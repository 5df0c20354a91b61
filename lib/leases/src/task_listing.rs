use std::collections::BTreeMap;

use tarragon_names::{Attempt, Millis, Resources, TaskId};

use crate::RunningTask;

/// Number of heartbeats that list only changed tasks between two that list all.
///
/// The periodic full list makes the leader repeat an order that was lost for a task whose report
/// does not change.
const DELTAS_PER_FULL_LIST: u32 = 10;

/// Selects the tasks that a heartbeat lists: those that changed since an answered heartbeat.
///
/// The first list of a session is complete and is repeated until it is answered, because the leader
/// concludes from it which tasks do not run on the worker. Listing all tasks in every heartbeat
/// would make up most of the control traffic at 23 tasks per worker.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct TaskListing {
    /// Tasks as listed in answered heartbeats of this session.
    acknowledged: BTreeMap<TaskId, (Attempt, Resources)>,
    sent: Option<SentList>,
    /// Heartbeats left before the next full list; 0 until the first full list is answered.
    deltas_until_full: u32,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentList {
    clock: Millis,
    is_full: bool,
    tasks: Vec<RunningTask>,
}

impl TaskListing {
    /// Starts a new session, in which no list has been answered.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the tasks to list in the heartbeat that is sent at `clock`.
    pub(crate) fn list<I>(&mut self, clock: Millis, running: I) -> Vec<RunningTask>
    where
        I: Iterator<Item = RunningTask>,
    {
        let is_full = self.deltas_until_full == 0;
        let has_changed = |task: &RunningTask| {
            self.acknowledged.get(&task.task) != Some(&(task.attempt, task.usage))
        };
        let tasks = running
            .filter(|task| is_full || has_changed(task))
            .collect::<Vec<_>>();
        self.deltas_until_full = self.deltas_until_full.saturating_sub(1);
        self.sent = Some(SentList {
            clock,
            is_full,
            tasks: tasks.clone(),
        });
        tasks
    }

    /// Records that the heartbeat sent at `clock` was answered. Only the latest one counts.
    pub(crate) fn record_answer(&mut self, clock: Millis) {
        let Some(sent) = self.sent.take_if(|sent| sent.clock == clock) else {
            return;
        };
        if sent.is_full {
            self.acknowledged.clear();
            self.deltas_until_full = DELTAS_PER_FULL_LIST;
        }
        let tasks = sent.tasks.into_iter();
        self.acknowledged
            .extend(tasks.map(|task| (task.task, (task.attempt, task.usage))));
    }
}
