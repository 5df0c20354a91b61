//! Updates of plans and runs after changes of jobs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tarragon_names::{Millis, WorkerName};
use tarragon_workflow::{
    JobKey, JobPhase, ReadyStep, RunEffect, RunEnd, RunEvent, StepKey, TaskKey, TaskPhase,
};

use crate::{
    DecisionEvent, Dispatcher, advice::Advice, job_reading::JobReading, load_counters::StopCause,
    run_spec::RunSpec, run_view::StartState, step_plan::StepPlan, wait::Wait,
};

impl Dispatcher {
    /// Updates the plans and runs of a job from its replicated state: plans the steps that are
    /// ready, and stops the runs that are no longer needed.
    pub(crate) fn refresh_job(&mut self, key: JobKey) {
        let Some(reading) = self.read_job(key) else {
            return;
        };
        let phase = reading.phase;
        self.stop_superseded_runs(key, phase);
        let ready = reading.ready.iter().map(|step| step.key);
        let ready = ready.collect::<BTreeSet<_>>();
        let known = self.plans_of(key);
        for step in known.difference(&ready) {
            let is_over = phase.is_final() || self.is_step_done(step);
            if is_over {
                self.remove_plan(step);
            } else if let Some(plan) = self.plans.get_mut(step) {
                plan.waiting.clear();
            }
        }
        for step in &reading.ready {
            self.plan_step(&reading, step);
        }
        self.needs_placement = true;
    }

    /// Reads a job, and records when it has to be looked at again. Returns `None` if it is not known.
    fn read_job(&mut self, key: JobKey) -> Option<JobReading> {
        let now_ms = self.now_ms;
        let open_occurrences = &mut self.open_occurrences;
        let reading = self.workflow_state.with_job(key, |job| {
            let tasks = job.spec.tasks();
            let limit = open_occurrences.limit(key, tasks);
            let reading = JobReading::of(job, now_ms, limit);
            open_occurrences.record(key, reading.open, tasks);
            let may_open_more = (limit..job.spec.occurrences() as usize).contains(&reading.open);
            let is_crowded = may_open_more && open_occurrences.is_crowded(key, tasks);
            (reading, is_crowded)
        });
        let (reading, is_crowded) = reading?;
        let next_ms = if is_crowded {
            Some(now_ms)
        } else {
            reading.next_due_ms
        };
        if let Some(next_ms) = next_ms {
            self.scheduled_jobs.insert(key, next_ms);
        } else {
            self.scheduled_jobs.remove(&key);
        }
        Some(reading)
    }

    /// Updates the jobs of which another occurrence is due or may be opened.
    pub(crate) fn refresh_due_jobs(&mut self) {
        let now_ms = self.now_ms;
        let due = self.scheduled_jobs.iter();
        let due = due.filter(|(_, at_ms)| **at_ms <= now_ms);
        let due = due.map(|(job, _)| *job).collect::<Vec<_>>();
        for job in due {
            self.refresh_job(job);
        }
    }

    fn plans_of(&self, job: JobKey) -> BTreeSet<StepKey> {
        let first = StepKey {
            job,
            occurrence: 0,
            step: 0,
        };
        let of_job = self.plans.range(first..).map(|(key, _)| *key);
        of_job.take_while(|key| key.job == job).collect()
    }

    fn is_step_done(&self, key: &StepKey) -> bool {
        let is_done = self
            .workflow_state
            .with_job(key.job, |job| job.is_step_done(key));
        is_done.unwrap_or(false)
    }

    fn remove_plan(&mut self, key: &StepKey) {
        self.release_reservation(key);
        self.plans.remove(key);
    }

    /// Frees the capacity reserved for a step.
    pub(crate) fn release_reservation(&mut self, key: &StepKey) {
        let Some(plan) = self.plans.get_mut(key) else {
            return;
        };
        for worker in std::mem::take(&mut plan.reserved).into_keys() {
            if let Some(state) = self.workers.get_mut(&worker) {
                state.reserved.remove(key);
            }
        }
    }

