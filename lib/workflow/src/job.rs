use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use tarragon_names::{Name, TeamName};

use crate::{
    JobKey, JobPhase, JobSpec, Occurrence, OccurrenceSet, Placement, RunEffect, RunEnd, RunEvent,
    StepKey, StepProgress, StepSpec, TaskHistory, TaskKey, TaskPhase, TaskProgress,
};

/// Largest number of done occurrences of a job that a snapshot stores in the form of earlier releases.
const MAX_LISTED_DONE: u64 = 1_000;

/// A step whose tasks may be started now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadyStep {
    /// Identifier of the step.
    pub key: StepKey,
    /// Indexes of the tasks that wait for a worker; at least one.
    pub waiting: Vec<u32>,
}

/// An accepted job and its progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Identifier chosen by the caller.
    pub key: JobKey,
    /// Name of the queue that the job was submitted to.
    pub queue: Name,
    /// Team that the job was accepted for; `None` if calls needed no key. Snapshots store it apart.
    #[serde(skip)]
    pub team: Option<TeamName>,
    /// Description from the caller; emptied to save memory once the job has ended and no run is
    /// left.
    pub spec: Arc<JobSpec>,
    /// State as reported to the caller.
    pub phase: JobPhase,
    /// Unix time at which the job was accepted, in milliseconds.
    pub accepted_ms: u64,
    /// Unix time at which the job ended, in milliseconds; 0 before.
    pub ended_ms: u64,
    /// Occurrences of which at least one task was placed and that are not done, by number.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences that are done. Snapshots store them apart.
    #[serde(skip)]
    pub(crate) done: OccurrenceSet,
}

impl Job {
    pub(crate) fn new(
        key: JobKey,
        queue: Name,
        team: Option<TeamName>,
        spec: JobSpec,
        accepted_ms: u64,
    ) -> Self {
        Self {
            key,
            queue,
            team,
            spec: Arc::new(spec),
            phase: JobPhase::Pending,
            accepted_ms,
            ended_ms: 0,
            occurrences: BTreeMap::new(),
            done: OccurrenceSet::default(),
        }
    }

