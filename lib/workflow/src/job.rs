use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use tarragon_names::Name;

use crate::{
    JobKey, JobPhase, JobSpec, Occurrence, Placement, RunEnd, RunEvent, StepKey, StepSpec, TaskKey,
    TaskPhase, TaskProgress,
};

/// A step whose tasks may be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadyStep {
    /// The step.
    pub key: StepKey,
    /// Tasks that wait for a worker.
    pub waiting: usize,
}

/// An accepted job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Its identifier.
    pub key: JobKey,
    /// Name of the route that led to its queue.
    pub queue: Name,
    /// Its description; without steps once nothing of it can run any more.
    pub spec: Arc<JobSpec>,
    /// State as the caller sees it.
    pub phase: JobPhase,
    /// Unix time of its acceptance in milliseconds.
    pub accepted_ms: u64,
    /// Unix time of its end in milliseconds.
    pub ended_ms: u64,
    /// Its occurrences, from the first that has a placed task.
    pub occurrences: BTreeMap<u32, Occurrence>,
}

impl Job {
    pub(crate) fn new(key: JobKey, queue: Name, spec: JobSpec, accepted_ms: u64) -> Self {
        Self {
            key,
            queue,
            spec: Arc::new(spec),
            phase: JobPhase::Pending,
            accepted_ms,
            ended_ms: 0,
            occurrences: BTreeMap::new(),
        }
    }