    fn plan_step(&mut self, reading: &JobReading, ready: &ReadyStep) {
        let key = ready.key;
        let Some(step) = reading.spec.steps.get(key.step as usize) else {
            return;
        };
        let mut waiting = ready.waiting.clone();
        waiting.retain(|index| {
            let task = TaskKey {
                step: key,
                index: *index,
            };
            !self.has_committing_run(&task) && !self.awaits_late_start(&task)
        });
        if step.gang && waiting.len() < step.count as usize {
            // The members of a gang start together, so all members of its previous run must have
            // ended.
            waiting.clear();
        }
        if let Some(plan) = self.plans.get_mut(&key) {
            plan.waiting = waiting;
            return;
        }
        let Some(queue) = self.workflow_state.queue(&reading.queue) else {
            return;
        };
        let occurrence_due_ms = reading.due_ms(key.occurrence);
        // Occurrences that were due before the job came take their turn among the jobs that come while they
        // wait to be opened.
        let due_ms = if occurrence_due_ms < reading.accepted_ms {
            self.now_ms
        } else {
            occurrence_due_ms
        };
        let estimates = reading.spec.steps.iter().map(|step| step.estimate.0);
        let total_estimate_ms = estimates.fold(0, u64::saturating_add);
        let stretched_ms = total_estimate_ms.saturating_mul(queue.stretch_permille) / 1_000;
        let allowed_ms = stretched_ms.saturating_add(queue.target_latency.0);
        let plan = StepPlan {
            key,
            queue,
            spec: Arc::clone(&reading.spec),
            team: reading.team.clone(),
            due_ms,
            objective_ms: occurrence_due_ms.saturating_add(allowed_ms),
            waiting,
            advice: Advice::default(),
            failed_on: BTreeSet::new(),
            failed_tasks: BTreeMap::new(),
            reserved: BTreeMap::new(),
            not_before: Millis(0),
            next_preemption_at: Millis(0),
            capacity_by: Millis(0),
            wait: Wait::default(),
        };
        if !plan.step().best_effort && !plan.step().long_running {
            let need = plan.waiting_need().cpu_milli;
            self.headroom
                .record_arrival(plan.queue.priority, need, self.now);
        }
        self.plans.insert(key, plan);
        self.new_steps.push(key);
    }

    /// Workers on which a task is placed, as far as the leader knows.
    pub(crate) fn workers_of(&self, task: &TaskKey) -> Vec<WorkerName> {
        let from = (*task, WorkerName::default());
        let placed = self.placed.range(from..);
        placed
            .take_while(|(placed, _)| placed == task)
            .map(|(_, worker)| worker.clone())
            .collect()
    }

    fn has_committing_run(&self, task: &TaskKey) -> bool {
        self.workers_of(task).iter().any(|worker| {
            let view = self
                .workers
                .get(worker)
                .and_then(|state| state.runs.get(task));
            view.is_some_and(|view| view.start == StartState::Committing && !view.is_ended)
        })
    }

    /// Placed runs of a job, as pairs of task and worker.
    fn runs_of_job(&self, job: JobKey) -> Vec<(TaskKey, WorkerName)> {
        let step = StepKey {
            job,
            occurrence: 0,
            step: 0,
        };
        let from = (TaskKey { step, index: 0 }, WorkerName::default());
        let placed = self.placed.range(from..);
        placed
            .take_while(|(task, _)| task.step.job == job)
            .cloned()
            .collect()
    }

    /// Stops the runs of a job that was cancelled or failed, and runs of tasks that another run has
    /// completed.
    fn stop_superseded_runs(&mut self, job: JobKey, phase: JobPhase) {
        let now = self.now;
        for (task, worker) in self.runs_of_job(job) {
            let is_done_elsewhere = || {
                let is_current = self.workflow_state.with_job(job, |job| {
                    let step = job.spec.steps.get(task.step.step as usize);
                    let is_gang = step.is_some_and(|step| step.gang);
                    is_gang || job.task(&task).is_none_or(|t| t.placement().is_some())
                });
                is_current == Some(false)
            };
            let must_stop = match phase {
                JobPhase::Cancelled | JobPhase::Failed => true,
                JobPhase::Completed => false,
                JobPhase::Pending | JobPhase::Running => is_done_elsewhere(),
            };
            let cause = if phase.is_final() {
                StopCause::JobEnded
            } else {
                StopCause::DoneElsewhere
            };
            let state = self.workers.get_mut(&worker);
            if let Some(view) = state.and_then(|state| state.runs.get_mut(&task))
                && must_stop
                && !view.is_ended
                && (phase.is_final() || view.start != StartState::Committing)
            {
                view.request_stop(cause, &mut self.load_counters, now);
            }
        }
    }

