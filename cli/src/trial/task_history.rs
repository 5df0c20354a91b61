use std::collections::{BTreeMap, HashMap};

use serde::Deserialize;
use tarragon_names::Resources;

use super::TaskRun;

/// Starts and ends of tasks as recorded by the workers.
#[derive(Debug, Default)]
pub struct TaskHistory {
    /// Capacity of each worker.
    pub capacity: HashMap<String, Resources>,
    /// Runs of each task, by the text of its id, in order of time.
    pub runs: BTreeMap<String, Vec<TaskRun>>,
}

#[derive(Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Line {
    Worker {
        worker: String,
        capacity: Resources,
    },
    Start {
        task: String,
        attempt: u32,
        worker: String,
        ms: u64,
        reserved: Resources,
    },
    End {
        task: String,
        attempt: u32,
        worker: String,
        ms: u64,
        end: String,
    },
}

impl TaskHistory {
    /// Reads the task log of the stand-ins.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut history = Self::default();
        let mut latest = 0;
        for line in text.lines() {
            match serde_json::from_str(line).map_err(|e| format!("task log: {e}: {line}"))? {
                Line::Worker { worker, capacity } => {
                    history.end_killed_runs(&worker, latest);
                    history.capacity.insert(worker, capacity);
                }
                Line::Start {
                    task,
                    attempt,
                    worker,
                    ms,
                    reserved,
                } => {
                    latest = latest.max(ms);
                    history.runs.entry(task).or_default().push(TaskRun {
                        attempt,
                        worker,
                        reserved,
                        began: ms,
                        ended: None,
                    });
                }
                Line::End {
                    task,
                    attempt,
                    worker,
                    ms,
                    end,
                } => {
                    latest = latest.max(ms);
                    let runs = history.runs.get_mut(&task).into_iter().flatten();
                    let run = runs.rev().find(|run| {
                        run.attempt == attempt && run.worker == worker && run.ended.is_none()
                    });
                    let Some(run) = run else {
                        return Err(format!("task log: end without a start: {line}"));
                    };
                    run.ended = Some((ms, end));
                }
            }
        }
        for runs in history.runs.values_mut() {
            runs.sort_by_key(|run| run.began);
        }
        Ok(history)
    }

    /// Ends the runs of a worker that was killed, at the last time that the log shows before the
    /// worker restarted.
    fn end_killed_runs(&mut self, worker: &str, at: u64) {
        let runs = self.runs.values_mut().flatten();
        for run in runs.filter(|run| run.worker == worker && run.ended.is_none()) {
            run.ended = Some((at.max(run.began), "killed".to_owned()));
        }
    }

    /// Returns the runs of all tasks of a job.
    pub(super) fn of_job(&self, job: &str) -> impl Iterator<Item = (&String, &Vec<TaskRun>)> {
        let prefix = format!("{job}.");
        self.runs
            .iter()
            .filter(move |(task, _)| task.starts_with(&prefix))
    }

    /// Returns the changes of the running tasks, ends before starts of the same time: (time, worker, reserved,
    /// starts).
    ///
    /// A run that ends in the millisecond of its start counts as ending in the next one, since its
    /// end must not come before its own start.
    pub(super) fn changes(&self) -> Vec<(u64, &str, Resources, bool)> {
        let mut changes = Vec::new();
        for run in self.runs.values().flatten() {
            let worker = run.worker.as_str();
            changes.push((run.began, worker, run.reserved, true));
            if let Some((at, _)) = &run.ended {
                let end = (*at).max(run.began + 1);
                changes.push((end, worker, run.reserved, false));
            }
        }
        changes.sort_by_key(|(at, _, _, starts)| (*at, *starts));
        changes
    }
}