    /// One task, unless its occurrence has not begun or is over.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskProgress> {
        let occurrence = self.occurrences.get(&key.step.occurrence)?;
        let step = occurrence.steps.get(key.step.step as usize)?;
        step.tasks.get(key.index as usize)
    }

    /// Tells whether the task exists in the job.
    pub fn has_task(&self, key: &TaskKey) -> bool {
        let step = self.spec.steps.get(key.step.step as usize);
        key.step.occurrence < self.spec.occurrences()
            && step.is_some_and(|step| key.index < step.count)
    }

    /// Steps with waiting tasks whose time has come.
    pub fn ready_steps(&self, now_ms: u64) -> Vec<ReadyStep> {
        if self.phase.is_final() {
            return Vec::new();
        }
        let mut ready = Vec::new();
        for occurrence in 0..self.spec.occurrences() {
            if self.spec.due_ms(occurrence) > now_ms {
                break;
            }
            let begun = self.occurrences.get(&occurrence);
            for (step, spec) in (0..).zip(&self.spec.steps) {
                let waiting = match begun {
                    Some(begun) if !begun.is_ready(&self.spec, step) => continue,
                    Some(begun) => begun.steps[step as usize].waiting().len(),
                    None if !spec.depends_on.is_empty() => continue,
                    None => spec.count as usize,
                };
                if waiting > 0 {
                    let key = StepKey {
                        job: self.key,
                        occurrence,
                        step,
                    };
                    ready.push(ReadyStep { key, waiting });
                }
            }
        }
        ready
    }

    /// Unix time in milliseconds at which the next occurrence is due, if one is still to come.
    pub fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        if self.phase.is_final() || self.spec.repeat_count == 0 {
            return None;
        }
        (0..self.spec.occurrences())
            .map(|occurrence| self.spec.due_ms(occurrence))
            .find(|due| *due > now_ms)
    }

    /// Tasks that were given to workers and have not ended as far as is known.
    pub fn placements(&self) -> Vec<(TaskKey, Placement)> {
        let mut placements = Vec::new();
        for (occurrence, run) in &self.occurrences {
            for (step, step_run) in (0..).zip(&run.steps) {
                for (index, task) in (0..).zip(&step_run.tasks) {
                    if let Some(placement) = task.placement() {
                        let step = StepKey {
                            job: self.key,
                            occurrence: *occurrence,
                            step,
                        };
                        placements.push((TaskKey { step, index }, placement.clone()));
                    }
                }
            }
        }
        placements
    }

    /// Tasks of begun occurrences that last until the job is cancelled, with what they are and
    /// where they run.
    pub fn long_running(&self) -> Vec<(TaskKey, &StepSpec, Option<&Placement>)> {
        let mut found = Vec::new();
        for (occurrence, run) in &self.occurrences {
            for ((step, spec), step_run) in (0..).zip(&self.spec.steps).zip(&run.steps) {
                if !spec.long_running {
                    continue;
                }
                let step = StepKey {
                    job: self.key,
                    occurrence: *occurrence,
                    step,
                };
                for (index, task) in (0..).zip(&step_run.tasks) {
                    found.push((TaskKey { step, index }, spec, task.placement()));
                }
            }
        }
        found
    }

    pub(crate) fn cancel(&mut self, now_ms: u64) {
        self.end(JobPhase::Cancelled, now_ms);
    }

    pub(crate) fn record(&mut self, record: &RunEvent, max_attempts: u32, now_ms: u64) {
        match record {
            RunEvent::Placed {
                task,
                run,
                incarnation,
            } => self.placed(task, *run, incarnation.clone()),
            RunEvent::Ended {
                task,
                run,
                end,
                checkpoint,
                ..
            } => self.ended(task, *run, *end, checkpoint.clone(), max_attempts, now_ms),
            RunEvent::Lost {
                task,
                run,
                checkpoint,
            } => {
                let is_current = self.task(task).is_some_and(|t| t.is_placed_as(*run));
                if is_current {
                    self.ended(
                        task,
                        *run,
                        RunEnd::Lost,
                        checkpoint.clone(),
                        max_attempts,
                        now_ms,
                    );
                }
            }
        }
    }

    fn placed(&mut self, key: &TaskKey, run: u32, incarnation: crate::WorkerIncarnation) {
        if self.phase.is_final() || !self.has_task(key) {
            return;
        }
        let spec = Arc::clone(&self.spec);
        let occurrence = self
            .occurrences
            .entry(key.step.occurrence)
            .or_insert_with(|| Occurrence::new(&spec));
        if occurrence.is_done {
            return;
        }
        let task = &mut occurrence.steps[key.step.step as usize].tasks[key.index as usize];
        if task.phase == TaskPhase::Waiting && run > task.last_run {
            task.last_run = run;
            task.phase = TaskPhase::Placed(Placement { run, incarnation });
            self.phase = JobPhase::Running;
        }
    }

    fn ended(
        &mut self,
        key: &TaskKey,
        run: u32,
        end: RunEnd,
        checkpoint: Option<Name>,
        max_attempts: u32,
        now_ms: u64,
    ) {
        let spec = Arc::clone(&self.spec);
        let Some(step_spec) = spec.steps.get(key.step.step as usize) else {
            return;
        };
        let Some(occurrence) = self.occurrences.get_mut(&key.step.occurrence) else {
            return;
        };
        let Some(step) = occurrence.steps.get_mut(key.step.step as usize) else {
            return;
        };
        if step.tasks.len() <= key.index as usize {
            return;
        }
        step.ended(step_spec, key.index, run, end, checkpoint);
        let has_failed = !step_spec.long_running && step.failures(step_spec) >= max_attempts;
        if occurrence.steps.iter().all(crate::StepProgress::is_done) {
            occurrence.is_done = true;
            occurrence.steps = Vec::new();
        }
        if has_failed && !self.phase.is_final() {
            self.end(JobPhase::Failed, now_ms);
        }
        let done = self.occurrences.values().filter(|o| o.is_done).count();
        if done == spec.occurrences() as usize && !self.phase.is_final() {
            self.end(JobPhase::Completed, now_ms);
        }
        self.drop_details();
    }

    fn end(&mut self, phase: JobPhase, now_ms: u64) {
        self.phase = phase;
        self.ended_ms = now_ms;
        self.drop_details();
    }

    /// Frees the memory of a job of which nothing runs any more.
    fn drop_details(&mut self) {
        if self.phase.is_final() && self.occurrences.values().all(Occurrence::is_idle) {
            self.occurrences.clear();
            self.spec = Arc::new(JobSpec::default());
        }
    }
}
