//! Commands that were committed, and what follows from them for jobs.

use tarragon_cell::{Answer, AttemptEnd, Command};
use tarragon_codes::{Code, Failure};
use tarragon_health::Verdict;
use tarragon_leases::WorkerOrder;
use tarragon_names::{
    Attempt, JobId, Millis, Name, Resources, TaskId, TeamName, WorkerName, Workload,
};
use tarragon_queue::{QueuedJob, Quota};
use tarragon_sizing::Usage;

use crate::{
    SchedAction, SchedLog, Scheduler,
    hold::{Hold, JobBrief, Stage},
    lead::{Backoff, Lead},
};

/// Part of each batch that may go to jobs that were cancelled or refused, so that a wave of
/// cancellations does not delay urgent work.
const CLOSING_SHARE: usize = 4;

impl Scheduler {
    pub(crate) fn committed(
        &mut self,
        lead: &mut Lead,
        now: Millis,
        command: &Command,
        answer: &Answer,
    ) {
        match command {
            Command::AcceptJob { .. } => {
                if let Answer::Accepted(job) = answer {
                    lead.dirty.insert(*job);
                }
            }
            Command::Assign { tasks } => {
                for (task, attempt, _) in tasks {
                    self.assigned(lead, now, *task, *attempt);
                }
            }
            Command::End {
                task,
                attempt,
                ended,
            } => self.ended(lead, now, *task, *attempt, *ended),
            Command::Cancel { job } | Command::Refuse { job, .. } => lead.closing.push_back(*job),
            Command::DrainWorker { worker, draining } => {
                if *draining {
                    self.start_drain(lead, now, worker);
                } else {
                    self.reopen(lead, worker);
                }
            }
            Command::PutQuota { team, .. } => self.quota_changed(lead, team),
            Command::DeleteEntry { pattern, .. } => {
                self.sizes.forget(&Name::from(pattern.to_string()));
            }
            Command::PutEntry { .. } | Command::ClaimKey { .. } | Command::CompleteKey { .. } => {}
        }
    }

    fn quota_changed(&self, lead: &Lead, team: &TeamName) {
        let quota = self.cell.quota(team);
        lead.queue.set_quota(team, Quota::new(quota.resources));
    }

    /// Sends the start of an attempt if the log still wants it.
    fn assigned(&self, lead: &mut Lead, now: Millis, task: TaskId, attempt: Attempt) {
        let taken = self.cell.with_job(task.job, |job| {
            let record = job.tasks.get(task.index as usize);
            let taken = record.is_some_and(|r| r.attempt == attempt && r.worker().is_some());
            taken.then(|| job.can_start_tasks())
        });
        let Some(hold) = lead
            .holds
            .get_mut(&task)
            .filter(|hold| hold.attempt == attempt && hold.stage == Stage::Proposed)
        else {
            if taken.is_some() && !lead.holds.contains_key(&task) {
                // It was given up as not proposed and committed all the same. No start was sent.
                lead.proposals.push(Command::End {
                    task,
                    attempt,
                    ended: AttemptEnd::NeverBegan,
                });
            }
            return;
        };
        let Some(Some(may_start)) = taken else {
            self.drop_hold(lead, task, attempt);
            lead.dirty.insert(task.job);
            return;
        };
        hold.stage = Stage::Assigned;
        let ready = lead
            .workers
            .get(&hold.worker)
            .is_some_and(|state| state.placed);
        if may_start && ready {
            self.send_start(lead, now, task);
        } else {
            Self::propose_end(lead, task, AttemptEnd::NeverBegan);
        }
    }

    fn ended(
        &mut self,
        lead: &mut Lead,
        now: Millis,
        task: TaskId,
        attempt: Attempt,
        ended: AttemptEnd,
    ) {
        let hold = self.drop_hold(lead, task, attempt);
        let worker = hold.as_ref().map(|hold| hold.worker.clone());
        if let Some(hold) = &hold {
            if ended != AttemptEnd::LeaseEnded {
                // The worker may still report the true end of an attempt whose lease ended.
                let recorded = WorkerOrder::EndRecorded { task, attempt };
                lead.order(&hold.worker, recorded);
            }
            self.learn(lead, now, task.job, hold, ended);
        }
        lead.out.push(SchedAction::Log(SchedLog::Ended {
            worker,
            task,
            attempt,
            ended,
        }));
        lead.dirty.insert(task.job);
    }

