//! What changes of jobs mean for the dispatcher.

use std::{collections::BTreeSet, sync::Arc};

use tarragon_names::{JobId, Millis, WorkerName};
use tarragon_workflow::{JobKey, JobPhase, RunEnd, RunEvent, StepKey, StepProgress, TaskKey};

use crate::{
    Dispatcher, Note, advice::Advice, run_terms::RunTerms, run_view::StartState,
    step_plan::StepPlan,
};

impl Dispatcher {
    /// Takes in the state of a job: which of its steps wait, and which of its runs must end.
    pub(crate) fn refresh_job(&mut self, key: JobKey) {
        let now_ms = self.now_ms;
        let flow = Arc::clone(&self.flow);
        let known = flow.with_job(key, |job| {
            let ready = job.ready_steps(now_ms);
            (job.phase, ready, job.next_due_ms(now_ms).is_some())
        });
        let Some((phase, ready, is_timed)) = known else {
            return;
        };
        if is_timed {
            self.timed.insert(key);
        } else {
            self.timed.remove(&key);
        }
        self.stop_superfluous(key, phase);
        let ready = ready.iter().map(|step| step.key).collect::<BTreeSet<_>>();
        let known = self.plans_of(key);
        for step in known.difference(&ready) {
            let is_over = phase.is_final() || self.is_step_done(step);
            if is_over {
                self.drop_plan(step);
            } else if let Some(plan) = self.plans.get_mut(step) {
                plan.waiting.clear();
            }
        }
        for step in ready {
            self.plan_step(step);
        }
        self.is_dirty = true;
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
        let is_done = self.flow.with_job(key.job, |job| {
            let occurrence = job.occurrences.get(&key.occurrence)?;
            let step = occurrence.steps.get(key.step as usize);
            Some(occurrence.is_done || step.is_some_and(StepProgress::is_done))
        });
        is_done.flatten().unwrap_or(false)
    }

    fn drop_plan(&mut self, key: &StepKey) {
        self.release(key);
        self.plans.remove(key);
    }

    /// Gives back the room that was reserved for a step.
    pub(crate) fn release(&mut self, key: &StepKey) {
        let Some(plan) = self.plans.get_mut(key) else {
            return;
        };
        for worker in std::mem::take(&mut plan.reserved).into_keys() {
            if let Some(seat) = self.seats.get_mut(&worker) {
                seat.reserved.remove(key);
            }
        }
    }

    fn plan_step(&mut self, key: StepKey) {
        let flow = Arc::clone(&self.flow);
        let waiting = flow.with_job(key.job, |job| {
            let begun = job.occurrences.get(&key.occurrence);
            let step = begun.and_then(|begun| begun.steps.get(key.step as usize));
            let spec = Arc::clone(&job.spec);
            let waiting = match step {
                Some(step) => step.waiting(),
                None => (0..spec.steps[key.step as usize].count).collect(),
            };
            let asked_ms = job.accepted_ms.max(spec.due_ms(key.occurrence));
            (waiting, spec, job.queue.clone(), asked_ms)
        });
        let Some((mut waiting, spec, queue, asked_ms)) = waiting else {
            return;
        };
        waiting.retain(|index| {
            !self.is_committing(&TaskKey {
                step: key,
                index: *index,
            })
        });
        let step = &spec.steps[key.step as usize];
        if step.gang && waiting.len() < step.count as usize {
            // The members of a gang start together, so the last run must have ended everywhere.
            waiting.clear();
        }
        if let Some(plan) = self.plans.get_mut(&key) {
            plan.waiting = waiting;
            return;
        }
        let Some(queue) = flow.queue(&queue) else {
            return;
        };
        let chain = spec.steps.iter().map(|step| step.estimate.0).sum::<u64>();
        let allowed = chain * queue.stretch_permille / 1_000 + queue.target_latency.0;
        let plan = StepPlan {
            key,
            queue,
            spec,
            asked_ms,
            objective_ms: asked_ms + allowed,
            waiting,
            advice: Advice::default(),
            failed_on: BTreeSet::new(),
            reserved: std::collections::BTreeMap::new(),
            not_before: Millis(0),
            preempt_at: Millis(0),
            room_by: Millis(0),
        };
        self.plans.insert(key, plan);
        self.arrivals.push(key);
    }

    /// Workers at which a task is placed as far as the leader knows.
    pub(crate) fn workers_of(&self, task: &TaskKey) -> Vec<WorkerName> {
        let from = (*task, WorkerName::default());
        let placed = self.placed.range(from..);
        placed
            .take_while(|(placed, _)| placed == task)
            .map(|(_, worker)| worker.clone())
            .collect()
    }

    fn is_committing(&self, task: &TaskKey) -> bool {
        self.workers_of(task).iter().any(|worker| {
            let view = self.seats.get(worker).and_then(|seat| seat.runs.get(task));
            view.is_some_and(|view| view.start == StartState::Committing && !view.is_ended)
        })
    }

