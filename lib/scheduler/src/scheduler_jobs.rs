//! Committed commands and their effects on jobs and the queue.

use tarragon_cell::{Answer, AttemptEnd, Command};
use tarragon_codes::{Code, Failure};
use tarragon_health::HealthDecision;
use tarragon_leases::WorkerOrder;
use tarragon_names::{
    Attempt, JobId, Millis, Name, Resources, TaskId, TeamName, WorkerName, Workload,
};
use tarragon_queue::{QueuedJob, Quota};
use tarragon_sizing::Usage;

use crate::{
    SchedAction, SchedLog, Scheduler,
    allocation::{Allocation, JobSummary, Stage},
    leader_state::{Backoff, LeaderState},
};

/// Divisor of `max_tasks_per_tick` that limits how many attempts of cancelled or refused jobs are
/// stopped in one tick, so that mass cancellations do not delay urgent jobs.
const STOP_DIVISOR: usize = 4;

impl Scheduler {
    pub(crate) fn on_committed(
        &mut self,
        leader_state: &mut LeaderState,
        now: Millis,
        command: &Command,
        answer: &Answer,
    ) {
        match command {
            Command::AcceptJob { .. } => {
                if let Answer::Accepted(job) = answer {
                    leader_state.dirty_jobs.insert(*job);
                }
            }
            Command::Assign { tasks } => {
                for (task, attempt, _) in tasks {
                    self.on_assigned(leader_state, now, *task, *attempt);
                }
            }
            Command::End {
                task,
                attempt,
                ended,
            } => self.on_ended(leader_state, now, *task, *attempt, *ended),
            Command::Cancel { job } | Command::Refuse { job, .. } => {
                leader_state.jobs_to_stop.push_back(*job);
            }
            Command::DrainWorker { worker, draining } => {
                if *draining {
                    self.start_drain(leader_state, now, worker);
                } else {
                    self.update_schedulable(leader_state, worker);
                }
            }
            Command::PutQuota { team, .. } => self.quota_changed(leader_state, team),
            Command::DeleteEntry { pattern, .. } => {
                self.estimator
                    .remove_entry(&Name::from(pattern.to_string()));
            }
            Command::PutEntry { .. } | Command::ClaimKey { .. } | Command::CompleteKey { .. } => {}
        }
    }

    fn quota_changed(&self, leader_state: &LeaderState, team: &TeamName) {
        let quota = self.cell.quota(team);
        leader_state
            .queue
            .set_quota(team, Quota::new(quota.resources));
    }

    /// Sends the start of an attempt unless the job was cancelled or the assignment had no effect.
    fn on_assigned(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        task: TaskId,
        attempt: Attempt,
    ) {
        let assignment = self.cell.with_job(task.job, |job| {
            let record = job.tasks.get(task.index as usize);
            let is_assigned = record.is_some_and(|r| r.attempt == attempt && r.worker().is_some());
            is_assigned.then(|| job.can_start_tasks())
        });
        let Some(allocation) = leader_state
            .allocations
            .get_mut(&task)
            .filter(|allocation| {
                allocation.attempt == attempt && allocation.stage == Stage::Proposed
            })
        else {
            if assignment.is_some() && !leader_state.allocations.contains_key(&task) {
                // The proposal was reported as refused but was committed. No start was sent.
                leader_state.proposals.push(Command::End {
                    task,
                    attempt,
                    ended: AttemptEnd::NeverBegan,
                });
            }
            return;
        };
        let Some(Some(may_start)) = assignment else {
            self.release_allocation(leader_state, task, attempt);
            leader_state.dirty_jobs.insert(task.job);
            return;
        };
        allocation.stage = Stage::Assigned;
        let ready = leader_state
            .workers
            .get(&allocation.worker)
            .is_some_and(|state| state.is_in_placer);
        if may_start && ready {
            self.send_start(leader_state, now, task);
        } else {
            Self::propose_end(leader_state, task, AttemptEnd::NeverBegan);
        }
    }

    fn on_ended(
        &mut self,
        leader_state: &mut LeaderState,
        now: Millis,
        task: TaskId,
        attempt: Attempt,
        ended: AttemptEnd,
    ) {
        let allocation = self.release_allocation(leader_state, task, attempt);
        let worker = allocation
            .as_ref()
            .map(|allocation| allocation.worker.clone());
        if let Some(allocation) = &allocation {
            if ended != AttemptEnd::LeaseEnded {
                // `EndRecorded` makes a worker forget the end. After the end of a lease the worker
                // may still report how the attempt really ended, so it gets no `EndRecorded` yet.
                let recorded = WorkerOrder::EndRecorded { task, attempt };
                leader_state.push_order(&allocation.worker, recorded);
            }
            self.record_outcome(leader_state, now, task.job, allocation, ended);
        }
        leader_state.actions.push(SchedAction::Log(SchedLog::Ended {
            worker,
            task,
            attempt,
            ended,
        }));
        leader_state.dirty_jobs.insert(task.job);
    }