    /// Releases what an attempt holds.
    pub(crate) fn drop_hold(
        &self,
        lead: &mut Lead,
        task: TaskId,
        attempt: Attempt,
    ) -> Option<Hold> {
        if lead.holds.get(&task)?.attempt != attempt {
            return None;
        }
        let hold = lead.remove_hold(task)?;
        let known = lead.workers.get(&hold.worker);
        if known.is_some_and(|state| state.placed) {
            self.placer.release(&hold.worker, &hold.reserved);
        }
        if self.health.is_quarantined(&hold.worker) {
            lead.unproven.insert(hold.worker.clone());
        }
        Some(hold)
    }

    /// Feeds the outcome of an attempt to the health table and the estimator.
    fn learn(&self, lead: &mut Lead, now: Millis, job: JobId, hold: &Hold, ended: AttemptEnd) {
        let AttemptEnd::Exited(status) = ended else {
            return;
        };
        let ran = now.since(hold.since);
        let spec = &hold.brief.spec;
        if hold.peak != Resources::ZERO {
            let run = (status == 0 && spec.run_ms > 0).then_some(ran);
            let peak = hold.peak;
            let usage = Usage { peak, run };
            self.sizes
                .report(&hold.brief.entry, &spec.resources, &usage);
        }
        let failed = status != 0 || spec.kind == Workload::Service;
        let quick = failed && ran < self.cfg.quick;
        if quick {
            let step = &self.cfg;
            let backoff = lead.backoffs.entry(job).or_insert(Backoff {
                failures: 0,
                until: now,
            });
            let wait = step.backoff_min.0 << backoff.failures.min(16);
            backoff.failures += 1;
            backoff.until = now + Millis(wait).min(step.backoff_max);
        } else {
            lead.backoffs.remove(&job);
        }
        let verdicts = if status == 0 {
            self.health.succeeded(&hold.worker, job, now)
        } else {
            self.health.failed(&hold.worker, job, now, quick)
        };
        for verdict in verdicts {
            self.obey(lead, verdict);
        }
    }

    fn obey(&self, lead: &mut Lead, verdict: Verdict) {
        match verdict {
            Verdict::Quarantine { worker, .. } => {
                self.placer.set_schedulable(&worker, false);
                lead.out
                    .push(SchedAction::Log(SchedLog::Quarantined { worker }));
            }
            Verdict::Restore { worker } => {
                self.reopen(lead, &worker);
                lead.out
                    .push(SchedAction::Log(SchedLog::Restored { worker }));
            }
            Verdict::HoldJob { job, workers } => {
                let cause = format!("failed on {} workers that run other jobs", workers.len());
                Self::refuse(lead, job, Failure::new(Code::TaskFailed, cause));
            }
        }
    }

    /// Lets the placer use a worker unless something else speaks against it.
    pub(crate) fn reopen(&self, lead: &Lead, worker: &WorkerName) {
        if let Some(state) = lead.workers.get(worker) {
            self.placer
                .set_schedulable(worker, !self.is_closed(state, worker));
        }
    }

    pub(crate) fn refuse(lead: &mut Lead, job: JobId, reason: Failure) {
        lead.out.push(SchedAction::Log(SchedLog::Refused {
            job,
            reason: reason.clone(),
        }));
        lead.proposals.push(Command::Refuse { job, reason });
    }

    /// Stops what is left of jobs that were cancelled or refused, oldest order first.
    pub(crate) fn close_jobs(&mut self, lead: &mut Lead, now: Millis) {
        let mut left = self.cfg.batch / CLOSING_SHARE;
        while left > 0
            && let Some(job) = lead.closing.pop_front()
        {
            lead.queue.remove(job);
            let stopping = lead
                .holds_of(job)
                .filter(|(_, hold)| !hold.leaves() && hold.stage != Stage::Proposed)
                .map(|(task, _)| *task)
                .take(left)
                .collect::<Vec<_>>();
            for task in &stopping {
                self.stop_hold(lead, now, *task);
            }
            if stopping.len() == left {
                // There may be more tasks than this batch has room for.
                lead.closing.push_front(job);
            }
            left -= stopping.len().clamp(1, left);
            lead.dirty.insert(job);
        }
    }

