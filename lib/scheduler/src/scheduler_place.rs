//! Placement of waiting jobs.

use std::sync::Arc;

use tarragon_cell::Command;
use tarragon_codes::{Code, Failure};
use tarragon_names::{Attempt, Millis, Resources, TaskId, WorkerName, Workload};
use tarragon_placement::PlaceRequest;
use tarragon_queue::QueuedJob;

use crate::{
    Scheduler,
    allocation::{Allocation, JobSummary, Stage},
    leader_state::{LeaderState, QUEUE_CLOCK_OFFSET},
    scheduler_jobs::min_tasks_to_start,
};

/// Maximum number of passes over the head of the queue in one tick.
const MAX_PASSES_PER_TICK: usize = 16;

/// Jobs per tick that are compared with the capacities of all workers.
const MAX_REFUSAL_CHECKS_PER_TICK: usize = 8;

/// Quarantined workers that are probed in one tick.
const MAX_PROBES_PER_TICK: usize = 4;

/// Minimum time between two searches for a head reservation for the same job.
const SAME_JOB_PLAN_INTERVAL: Millis = Millis(1_000);

/// Minimum time between two searches for a head reservation for different jobs.
const OTHER_JOB_PLAN_INTERVAL: Millis = Millis(250);

type Assignments = Vec<(TaskId, Attempt, WorkerName)>;

impl Scheduler {
    /// Places waiting jobs in the order of the queue and proposes their assignment in one command.
    pub(crate) fn place_jobs(&mut self, leader_state: &mut LeaderState, now: Millis) {
        self.sync_jobs(leader_state, now);
        let mut assigned = Vec::new();
        let opened_workers = self.probe_quarantined(leader_state, now, &mut assigned);
        let mut unfit = Vec::new();
        for _ in 0..MAX_PASSES_PER_TICK {
            unfit.clear();
            let mut handled_jobs = 0;
            let largest = self.placer.largest_free();
            for job in leader_state
                .queue
                .candidates(now + QUEUE_CLOCK_OFFSET, self.cfg.lookahead)
            {
                let remaining = self.cfg.max_tasks_per_tick.saturating_sub(assigned.len());
                if remaining == 0 {
                    break;
                }
                let placed = job.resources.fits(&largest)
                    && self.place_job(leader_state, now, &job, remaining, &mut assigned);
                if placed {
                    handled_jobs += 1;
                } else {
                    unfit.push(job);
                }
            }
            // Another pass is worth its cost only if this one handled more than half of the
            // candidates.
            if handled_jobs <= unfit.len() {
                break;
            }
        }
        for worker in opened_workers {
            self.update_schedulable(leader_state, &worker);
            if !assigned.iter().any(|(_, _, used)| *used == worker) {
                self.health.cancel_probe(&worker, now);
            }
        }
        if !assigned.is_empty() {
            leader_state
                .proposals
                .push(Command::Assign { tasks: assigned });
        }
        self.refuse_jobs_that_never_fit(leader_state, now, &unfit);
        unfit.retain(|job| leader_state.queue.contains(job.job));
        match unfit.first() {
            Some(head) => self.plan_head_reservation(leader_state, now, head),
            None => leader_state.head_reservation = None,
        }
        self.preempt(leader_state, now, &unfit);
    }

    /// Places as many tasks of a job as fit, at most `limit`; false if none fits.
    ///
    /// A job without waiting tasks is removed from the queue and counts as placed.
    fn place_job(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        job: &QueuedJob,
        limit: usize,
        assigned: &mut Assignments,
    ) -> bool {
        let all_or_nothing = job.workload == Workload::AllOrNothing;
        let limit = if all_or_nothing { usize::MAX } else { limit };
        let found = self.cell.with_job(job.job, |record| {
            let waiting = record
                .waiting_tasks()
                .filter(|(task, _)| !leader_state.allocations.contains_key(task));
            let waiting = waiting.take(limit).collect::<Vec<_>>();
            (waiting, JobSummary::of(record))
        });
        let Some((waiting, summary)) = found.filter(|(waiting, _)| !waiting.is_empty()) else {
            leader_state.queue.remove(job.job);
            return true;
        };
        let mut req = PlaceRequest::new(waiting.len() as u32, job.resources, job.workload);
        req.exclude = self.health.workers_with_failure(job.job);
        req.ends_by = (job.run_time > Millis(0)).then(|| now + job.run_time);
        req.head_reservation = leader_state
            .head_reservation
            .clone()
            .filter(|head| head.job != job.job);
        if req.spread {
            req.running_in = leader_state
                .allocations_of(job.job)
                .filter_map(|(_, allocation)| leader_state.workers.get(&allocation.worker))
                .map(|state| state.domain.clone())
                .collect();
        }
        let mut placement = self.placer.place(&req);
        if placement.is_empty() && !req.exclude.is_empty() {
            req.exclude.clear();
            placement = self.placer.place(&req);
        }
        if placement.is_empty() {
            return false;
        }
        leader_state.queue.remove(job.job);
        let placed = placement.len() as u32;
        if placed < job.tasks {
            let rest = QueuedJob {
                tasks: job.tasks - placed,
                ..job.clone()
            };
            let pushed = leader_state.queue.push(rest);
            debug_assert!(pushed.is_ok(), "the queue must not refuse an accepted job");
        }
        let summary = Arc::new(summary);
        for ((task, attempt), worker) in waiting.into_iter().zip(placement.workers) {
            Self::allocate(
                leader_state,
                now,
                task,
                attempt,
                &worker,
                job.resources,
                &summary,
            );
            assigned.push((task, attempt, worker));
        }
        true
    }