    /// Returns the progress of a task; None if its occurrence has not begun or is done.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskProgress> {
        let occurrence = self.occurrences.get(&key.step.occurrence)?;
        let step = occurrence.steps.get(key.step.step as usize)?;
        step.tasks.get(key.index as usize)
    }

    /// Returns whether a task of the job has certainly been started: it is done, has failed, or has
    /// saved a checkpoint.
    pub fn has_started(&self) -> bool {
        let tasks = |occurrence: &Occurrence| {
            let steps = occurrence.steps.iter();
            steps
                .flat_map(|step| &step.tasks)
                .any(TaskProgress::has_started)
        };
        let mut occurrences = self.occurrences.values();
        self.phase.is_final() || !self.done.is_empty() || occurrences.any(tasks)
    }

    /// Number of tasks whose progress the job holds, or will hold once its first task is placed; 0
    /// after its details were dropped.
    pub fn held_tasks(&self) -> u64 {
        self.spec.tasks() * self.occurrences.len().max(1) as u64
    }

    /// Returns whether the job has a task with this key.
    pub fn has_task(&self, key: &TaskKey) -> bool {
        let step = self.spec.steps.get(key.step.step as usize);
        key.step.occurrence < self.spec.occurrences()
            && step.is_some_and(|step| key.index < step.count)
    }

    /// Returns whether all tasks of a step are done.
    pub fn is_step_done(&self, key: &StepKey) -> bool {
        let occurrence = self.occurrences.get(&key.occurrence);
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(key.step as usize));
        self.done.contains(key.occurrence) || step.is_some_and(StepProgress::is_done)
    }

    /// Returns the open occurrences that are due: those that have begun, and the first other ones, up to
    /// `max_open` together. What is returned does not grow with the number of occurrences that are due.
    pub fn open_occurrences(&self, now_ms: u64, max_open: usize) -> Vec<u32> {
        if self.phase.is_final() {
            return Vec::new();
        }
        let mut open = self.occurrences.keys().copied().collect::<Vec<_>>();
        let mut next = self.done.next_absent(0);
        while let Some(occurrence) = next
            && open.len() < max_open
            && occurrence < self.spec.occurrences()
            && self.spec.due_ms(occurrence) <= now_ms
        {
            if !self.occurrences.contains_key(&occurrence) {
                open.push(occurrence);
            }
            let following = occurrence.checked_add(1);
            next = following.and_then(|following| self.done.next_absent(following));
        }
        open
    }

    /// Returns the steps of these occurrences that have waiting tasks and whose dependencies are done.
    pub fn ready_steps(&self, occurrences: &[u32]) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        for occurrence in occurrences.iter().copied() {
            let begun = self.occurrences.get(&occurrence);
            let is_done = begun.map(Occurrence::done_steps);
            for (step, spec) in (0..).zip(&self.spec.steps) {
                let is_ready = match &is_done {
                    Some(is_done) => {
                        let mut earlier = spec.depends_on.iter();
                        earlier.all(|step| is_done.get(*step as usize) == Some(&true))
                    }
                    None => spec.depends_on.is_empty(),
                };
                if !is_ready {
                    continue;
                }
                let waiting = match begun {
                    Some(begun) => begun.waiting(step),
                    None => (0..spec.count).collect(),
                };
                if !waiting.is_empty() {
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

    /// Returns the unix time in milliseconds at which the next occurrence is due; None if no
    /// further occurrence follows.
    pub fn next_due_ms(&self, now_ms: u64) -> Option<u64> {
        if self.phase.is_final() {
            return None;
        }
        self.spec.next_due_ms(now_ms)
    }

    /// Returns the tasks that are placed on workers and whose ends are not recorded.
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

    /// Returns the long-running tasks of occurrences that have begun, each with the description of
    /// its step and its placement, if it is placed.
    pub fn long_running(&self) -> Vec<(TaskKey, &StepSpec, Option<&Placement>)> {
        let mut tasks = Vec::new();
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
                    tasks.push((TaskKey { step, index }, spec, task.placement()));
                }
            }
        }
        tasks
    }

    /// Histories of the tasks that have one.
    pub(crate) fn histories(&self) -> Vec<TaskHistory> {
        let mut histories = Vec::new();
        for (occurrence, run) in &self.occurrences {
            for (step, step_run) in (0..).zip(&run.steps) {
                let step = StepKey {
                    job: self.key,
                    occurrence: *occurrence,
                    step,
                };
                let tasks = (0..).zip(&step_run.tasks);
                histories.extend(
                    tasks.filter_map(|(index, task)| task.history(TaskKey { step, index })),
                );
            }
        }
        histories
    }

    pub(crate) fn restore_history(&mut self, history: TaskHistory) {
        let key = history.task;
        let occurrence = self.occurrences.get_mut(&key.step.occurrence);
        let step = occurrence.and_then(|o| o.steps.get_mut(key.step.step as usize));
        if let Some(task) = step.and_then(|step| step.tasks.get_mut(key.index as usize)) {
            task.restore_history(history);
        }
    }

    /// Completes the tasks of a snapshot without histories.
    pub(crate) fn assume_histories(&mut self) {
        let occurrences = self.occurrences.values_mut();
        let steps = occurrences.flat_map(|occurrence| &mut occurrence.steps);
        let tasks = steps.flat_map(|step| &mut step.tasks);
        tasks.for_each(TaskProgress::assume_history);
    }

    /// Adds the done occurrences to the others if there are few of them, which is the form that earlier
    /// releases read. Returns the others.
    pub(crate) fn list_done(&mut self) -> Option<OccurrenceSet> {
        if self.done.len() > MAX_LISTED_DONE {
            return Some(self.done.clone());
        }
        let done = self.done.iter().map(|number| (number, Occurrence::done()));
        self.occurrences.extend(done);
        None
    }

    /// Takes the done occurrences of a snapshot from the others.
    pub(crate) fn unlist_done(&mut self) {
        let listed = self.occurrences.extract_if(.., |_, o| o.is_done);
        for (number, _) in listed {
            self.done.insert(number);
        }
    }

    pub(crate) fn cancel(&mut self, now_ms: u64) {
        self.end(JobPhase::Cancelled, now_ms);
    }

    pub(crate) fn apply_event(
        &mut self,
        event: &RunEvent,
        max_attempts: u32,
        now_ms: u64,
    ) -> Option<RunEffect> {
        match event {
            RunEvent::Placed {
                task,
                run,
                incarnation,
            } => {
                self.apply_placed(task, *run, incarnation.clone());
                None
            }
            RunEvent::Ended {
                task,
                run,
                end,
                checkpoint,
                ..
            } => self.apply_end(task, *run, *end, checkpoint.as_ref(), max_attempts, now_ms),
            RunEvent::Lost {
                task,
                run,
                checkpoint,
            } => {
                let is_current = self.task(task).is_some_and(|t| t.is_placed_as(*run));
                if !is_current {
                    return None;
                }
                self.apply_end(
                    task,
                    *run,
                    RunEnd::Lost,
                    checkpoint.as_ref(),
                    max_attempts,
                    now_ms,
                )
            }
        }
    }

    fn apply_placed(&mut self, key: &TaskKey, run: u32, incarnation: crate::WorkerIncarnation) {
        if self.phase.is_final() || !self.has_task(key) || self.done.contains(key.step.occurrence) {
            return;
        }
        let spec = Arc::clone(&self.spec);
        let occurrence = self
            .occurrences
            .entry(key.step.occurrence)
            .or_insert_with(|| Occurrence::new(&spec));
        let task = &mut occurrence.steps[key.step.step as usize].tasks[key.index as usize];
        if task.phase == TaskPhase::Waiting && run > task.last_run {
            task.last_run = run;
            task.phase = TaskPhase::Placed(Placement { run, incarnation });
            self.phase = JobPhase::Running;
        }
    }

    fn apply_end(
        &mut self,
        key: &TaskKey,
        run: u32,
        end: RunEnd,
        checkpoint: Option<&Name>,
        max_attempts: u32,
        now_ms: u64,
    ) -> Option<RunEffect> {
        let spec = Arc::clone(&self.spec);
        let step_spec = spec.steps.get(key.step.step as usize)?;
        let occurrence = self.occurrences.get_mut(&key.step.occurrence)?;
        let step = occurrence.steps.get_mut(key.step.step as usize)?;
        // A run that was never placed belongs to an earlier job under the same key.
        if step.tasks.get(key.index as usize)?.last_run < run {
            return None;
        }
        step.apply_end(step_spec, key.index, run, end, checkpoint);
        let failures = step.failures(step_spec);
        let is_failure = end == RunEnd::Failed && !step_spec.long_running;
        let has_failed = is_failure && failures >= max_attempts;
        if occurrence.steps.iter().all(StepProgress::is_done) {
            self.occurrences.remove(&key.step.occurrence);
            self.done.insert(key.step.occurrence);
        }
        let effect = (has_failed && !self.phase.is_final()).then_some(RunEffect::JobFailed {
            task: *key,
            run,
            failures,
            max_attempts,
        });
        if effect.is_some() {
            self.end(JobPhase::Failed, now_ms);
        }
        let are_all_done = self.done.len() == u64::from(spec.occurrences());
        if are_all_done && !self.phase.is_final() {
            self.end(JobPhase::Completed, now_ms);
        }
        self.drop_details();
        effect
    }

    fn end(&mut self, phase: JobPhase, now_ms: u64) {
        self.phase = phase;
        self.ended_ms = now_ms;
        self.drop_details();
    }

    /// Frees the memory of a job that has ended and has no run left.
    fn drop_details(&mut self) {
        if self.phase.is_final() && self.occurrences.values().all(Occurrence::is_idle) {
            self.occurrences.clear();
            self.done = OccurrenceSet::default();
            self.spec = Arc::new(JobSpec::default());
        }
    }
}
