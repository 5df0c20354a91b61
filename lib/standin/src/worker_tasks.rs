use std::{collections::BTreeMap, io};

use serde_json::json;
use tarragon_leases::{TaskEnd, TaskSpec};
use tarragon_names::{Attempt, Millis, Resources, TaskId, WorkerName};

use crate::{TaskLog, WorkerTask};

/// Tasks that a stand-in worker pretends to run; their starts and ends go to the task log.
///
/// It does not check whether a task fits into the worker's capacity.
#[derive(Debug)]
pub struct WorkerTasks {
    worker: WorkerName,
    log: TaskLog,
    running: BTreeMap<TaskId, WorkerTask>,
}

impl WorkerTasks {
    /// Creates an empty set of tasks of `worker`.
    pub fn new(worker: WorkerName, log: TaskLog) -> Self {
        Self {
            worker,
            log,
            running: BTreeMap::new(),
        }
    }

    /// Writes the resources that the worker offers to the task log.
    pub fn log_capacity(&self, now: Millis, capacity: Resources) -> io::Result<()> {
        self.log.write(&json!({
            "event": "worker", "worker": self.worker, "ms": now.0, "capacity": capacity,
        }))
    }

    /// Starts a task and writes the start to the task log.
    pub fn start(
        &mut self,
        now: Millis,
        id: TaskId,
        task: WorkerTask,
        spec: &TaskSpec,
    ) -> io::Result<()> {
        self.log.write(&json!({
            "event": "start", "task": id.to_string(), "attempt": task.attempt,
            "worker": self.worker, "ms": now.0, "reserved": spec.resources, "name": spec.name,
            "kind": spec.workload, "usage": task.usage,
        }))?;
        self.running.insert(id, task);
        Ok(())
    }

    /// Ends an attempt and writes the end to the task log; returns whether the attempt was running.
    pub fn end(
        &mut self,
        now: Millis,
        id: TaskId,
        attempt: Attempt,
        end: TaskEnd,
    ) -> io::Result<bool> {
        if self
            .running
            .get(&id)
            .is_none_or(|task| task.attempt != attempt)
        {
            return Ok(false);
        }
        self.running.remove(&id);
        self.log.write(&json!({
            "event": "end", "task": id.to_string(), "attempt": attempt,
            "worker": self.worker, "ms": now.0, "end": end_text(end),
        }))?;
        Ok(true)
    }

    /// Limits the processor time of an attempt, in thousandths of a core; no effect if the attempt is
    /// not running.
    pub fn throttle(&mut self, now: Millis, id: TaskId, attempt: Attempt, cpu_milli: u64) {
        let task = self.running.get_mut(&id);
        if let Some(task) = task.filter(|task| task.attempt == attempt) {
            task.throttle(now, cpu_milli);
        }
    }

    /// Attempts that have exited by themselves by `now` and are still in the set, with their exit
    /// status.
    pub fn finished(&self, now: Millis) -> Vec<(TaskId, Attempt, i32)> {
        let finished = self
            .running
            .iter()
            .filter(|(_, task)| task.ends_at.is_some_and(|at| at <= now));
        finished
            .map(|(id, task)| (*id, task.attempt, task.exit_status))
            .collect()
    }

    /// Resource usage of each running task at the given time.
    pub fn usage_at(&self, time: Millis) -> Vec<(TaskId, Resources)> {
        let tasks = self.running.iter();
        tasks.map(|(id, task)| (*id, task.usage_at(time))).collect()
    }
}

fn end_text(end: TaskEnd) -> String {
    match end {
        TaskEnd::Exited(status) => format!("exited {status}"),
        TaskEnd::Stopped => "stopped".to_owned(),
        TaskEnd::Checkpointed => "checkpointed".to_owned(),
        TaskEnd::NeverBegan => "never began".to_owned(),
    }
}