    fn allocate(
        leader_state: &mut LeaderState,
        now: Millis,
        task: TaskId,
        attempt: Attempt,
        worker: &WorkerName,
        reserved: Resources,
        summary: &Arc<JobSummary>,
    ) {
        let allocation = Allocation {
            attempt,
            worker: worker.clone(),
            reserved,
            peak_usage: Resources::ZERO,
            summary: Arc::clone(summary),
            stage: Stage::Proposed,
            placed_at: now,
            resend_at: None,
            is_end_proposed: false,
            throttled_at: None,
        };
        leader_state.add_allocation(task, allocation);
    }

    /// Places one batch task as a probe on each quarantined worker whose probe is due.
    ///
    /// Returns the workers for which no batch task fits. They are schedulable for this tick,
    /// because services and all-or-nothing jobs may be waiting for exactly these workers and
    /// nothing else would probe them.
    fn probe_quarantined(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        assigned: &mut Assignments,
    ) -> Vec<WorkerName> {
        for worker in std::mem::take(&mut leader_state.unproven_workers) {
            let state = leader_state.workers.get(&worker);
            if state.is_none_or(|state| state.tasks.is_empty()) {
                // A probe that was stopped or lost has no outcome, so another one is needed.
                self.health.cancel_probe(&worker, now);
            }
        }
        let mut opened_workers = Vec::new();
        for worker in self.health.take_due_probes(now, MAX_PROBES_PER_TICK) {
            let state = leader_state.workers.get(&worker);
            let usable = state.is_some_and(|state| state.is_in_placer && !state.is_leaving)
                && !self.cell.is_draining(&worker);
            if !usable {
                self.health.cancel_probe(&worker, now);
            } else if !self.probe_worker(leader_state, now, &worker, assigned) {
                self.placer.set_schedulable(&worker, true);
                opened_workers.push(worker);
            }
        }
        opened_workers
    }

    fn probe_worker(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        worker: &WorkerName,
        assigned: &mut Assignments,
    ) -> bool {
        let Some(free) = self.placer.free(worker) else {
            return false;
        };
        let candidates = leader_state
            .queue
            .candidates(now + QUEUE_CLOCK_OFFSET, self.cfg.lookahead);
        let fitting = candidates.into_iter().find(|job| {
            job.workload == Workload::Batch
                && job.resources.fits(&free)
                && !self.health.workers_with_failure(job.job).contains(worker)
        });
        let Some(job) = fitting else { return false };
        let found = self.cell.with_job(job.job, |record| {
            let mut waiting = record.waiting_tasks();
            let task = waiting.find(|(task, _)| !leader_state.allocations.contains_key(task));
            task.map(|task| (task, JobSummary::of(record)))
        });
        let Some(((task, attempt), summary)) = found.flatten() else {
            return false;
        };
        self.placer.reserve(worker, &job.resources);
        let summary = Arc::new(summary);
        Self::allocate(
            leader_state,
            now,
            task,
            attempt,
            worker,
            job.resources,
            &summary,
        );
        leader_state.dirty_jobs.insert(job.job);
        assigned.push((task, attempt, worker.clone()));
        true
    }

    /// Refuses jobs that do not fit on the workers even if all workers are empty.
    ///
    /// Does nothing for the length of a lease after an election, the time in which workers register
    /// with the new leader.
    fn refuse_jobs_that_never_fit(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        unfit: &[Arc<QueuedJob>],
    ) {
        if now.since(leader_state.elected_at) < self.cfg.worker_lease {
            return;
        }
        if leader_state.capacity_counts.is_empty() {
            return;
        }
        for job in unfit.iter().take(MAX_REFUSAL_CHECKS_PER_TICK) {
            let needed = min_tasks_to_start(job.workload, job.tasks);
            // The reservation may be an estimate made while larger workers were registered.
            let declared = self.cell.with_job(job.job, |record| record.spec.resources);
            let Some(declared) = declared else { continue };
            if job.resources != declared {
                leader_state.dirty_jobs.insert(job.job);
            }
            let fitting = leader_state.fitting_tasks(&declared, needed);
            if fitting >= needed {
                continue;
            }
            let cause = if fitting == 0 {
                format!("a task needs {declared}, more than any worker has")
            } else {
                format!("all workers together hold {fitting} of {needed} tasks at once")
            };
            leader_state.queue.remove(job.job);
            let reason = Failure::new(Code::LargerThanAnyWorker, cause);
            Self::refuse(leader_state, job.job, reason);
        }
    }

    /// Reserves workers at a later time for the first job that does not fit, so that smaller jobs
    /// placed before it cannot delay it indefinitely.
    fn plan_head_reservation(&self, leader_state: &mut LeaderState, now: Millis, job: &QueuedJob) {
        let reservation = leader_state.head_reservation.as_ref();
        if reservation.is_some_and(|head| head.job == job.job && now < head.at) {
            return;
        }
        if reservation.is_some_and(|head| !leader_state.queue.contains(head.job)) {
            leader_state.head_reservation = None;
        }
        // In a full cell the head changes with every tick, and a search takes milliseconds.
        let too_soon = leader_state
            .last_head_plan
            .is_some_and(|(planned_job, at)| {
                let is_same_job = planned_job == job.job;
                now.since(at)
                    < if is_same_job {
                        SAME_JOB_PLAN_INTERVAL
                    } else {
                        OTHER_JOB_PLAN_INTERVAL
                    }
            });
        if too_soon {
            return;
        }
        leader_state.last_head_plan = Some((job.job, now));
        let tasks = if job.workload == Workload::AllOrNothing {
            job.tasks
        } else {
            1
        };
        let req = PlaceRequest::new(tasks, job.resources, job.workload);
        leader_state.head_reservation = leader_state
            .expected_ends
            .plan_reservation(now, job.job, &req, &*self.placer)
            .map(Arc::new);
    }
}