    /// Requirements of the runs of a task, from its step and queue.
    pub(crate) fn run_spec(&self, task: &TaskKey) -> RunSpec {
        let found = self.workflow_state.with_job(task.step.job, |job| {
            let step = job.spec.steps.get(task.step.step as usize).cloned()?;
            Some((step, job.queue.clone()))
        });
        let Some((step, queue)) = found.flatten() else {
            return RunSpec::default();
        };
        RunSpec::new(
            &step,
            self.workflow_state.queue(&queue).as_deref(),
            self.team_of(task.step.job),
        )
    }

    pub(crate) fn orders_applied(&mut self, records: &[RunEvent]) {
        let mut jobs = BTreeSet::new();
        for record in records {
            match record {
                RunEvent::Placed {
                    task,
                    run,
                    incarnation,
                } => {
                    jobs.insert(task.step.job);
                    self.placed_applied(task, *run, &incarnation.worker);
                }
                RunEvent::Ended {
                    incarnation,
                    number,
                    task,
                    run,
                    end,
                    ..
                } => {
                    jobs.insert(task.step.job);
                    self.hold_end(incarnation, *number, task, *end);
                    self.ended_applied(task, *run, &incarnation.worker);
                    if let Some(state) = self.workers.get_mut(&incarnation.worker)
                        && *state.incarnation() == *incarnation
                    {
                        state.record.acknowledged = state.record.acknowledged.max(*number);
                    }
                    if *end == RunEnd::Done {
                        self.stop_other_runs(task, *run);
                    } else {
                        self.stop_gang(task.step, *run);
                    }
                }
                RunEvent::Lost { task, run, .. } => {
                    jobs.insert(task.step.job);
                    for worker in self.workers_of(task) {
                        self.ended_applied(task, *run, &worker);
                    }
                    self.stop_gang(task.step, *run);
                }
            }
        }
        for job in jobs {
            self.refresh_job(job);
        }
    }

    /// Writes the effects of run events to the log.
    pub(crate) fn report_effects(&mut self, effects: &[RunEffect]) {
        for effect in effects {
            match effect {
                RunEffect::JobFailed {
                    task,
                    run,
                    failures,
                    max_attempts,
                } => {
                    let detail = format!("{failures} failed runs of at most {max_attempts}");
                    self.emit(DecisionEvent::new("job_failed", detail).task(*task, *run));
                }
            }
        }
    }

    fn ended_applied(&mut self, task: &TaskKey, run: u32, worker: &WorkerName) {
        let state = self.workers.get(worker);
        let view = state.and_then(|state| state.runs.get(task));
        if view.is_some_and(|view| view.run == run) {
            self.remove_run_view(task, worker);
        }
    }

    /// Stops the runs that are not needed once a run has completed its task: other runs of the task
    /// and, for a gang, of all members. The end may come late, from a run that was declared lost.
    fn stop_other_runs(&mut self, done: &TaskKey, run: u32) {
        let is_done = self.workflow_state.with_job(done.step.job, |job| {
            let task = job.task(done);
            task.is_none_or(|task| task.phase == TaskPhase::Done)
        });
        if is_done == Some(false) {
            return;
        }
        let now = self.now;
        for (task, worker) in self.runs_of_job(done.step.job) {
            let state = self.workers.get_mut(&worker);
            if let Some(view) = state.and_then(|state| state.runs.get_mut(&task))
                && task.step == done.step
                && (task == *done || view.spec.is_gang)
                && view.run != run
                && !view.is_ended
            {
                view.request_stop(StopCause::DoneElsewhere, &mut self.load_counters, now);
            }
        }
    }

    /// Stops the other members of a gang after one of them ended without success.
    pub(crate) fn stop_gang(&mut self, step: StepKey, run: u32) {
        let is_gang = self.workflow_state.with_job(step.job, |job| {
            let spec = job.spec.steps.get(step.step as usize);
            spec.is_some_and(|spec| spec.gang)
        });
        if is_gang != Some(true) {
            return;
        }
        let now = self.now;
        for (task, worker) in self.runs_of_job(step.job) {
            let state = self.workers.get_mut(&worker);
            if let Some(view) = state.and_then(|state| state.runs.get_mut(&task))
                && task.step == step
                && view.run == run
                && !view.is_ended
            {
                view.request_stop(StopCause::GangBroken, &mut self.load_counters, now);
            }
        }
    }
}
