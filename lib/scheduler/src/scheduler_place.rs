//! Placement of waiting jobs.

use std::sync::Arc;

use tarragon_cell::Command;
use tarragon_codes::{Code, Failure};
use tarragon_names::{Attempt, Millis, Resources, TaskId, WorkerName, Workload};
use tarragon_placement::PlaceRequest;
use tarragon_queue::QueuedJob;

use crate::{
    Scheduler,
    hold::{Hold, JobBrief, Stage},
    lead::{Lead, QUEUE_EPOCH},
    scheduler_jobs::needed,
};

/// Passes over the head of the queue in one tick.
const PASSES: usize = 16;

/// Jobs in one tick that are compared with all workers.
const CHECKS: usize = 8;

/// Quarantined workers that get a probe in one tick.
const PROBES: usize = 4;

/// Time between two searches for a reservation in time for the same job.
const PLAN_EVERY: Millis = Millis(1_000);

/// Time between two searches for a reservation in time for different jobs.
const SEARCH_EVERY: Millis = Millis(250);

type Assignments = Vec<(TaskId, Attempt, WorkerName)>;

impl Scheduler {
    /// Places waiting jobs in order and proposes their assignment in one command.
    pub(crate) fn place_jobs(&mut self, lead: &mut Lead, now: Millis) {
        self.sync_jobs(lead, now);
        let mut assigned = Vec::new();
        let opened = self.probe(lead, now, &mut assigned);
        let mut unfit = Vec::new();
        for _ in 0..PASSES {
            unfit.clear();
            let mut handled = 0;
            let largest = self.placer.largest_free();
            for job in lead.queue.candidates(now + QUEUE_EPOCH, self.cfg.lookahead) {
                let left = self.cfg.batch.saturating_sub(assigned.len());
                if left == 0 {
                    break;
                }
                let placed = job.resources.fits(&largest)
                    && self.place_job(lead, now, &job, left, &mut assigned);
                if placed {
                    handled += 1;
                } else {
                    unfit.push(job);
                }
            }
            // Another pass pays only if this one dealt with a good part of what it looked at.
            if handled <= unfit.len() {
                break;
            }
        }
        for worker in opened {
            self.reopen(lead, &worker);
            if !assigned.iter().any(|(_, _, used)| *used == worker) {
                self.health.probe_not_started(&worker, now);
            }
        }
        if !assigned.is_empty() {
            lead.proposals.push(Command::Assign { tasks: assigned });
        }
        self.refuse_impossible(lead, now, &unfit);
        unfit.retain(|job| lead.queue.contains(job.job));
        match unfit.first() {
            Some(head) => self.plan_head(lead, now, head),
            None => lead.head = None,
        }
        self.preempt(lead, now, &unfit);
    }