    /// Brings the queue into line with the log for each job that changed.
    pub(crate) fn sync_jobs(&mut self, lead: &mut Lead, now: Millis) {
        lead.kinds.clear();
        for capacity in lead.workers.values().filter_map(|state| state.capacity) {
            *lead.kinds.entry(capacity).or_default() += 1;
        }
        while let Some((_, job)) = lead.parked.first().copied().filter(|(at, _)| *at <= now) {
            lead.parked.pop_first();
            lead.dirty.insert(job);
        }
        for job in std::mem::take(&mut lead.dirty) {
            self.sync_job(lead, now, job);
        }
    }

    fn sync_job(&self, lead: &mut Lead, now: Millis, job: JobId) {
        lead.queue.remove(job);
        let found = self.cell.with_job(job, |record| {
            let waiting = record
                .waiting_tasks()
                .filter(|(task, _)| !lead.holds.contains_key(task))
                .count();
            let open = record.ended_ms.is_none();
            (open, waiting, JobBrief::of(record), record.accepted_ms)
        });
        let Some((true, waiting, brief, accepted_ms)) = found else {
            self.health.forget_job(job);
            lead.backoffs.remove(&job);
            return;
        };
        if waiting == 0 {
            return;
        }
        if brief.spec.kind == Workload::AllOrNothing && lead.holds_of(job).next().is_some() {
            // One task was lost. The others end, and the job starts again as a whole.
            let others = lead.holds_of(job).map(|(task, _)| *task);
            for task in others.collect::<Vec<_>>() {
                if lead.holds.get(&task).is_some_and(|hold| !hold.leaves()) {
                    self.stop_hold(lead, now, task);
                }
            }
            return;
        }
        let backoff = lead.backoffs.get(&job);
        if let Some(until) = backoff.map(|backoff| backoff.until).filter(|at| *at > now) {
            lead.parked.insert((until, job));
            return;
        }
        let queued = self.queued(lead, job, &brief, accepted_ms, waiting as u32);
        // The job was taken out above and the queue has no bound, so this always succeeds.
        let pushed = lead.queue.push(queued);
        debug_assert!(
            pushed.is_ok(),
            "an accepted job must find room in the queue"
        );
    }

    fn queued(
        &self,
        lead: &Lead,
        job: JobId,
        brief: &JobBrief,
        accepted_ms: u64,
        tasks: u32,
    ) -> QueuedJob {
        let spec = &brief.spec;
        let since = lead.queue_time(accepted_ms);
        let run = Millis(spec.run_ms);
        QueuedJob {
            job,
            team: brief.team.clone(),
            class: brief.class,
            deadline: spec.deadline_ms.map(|ms| since + Millis(ms)),
            kind: spec.kind,
            resources: self.reservation(lead, brief, tasks),
            tasks,
            run: self.sizes.run_time(&brief.entry, run, Millis(0)),
            since,
        }
    }

    /// What to reserve for each task of a job.
    pub(crate) fn reservation(&self, lead: &Lead, brief: &JobBrief, tasks: u32) -> Resources {
        let declared = brief.spec.resources;
        let catalogue = self.cell.catalogue();
        let entry = catalogue.resolve(&brief.spec.name);
        let limit = entry.map_or(Resources::ZERO, |entry| entry.limits.max_task);
        let wanted = self.sizes.reservation(&brief.entry, &declared, &limit);
        // An estimate beyond the workers must not keep a job waiting that declares less.
        let needed = needed(brief.spec.kind, tasks);
        if lead.holds_at_most(&wanted, needed) >= needed {
            wanted
        } else {
            declared
        }
    }
}

/// Tasks of a job that must fit at once for it to start.
pub(crate) fn needed(kind: Workload, tasks: u32) -> u64 {
    if kind == Workload::AllOrNothing {
        u64::from(tasks)
    } else {
        1
    }
}