    /// Removes the allocation of an attempt and releases its capacity in the placer.
    ///
    /// Returns `None` if the task has no allocation for this attempt.
    pub(crate) fn release_allocation(
        &self,
        leader_state: &mut LeaderState,
        task: TaskId,
        attempt: Attempt,
    ) -> Option<Allocation> {
        if leader_state.allocations.get(&task)?.attempt != attempt {
            return None;
        }
        let allocation = leader_state.remove_allocation(task)?;
        let state = leader_state.workers.get(&allocation.worker);
        if state.is_some_and(|state| state.is_in_placer) {
            self.placer
                .release(&allocation.worker, &allocation.reserved);
        }
        if self.health.is_quarantined(&allocation.worker) {
            leader_state
                .unproven_workers
                .insert(allocation.worker.clone());
        }
        Some(allocation)
    }

    /// Records the outcome of an attempt in the estimator, the backoff and the health table.
    fn record_outcome(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        job: JobId,
        allocation: &Allocation,
        ended: AttemptEnd,
    ) {
        let AttemptEnd::Exited(status) = ended else {
            return;
        };
        let run_time = now.since(allocation.placed_at);
        let spec = &allocation.summary.spec;
        if allocation.peak_usage != Resources::ZERO {
            let run = (status == 0 && spec.run_ms > 0).then_some(run_time);
            let peak = allocation.peak_usage;
            let usage = Usage {
                peak,
                run_time: run,
            };
            self.estimator
                .report(&allocation.summary.entry, &spec.resources, &usage);
        }
        let failed = status != 0 || spec.kind == Workload::Service;
        let quick = failed && run_time < self.cfg.quick_failure_limit;
        if quick {
            let cfg = &self.cfg;
            let backoff = leader_state.backoffs.entry(job).or_insert(Backoff {
                failures: 0,
                until: now,
            });
            let delay_ms = cfg.backoff_min.0 << backoff.failures.min(16);
            backoff.failures += 1;
            backoff.until = now + Millis(delay_ms).min(cfg.backoff_max);
        } else {
            leader_state.backoffs.remove(&job);
        }
        let verdicts = if status == 0 {
            self.health.record_success(&allocation.worker, job, now)
        } else {
            self.health
                .record_failure(&allocation.worker, job, now, quick)
        };
        for verdict in verdicts {
            self.apply_verdict(leader_state, verdict);
        }
    }

    fn apply_verdict(&self, leader_state: &mut LeaderState, verdict: HealthDecision) {
        match verdict {
            HealthDecision::Quarantine { worker, .. } => {
                self.placer.set_schedulable(&worker, false);
                leader_state
                    .actions
                    .push(SchedAction::Log(SchedLog::Quarantined { worker }));
            }
            HealthDecision::Restore { worker } | HealthDecision::Clear { worker } => {
                self.update_schedulable(leader_state, &worker);
                leader_state
                    .actions
                    .push(SchedAction::Log(SchedLog::Restored { worker }));
            }
            // The next probe opens the worker; a suspicion alone closes none here.
            HealthDecision::ProbeFailed { .. } | HealthDecision::Suspect { .. } => {}
            HealthDecision::FailJob { job, workers } => {
                let cause = format!("failed on {} workers that run other jobs", workers.len());
                Self::refuse(leader_state, job, Failure::new(Code::TaskFailed, cause));
            }
        }
    }

    /// Lets the placer use a worker, unless the worker leaves, drains or is quarantined.
    pub(crate) fn update_schedulable(&self, leader_state: &LeaderState, worker: &WorkerName) {
        if let Some(state) = leader_state.workers.get(worker) {
            self.placer
                .set_schedulable(worker, !self.is_unschedulable(state, worker));
        }
    }

    pub(crate) fn refuse(leader_state: &mut LeaderState, job: JobId, reason: Failure) {
        leader_state
            .actions
            .push(SchedAction::Log(SchedLog::Refused {
                job,
                reason: reason.clone(),
            }));
        leader_state.proposals.push(Command::Refuse { job, reason });
    }

    /// Stops the attempts of cancelled or refused jobs, in the order of the log.
    pub(crate) fn stop_jobs(&mut self, leader_state: &mut LeaderState, now: Millis) {
        let mut remaining = self.cfg.max_tasks_per_tick / STOP_DIVISOR;
        while remaining > 0
            && let Some(job) = leader_state.jobs_to_stop.pop_front()
        {
            leader_state.queue.remove(job);
            let stopping = leader_state
                .allocations_of(job)
                .filter(|(_, allocation)| {
                    !allocation.is_ending() && allocation.stage != Stage::Proposed
                })
                .map(|(task, _)| *task)
                .take(remaining)
                .collect::<Vec<_>>();
            for task in &stopping {
                self.stop_attempt(leader_state, now, *task);
            }
            if stopping.len() == remaining {
                // The job may have more attempts to stop than this tick allows.
                leader_state.jobs_to_stop.push_front(job);
            }
            remaining -= stopping.len().clamp(1, remaining);
            leader_state.dirty_jobs.insert(job);
        }
    }

