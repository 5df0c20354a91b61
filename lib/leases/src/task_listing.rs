use std::collections::BTreeMap;

use tarragon_names::{Attempt, Millis, Resources, TaskId};

use crate::RunningTask;

/// Heartbeats after which all tasks are listed again, so that an order that was lost for a task
/// that does not change is given again.
const WHOLE_EVERY: u32 = 10;

/// Which tasks a heartbeat lists: those that changed since a heartbeat that was answered.
///
/// The first list of a session is whole and is repeated until it is answered, because the leader
/// takes from it what does not run. With 23 tasks a worker, whole lists in every heartbeat are most
/// of its control traffic.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct TaskListing {
    /// What the leader is known to have heard in this session.
    heard: BTreeMap<TaskId, (Attempt, Resources)>,
    sent: Option<SentList>,
    /// Heartbeats until the next whole list; 0 before the first one was answered.
    until_whole: u32,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentList {
    clock: Millis,
    is_whole: bool,
    tasks: Vec<RunningTask>,
}

impl TaskListing {
    /// Begins a session, in which nothing was heard yet.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }

    /// List for the heartbeat that is sent at `clock`.
    pub(crate) fn list<I>(&mut self, clock: Millis, running: I) -> Vec<RunningTask>
    where
        I: Iterator<Item = RunningTask>,
    {
        let is_whole = self.until_whole == 0;
        let is_news =
            |task: &RunningTask| self.heard.get(&task.task) != Some(&(task.attempt, task.usage));
        let tasks = running
            .filter(|task| is_whole || is_news(task))
            .collect::<Vec<_>>();
        self.until_whole = self.until_whole.saturating_sub(1);
        self.sent = Some(SentList {
            clock,
            is_whole,
            tasks: tasks.clone(),
        });
        tasks
    }

    /// Takes the answer to the heartbeat that was sent at `clock`.
    pub(crate) fn answered(&mut self, clock: Millis) {
        let Some(sent) = self.sent.take_if(|sent| sent.clock == clock) else {
            return;
        };
        if sent.is_whole {
            self.heard.clear();
            self.until_whole = WHOLE_EVERY;
        }
        let tasks = sent.tasks.into_iter();
        self.heard
            .extend(tasks.map(|task| (task.task, (task.attempt, task.usage))));
    }
}