    /// Places what fits of one job, at most `limit` tasks; false if nothing fits. A job that does
    /// not wait any more is taken out of the queue.
    fn place_job(
        &self,
        lead: &mut Lead,
        now: Millis,
        job: &QueuedJob,
        limit: usize,
        assigned: &mut Assignments,
    ) -> bool {
        let whole = job.kind == Workload::AllOrNothing;
        let limit = if whole { usize::MAX } else { limit };
        let found = self.cell.with_job(job.job, |record| {
            let waiting = record
                .waiting_tasks()
                .filter(|(task, _)| !lead.holds.contains_key(task));
            let waiting = waiting.take(limit).collect::<Vec<_>>();
            (waiting, JobBrief::of(record))
        });
        let Some((waiting, brief)) = found.filter(|(waiting, _)| !waiting.is_empty()) else {
            lead.queue.remove(job.job);
            return true;
        };
        let mut req = PlaceRequest::new(waiting.len() as u32, job.resources, job.kind);
        req.exclude = self.health.failed_on(job.job);
        req.ends = (job.run > Millis(0)).then(|| now + job.run);
        req.held = lead.head.clone().filter(|head| head.job != job.job);
        if req.spread {
            req.running_in = lead
                .holds_of(job.job)
                .filter_map(|(_, hold)| lead.workers.get(&hold.worker))
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
        lead.queue.remove(job.job);
        let placed = placement.len() as u32;
        if placed < job.tasks {
            let rest = QueuedJob {
                tasks: job.tasks - placed,
                ..job.clone()
            };
            let pushed = lead.queue.push(rest);
            debug_assert!(
                pushed.is_ok(),
                "an accepted job must find room in the queue"
            );
        }
        let brief = Arc::new(brief);
        for ((task, attempt), worker) in waiting.into_iter().zip(placement.workers) {
            Self::hold(lead, now, task, attempt, &worker, job.resources, &brief);
            assigned.push((task, attempt, worker));
        }
        true
    }

    fn hold(
        lead: &mut Lead,
        now: Millis,
        task: TaskId,
        attempt: Attempt,
        worker: &WorkerName,
        reserved: Resources,
        brief: &Arc<JobBrief>,
    ) {
        let hold = Hold {
            attempt,
            worker: worker.clone(),
            reserved,
            peak: Resources::ZERO,
            brief: Arc::clone(brief),
            stage: Stage::Proposed,
            since: now,
            due: None,
            ending: false,
            throttled: None,
        };
        lead.add_hold(task, hold);
    }

    /// Gives each quarantined worker that is due one batch task to prove itself.
    ///
    /// Returns the workers for which there is none. They are open for this tick, because services
    /// and all-or-nothing jobs may wait for just these workers and nothing else would probe them.
    fn probe(&self, lead: &mut Lead, now: Millis, assigned: &mut Assignments) -> Vec<WorkerName> {
        for worker in std::mem::take(&mut lead.unproven) {
            let known = lead.workers.get(&worker);
            if known.is_none_or(|state| state.tasks.is_empty()) {
                // A probe that was stopped or lost proves nothing, so that another one is due.
                self.health.probe_not_started(&worker, now);
            }
        }
        let mut opened = Vec::new();
        for worker in self.health.probes(now, PROBES) {
            let known = lead.workers.get(&worker);
            let usable = known.is_some_and(|state| state.placed && !state.leaving)
                && !self.cell.is_draining(&worker);
            if !usable {
                self.health.probe_not_started(&worker, now);
            } else if !self.probe_worker(lead, now, &worker, assigned) {
                self.placer.set_schedulable(&worker, true);
                opened.push(worker);
            }
        }
        opened
    }

    fn probe_worker(
        &self,
        lead: &mut Lead,
        now: Millis,
        worker: &WorkerName,
        assigned: &mut Assignments,
    ) -> bool {
        let Some(free) = self.placer.free(worker) else {
            return false;
        };
        let candidates = lead.queue.candidates(now + QUEUE_EPOCH, self.cfg.lookahead);
        let fitting = candidates.into_iter().find(|job| {
            job.kind == Workload::Batch
                && job.resources.fits(&free)
                && !self.health.failed_on(job.job).contains(worker)
        });
        let Some(job) = fitting else { return false };
        let found = self.cell.with_job(job.job, |record| {
            let mut waiting = record.waiting_tasks();
            let task = waiting.find(|(task, _)| !lead.holds.contains_key(task));
            task.map(|task| (task, JobBrief::of(record)))
        });
        let Some(((task, attempt), brief)) = found.flatten() else {
            return false;
        };
        self.placer.reserve(worker, &job.resources);
        let brief = Arc::new(brief);
        Self::hold(lead, now, task, attempt, worker, job.resources, &brief);
        lead.dirty.insert(job.job);
        assigned.push((task, attempt, worker.clone()));
        true
    }

    /// Refuses jobs that no set of workers could hold even if it were empty.
    ///
    /// After an election the workers need the time of a lease to register.
    fn refuse_impossible(&self, lead: &mut Lead, now: Millis, unfit: &[Arc<QueuedJob>]) {
        if now.since(lead.elected) < self.cfg.lease {
            return;
        }
        if lead.kinds.is_empty() {
            return;
        }
        for job in unfit.iter().take(CHECKS) {
            let needed = needed(job.kind, job.tasks);
            // The reservation may be an estimate from a time when larger workers were there.
            let declared = self.cell.with_job(job.job, |record| record.spec.resources);
            let Some(declared) = declared else { continue };
            if job.resources != declared {
                lead.dirty.insert(job.job);
            }
            let room = lead.holds_at_most(&declared, needed);
            if room >= needed {
                continue;
            }
            let cause = if room == 0 {
                format!("a task needs {declared}, more than any worker has")
            } else {
                format!("all workers together hold {room} of {needed} tasks at once")
            };
            lead.queue.remove(job.job);
            let reason = Failure::new(Code::LargerThanAnyWorker, cause);
            Self::refuse(lead, job.job, reason);
        }
    }

    /// Reserves workers in time for the first job that does not fit, so that smaller work which
    /// goes ahead of it does not keep it waiting without end.
    fn plan_head(&self, lead: &mut Lead, now: Millis, job: &QueuedJob) {
        let held = lead.head.as_ref();
        if held.is_some_and(|head| head.job == job.job && now < head.at) {
            return;
        }
        if held.is_some_and(|head| !lead.queue.contains(head.job)) {
            lead.head = None;
        }
        // When the cell is full the head changes with each tick, and a search takes milliseconds.
        let too_soon = lead.planned.is_some_and(|(planned, at)| {
            let same = planned == job.job;
            now.since(at) < if same { PLAN_EVERY } else { SEARCH_EVERY }
        });
        if too_soon {
            return;
        }
        lead.planned = Some((job.job, now));
        let tasks = if job.kind == Workload::AllOrNothing {
            job.tasks
        } else {
            1
        };
        let req = PlaceRequest::new(tasks, job.resources, job.kind);
        lead.head = lead
            .horizon
            .plan(now, job.job, &req, &*self.placer)
            .map(Arc::new);
    }
}