    /// Runs of a job that are placed somewhere.
    fn views_of_job(&self, job: JobKey) -> Vec<(TaskKey, WorkerName)> {
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

    /// Stops the runs of an ended job, and of tasks that are done by another run.
    fn stop_superfluous(&mut self, job: JobKey, phase: JobPhase) {
        let now = self.now;
        for (task, worker) in self.views_of_job(job) {
            let is_done_elsewhere = || {
                let is_current = self.flow.with_job(job, |job| {
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
            let seat = self.seats.get_mut(&worker);
            if let Some(view) = seat.and_then(|seat| seat.runs.get_mut(&task))
                && must_stop
                && !view.is_ended
                && (phase.is_final() || view.start != StartState::Committing)
            {
                view.want_stop(now);
            }
        }
    }

    /// What the description of a task says of its runs.
    pub(crate) fn terms_of(&self, task: &TaskKey) -> RunTerms {
        let found = self.flow.with_job(task.step.job, |job| {
            let step = job.spec.steps.get(task.step.step as usize).cloned()?;
            Some((step, job.queue.clone()))
        });
        let Some((step, queue)) = found.flatten() else {
            return RunTerms::default();
        };
        RunTerms::new(&step, self.flow.queue(&queue).as_deref())
    }

    pub(crate) fn orders_applied(&mut self, records: &[RunEvent]) {
        let mut jobs = BTreeSet::new();
        for record in records {
            match record {
                RunEvent::Placed {
                    task,
                    run,
                    incarnation: life,
                } => {
                    jobs.insert(task.step.job);
                    self.placed_applied(task, *run, &life.worker);
                }
                RunEvent::Ended {
                    incarnation: life,
                    number,
                    task,
                    run,
                    end,
                    ..
                } => {
                    jobs.insert(task.step.job);
                    self.ended_applied(task, *run, &life.worker);
                    if let Some(seat) = self.seats.get_mut(&life.worker)
                        && *seat.life() == *life
                    {
                        seat.record.acknowledged = seat.record.acknowledged.max(*number);
                    }
                    if *end != RunEnd::Done {
                        self.break_gang(task.step, *run);
                    }
                }
                RunEvent::Lost { task, run, .. } => {
                    jobs.insert(task.step.job);
                    for worker in self.workers_of(task) {
                        self.ended_applied(task, *run, &worker);
                    }
                    self.break_gang(task.step, *run);
                }
            }
        }
        for job in jobs {
            self.refresh_job(job);
        }
    }

    fn ended_applied(&mut self, task: &TaskKey, run: u32, worker: &WorkerName) {
        let seat = self.seats.get(worker);
        let view = seat.and_then(|seat| seat.runs.get(task));
        if view.is_some_and(|view| view.run == run) {
            self.drop_view(task, worker);
        }
    }

    /// Stops the other members of a gang of which one has ended without success.
    pub(crate) fn break_gang(&mut self, step: StepKey, run: u32) {
        let is_gang = self.flow.with_job(step.job, |job| {
            let spec = job.spec.steps.get(step.step as usize);
            spec.is_some_and(|spec| spec.gang)
        });
        if is_gang != Some(true) {
            return;
        }
        let now = self.now;
        for (task, worker) in self.views_of_job(step.job) {
            let seat = self.seats.get_mut(&worker);
            if let Some(view) = seat.and_then(|seat| seat.runs.get_mut(&task))
                && task.step == step
                && view.run == run
                && !view.is_ended
            {
                view.want_stop(now);
            }
        }
    }

    /// Counts the end of a run for or against its worker.
    pub(crate) fn judge(&mut self, task: &TaskKey, worker: &WorkerName, end: RunEnd) {
        let job = JobId(task.step.job.0);
        match end {
            RunEnd::Done => {
                let verdicts = self.health.record_success(worker, job, self.now);
                self.carry_out(verdicts);
            }
            RunEnd::Failed => {
                if let Some(plan) = self.plans.get_mut(&task.step) {
                    plan.failed_on.insert(worker.clone());
                }
                let verdicts = self.health.record_failure(worker, job, self.now, true);
                self.carry_out(verdicts);
            }
            _ => {}
        }
    }

    fn carry_out(&mut self, verdicts: Vec<tarragon_health::HealthDecision>) {
        use tarragon_health::HealthDecision;

        for verdict in verdicts {
            match verdict {
                HealthDecision::Quarantine { worker, probe_at } => {
                    if let Some(seat) = self.seats.get_mut(&worker) {
                        seat.avoid_until = probe_at;
                    }
                    let detail = format!("until {probe_at:?}");
                    self.note(
                        Note::new("worker_set_aside", detail)
                            .worker(&worker)
                            .warning(),
                    );
                }
                HealthDecision::Restore { worker } => {
                    if let Some(seat) = self.seats.get_mut(&worker) {
                        seat.avoid_until = Millis(0);
                    }
                    self.note(Note::new("worker_restored", String::new()).worker(&worker));
                }
                // The attempts of a job are counted in the replicated state.
                HealthDecision::FailJob { .. } => {}
            }
        }
    }
}