    /// Rebuilds the queue entry of each job that changed, from its record in the cell.
    pub(crate) fn sync_jobs(&mut self, leader_state: &mut LeaderState, now: Millis) {
        leader_state.capacity_counts.clear();
        for capacity in leader_state
            .workers
            .values()
            .filter_map(|state| state.capacity)
        {
            *leader_state.capacity_counts.entry(capacity).or_default() += 1;
        }
        while let Some((_, job)) = leader_state
            .backing_off
            .first()
            .copied()
            .filter(|(at, _)| *at <= now)
        {
            leader_state.backing_off.pop_first();
            leader_state.dirty_jobs.insert(job);
        }
        for job in std::mem::take(&mut leader_state.dirty_jobs) {
            self.sync_job(leader_state, now, job);
        }
    }

    fn sync_job(&self, leader_state: &mut LeaderState, now: Millis, job: JobId) {
        leader_state.queue.remove(job);
        let found = self.cell.with_job(job, |record| {
            let waiting = record
                .waiting_tasks()
                .filter(|(task, _)| !leader_state.allocations.contains_key(task))
                .count();
            let open = record.ended_ms.is_none();
            (open, waiting, JobSummary::of(record), record.accepted_ms)
        });
        let Some((true, waiting, summary, accepted_ms)) = found else {
            self.health.forget_job(job);
            leader_state.backoffs.remove(&job);
            return;
        };
        if waiting == 0 {
            return;
        }
        if summary.spec.kind == Workload::AllOrNothing
            && leader_state.allocations_of(job).next().is_some()
        {
            // A task was lost. The other tasks are stopped, and the job starts again as a whole.
            let tasks = leader_state.allocations_of(job).map(|(task, _)| *task);
            for task in tasks.collect::<Vec<_>>() {
                if leader_state
                    .allocations
                    .get(&task)
                    .is_some_and(|allocation| !allocation.is_ending())
                {
                    self.stop_attempt(leader_state, now, task);
                }
            }
            return;
        }
        let backoff = leader_state.backoffs.get(&job);
        if let Some(until) = backoff.map(|backoff| backoff.until).filter(|at| *at > now) {
            leader_state.backing_off.insert((until, job));
            return;
        }
        let queued = self.queued_job(leader_state, job, &summary, accepted_ms, waiting as u32);
        // Cannot fail: the job was removed above, and the queue is unbounded.
        let pushed = leader_state.queue.push(queued);
        debug_assert!(pushed.is_ok(), "the queue must not refuse an accepted job");
    }

    fn queued_job(
        &self,
        leader_state: &LeaderState,
        job: JobId,
        summary: &JobSummary,
        accepted_ms: u64,
        tasks: u32,
    ) -> QueuedJob {
        let spec = &summary.spec;
        let since = leader_state.queue_time(accepted_ms);
        let run = Millis(spec.run_ms);
        QueuedJob {
            job,
            team: summary.team.clone(),
            class: summary.class,
            deadline: spec.deadline_ms.map(|ms| since + Millis(ms)),
            workload: spec.kind,
            resources: self.reservation(leader_state, summary, tasks),
            tasks,
            run_time: self.estimator.run_time(&summary.entry, run, Millis(0)),
            accepted_at: since,
        }
    }

    /// Resources to reserve for each task of a job: the estimate, or what the job declares if the
    /// estimate does not fit on the workers.
    pub(crate) fn reservation(
        &self,
        leader_state: &LeaderState,
        summary: &JobSummary,
        tasks: u32,
    ) -> Resources {
        let declared = summary.spec.resources;
        let catalogue = self.cell.catalogue();
        let entry = catalogue.resolve(&summary.spec.name);
        let limit = entry.map_or(Resources::ZERO, |entry| entry.limits.max_task);
        let estimate = self
            .estimator
            .reservation(&summary.entry, &declared, &limit);
        // An estimate larger than the workers must not delay a job whose declared resources fit.
        let needed = min_tasks_to_start(summary.spec.kind, tasks);
        if leader_state.fitting_tasks(&estimate, needed) >= needed {
            estimate
        } else {
            declared
        }
    }
}

/// Number of tasks of a job that must fit at the same time for the job to start.
pub(crate) fn min_tasks_to_start(kind: Workload, tasks: u32) -> u64 {
    if kind == Workload::AllOrNothing {
        u64::from(tasks)
    } else {
        1
    }
}
