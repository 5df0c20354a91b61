//! Sessions, leases and reports of workers.

use std::collections::BTreeSet;

use tarragon_cell::{AttemptEnd, Command, JobRecord};
use tarragon_leases::{Beat, RunningTask, TaskEnd, WorkerOrder, WorkerReport};
use tarragon_names::{Attempt, Millis, Resources, Session, TaskId, WorkerName};
use tarragon_placement::WorkerInfo;

use crate::{
    SchedAction, SchedLog, Scheduler,
    hold::{Hold, Stage},
    lead::Lead,
};

impl Scheduler {
    pub(crate) fn report(
        &mut self,
        lead: &mut Lead,
        now: Millis,
        worker: &WorkerName,
        report: WorkerReport,
    ) {
        match report {
            WorkerReport::Register {
                domain,
                rack,
                capacity,
                clock,
                ended,
                ..
            } => {
                for (task, attempt, end) in ended {
                    self.task_ended(lead, worker, task, attempt, end);
                }
                if now >= lead.leader_until {
                    return;
                }
                let session = lead.leases.register(now, worker);
                let state = lead.workers.entry(worker.clone()).or_default();
                state.domain = domain;
                state.rack = rack;
                state.capacity = Some(capacity);
                let welcome = WorkerOrder::Welcome {
                    term: lead.leases.term(),
                    session,
                    clock,
                    lease: lead.leases.lease(),
                };
                lead.order(worker, welcome);
            }
            WorkerReport::Heartbeat {
                session,
                clock,
                running,
            } => {
                if now < lead.leader_until {
                    self.heartbeat(lead, now, worker, session, clock, &running);
                }
            }
            WorkerReport::TaskEnded {
                task, attempt, end, ..
            } => self.task_ended(lead, worker, task, attempt, end),
            WorkerReport::Leaving { session } => {
                if lead.leases.session(worker) == Some(session)
                    && let Some(state) = lead.workers.get_mut(worker)
                    && !state.leaving
                {
                    state.leaving = true;
                    state.session = session;
                    self.start_drain(lead, now, worker);
                }
            }
        }
    }

    fn heartbeat(
        &mut self,
        lead: &mut Lead,
        now: Millis,
        worker: &WorkerName,
        session: Session,
        clock: Millis,
        running: &[RunningTask],
    ) {
        let term = lead.leases.term();
        let beat = lead.leases.heartbeat(now, worker, session);
        if beat == Beat::Unknown {
            lead.order(worker, WorkerOrder::UnknownSession { term });
            return;
        }
        let reply = WorkerOrder::HeartbeatReply {
            term,
            session,
            clock,
            lease: lead.leases.lease(),
        };
        lead.order(worker, reply);
        if beat == Beat::Confirmed {
            self.confirm(lead, worker, session, running);
        }
        let mut over = false;
        for task in running {
            over |= self.listed(lead, now, worker, task);
        }
        if over {
            self.relieve(lead, now, worker);
        }
    }

    /// Compares the log with what a worker runs at the start of a session.
    ///
    /// An attempt that is not listed does not run there and cannot start later, because the worker
    /// has left the sessions in which its start may have been sent. It may have run and ended in
    /// an earlier process of the worker, so it is not recorded as one that never began.
    fn confirm(
        &mut self,
        lead: &mut Lead,
        worker: &WorkerName,
        session: Session,
        running: &[RunningTask],
    ) {
        let listed = running
            .iter()
            .map(|task| (task.task, task.attempt))
            .collect::<BTreeSet<_>>();
        let Some(state) = lead.workers.get_mut(worker) else {
            return;
        };
        if state.session != session {
            state.leaving = false;
        }
        state.session = session;
        state.placed = true;
        state.silent_since = None;
        let (mut adopted, mut lost) = (0, Vec::new());
        let mut reserved = Resources::ZERO;
        for task in &state.tasks {
            let Some(hold) = lead.holds.get(task) else {
                continue;
            };
            reserved += hold.reserved;
            match hold.stage {
                Stage::Proposed | Stage::Assigned => {}
                _ if listed.contains(&(*task, hold.attempt)) => adopted += 1,
                _ => lost.push(*task),
            }
        }
        let schedulable = !self.is_closed(state, worker);
        self.placer.upsert_worker(WorkerInfo {
            name: worker.clone(),
            domain: state.domain.clone(),
            rack: state.rack.clone(),
            capacity: state.capacity.unwrap_or_default(),
            reserved,
            schedulable,
        });
        self.health.worker_added(worker);
        lead.out.push(SchedAction::Log(SchedLog::SessionConfirmed {
            worker: worker.clone(),
            session,
            adopted,
            lost: lost.len(),
        }));
        for task in lost {
            Self::propose_end(lead, task, AttemptEnd::LeaseEnded);
        }
    }

    /// Takes note of a task that a worker lists in its current session; true if its use brings the
    /// worker over its capacity.
    fn listed(
        &self,
        lead: &mut Lead,
        now: Millis,
        worker: &WorkerName,
        task: &RunningTask,
    ) -> bool {
        let Some(hold) = lead
            .holds
            .get_mut(&task.task)
            .filter(|hold| hold.attempt == task.attempt && hold.worker == *worker)
        else {
            // Released in the meantime, so nobody waits for it any more.
            Self::send_stop(lead, worker, task.task, task.attempt);
            return false;
        };
        hold.peak = hold.peak.max(&task.usage);
        let mut usage = task.usage;
        let throttled = hold.throttled;
        if throttled.is_some_and(|at| now.since(at) < self.cfg.throttle_grace) {
            // The use may have been measured before the limit took hold.
            usage.cpu_milli = usage.cpu_milli.min(hold.reserved.cpu_milli);
        }
        let raised = hold.reserved.max(&usage);
        let more = raised.saturating_sub(&hold.reserved);
        let began = matches!(hold.stage, Stage::Starting | Stage::Assigned);
        if began {
            hold.stage = Stage::Running;
        }
        let mut over = false;
        if more != Resources::ZERO {
            hold.reserved = raised;
            let team = hold.brief.team.clone();
            lead.queue.started(&team, &more);
            over = !self.placer.reserve(worker, &more);
        }
        if began {
            lead.set_due(task.task, None);
            let may_start = self
                .cell
                .with_job(task.task.job, JobRecord::can_start_tasks);
            if may_start != Some(true) {
                self.stop_hold(lead, now, task.task);
            }
        }
        over
    }

    fn task_ended(
        &self,
        lead: &mut Lead,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
        end: TaskEnd,
    ) {
        let ended = match end {
            TaskEnd::Exited(status) => AttemptEnd::Exited(status),
            TaskEnd::Stopped => AttemptEnd::Stopped,
            TaskEnd::Checkpointed => AttemptEnd::Checkpointed,
            TaskEnd::NeverBegan => AttemptEnd::NeverBegan,
        };
        let held = lead
            .holds
            .get(&task)
            .is_some_and(|hold| hold.attempt == attempt && hold.worker == *worker);
        if held {
            Self::propose_end(lead, task, ended);
            return;
        }
        let counts = self.cell.with_job(task.job, |job| {
            let task = job.tasks.get(task.index as usize);
            task.is_some_and(|task| task.accepts_end(attempt, ended))
        });
        if counts == Some(true) {
            lead.proposals.push(Command::End {
                task,
                attempt,
                ended,
            });
        } else {
            lead.order(worker, WorkerOrder::EndRecorded { task, attempt });
        }
    }

    /// Releases the tasks of workers whose lease has certainly ended.
    pub(crate) fn expire(&mut self, lead: &mut Lead, now: Millis) {
        for worker in lead.leases.expire(now) {
            let Some(state) = lead.workers.get_mut(&worker) else {
                continue;
            };
            state.placed = false;
            state.leaving = false;
            state.silent_since = Some(now);
            self.placer.remove_worker(&worker);
            let tasks = state.tasks.iter().copied().collect::<Vec<_>>();
            lead.out.push(SchedAction::Log(SchedLog::LeaseEnded {
                worker,
                tasks: tasks.len(),
            }));
            for task in tasks {
                Self::propose_end(lead, task, AttemptEnd::LeaseEnded);
            }
        }
        let forget = self.cfg.forget_worker;
        let health = &self.health;
        lead.workers.retain(|worker, state| {
            let keep = !state.tasks.is_empty()
                || state
                    .silent_since
                    .is_none_or(|since| now.since(since) < forget);
            if !keep {
                health.worker_removed(worker);
            }
            keep
        });
    }

    /// Proposes the end of an attempt once.
    pub(crate) fn propose_end(lead: &mut Lead, task: TaskId, ended: AttemptEnd) {
        let Some(hold) = lead.holds.get_mut(&task) else {
            return;
        };
        // The log may still lack the assignment, and an end before it would be of no effect.
        if hold.ending || hold.stage == Stage::Proposed {
            return;
        }
        hold.ending = true;
        lead.proposals.push(Command::End {
            task,
            attempt: hold.attempt,
            ended,
        });
        lead.set_due(task, None);
    }

    /// Sends the start of an attempt whose assignment is committed.
    pub(crate) fn send_start(&self, lead: &mut Lead, now: Millis, task: TaskId) {
        let Some(hold) = lead.holds.get(&task) else {
            return;
        };
        let worker = hold.worker.clone();
        let Some(fence) = lead.leases.fence(&worker) else {
            return;
        };
        let resent = hold.stage == Stage::Starting;
        let (attempt, spec) = (hold.attempt, hold.task_spec());
        if let Some(hold) = lead.holds.get_mut(&task) {
            hold.stage = Stage::Starting;
        }
        let start = WorkerOrder::Start {
            fence,
            task,
            attempt,
            spec,
        };
        lead.order(&worker, start);
        lead.out.push(SchedAction::Log(SchedLog::StartSent {
            worker,
            task,
            attempt,
            fence,
            resent,
        }));
        lead.set_due(task, Some(now + self.cfg.resend));
    }

    /// Sends the order that an attempt waits for again.
    pub(crate) fn resend(&mut self, lead: &mut Lead, now: Millis) {
        for _ in 0..self.cfg.batch {
            let Some((due, task)) = lead.due.first().copied().filter(|(due, _)| *due <= now) else {
                return;
            };
            lead.due.remove(&(due, task));
            let stage = lead.holds.get_mut(&task).map(|hold| {
                hold.due = None;
                hold.stage
            });
            match stage {
                Some(Stage::Starting) => self.send_start(lead, now, task),
                Some(Stage::Stopping) => self.stop_hold(lead, now, task),
                Some(Stage::Checkpointing(until)) if now >= until => {
                    self.stop_hold(lead, now, task);
                }
                Some(Stage::Checkpointing(_)) => self.send_checkpoint(lead, now, task),
                _ => {}
            }
        }
    }

    pub(crate) fn send_stop(lead: &mut Lead, worker: &WorkerName, task: TaskId, attempt: Attempt) {
        let Some(fence) = lead.leases.fence(worker) else {
            return;
        };
        let stop = WorkerOrder::Stop {
            fence,
            task,
            attempt,
        };
        lead.order(worker, stop);
        lead.out.push(SchedAction::Log(SchedLog::StopSent {
            worker: worker.clone(),
            task,
            attempt,
            fence,
        }));
    }

    /// Ends an attempt: it is stopped, its start withdrawn, or it ends at once if no start of it
    /// was ever sent.
    pub(crate) fn stop_hold(&self, lead: &mut Lead, now: Millis, task: TaskId) {
        let Some(hold) = lead.holds.get_mut(&task) else {
            return;
        };
        match hold.stage {
            // Looked at when the assignment commits.
            Stage::Proposed => {}
            Stage::Assigned => Self::propose_end(lead, task, AttemptEnd::NeverBegan),
            _ if hold.ending => {}
            _ => {
                hold.stage = Stage::Stopping;
                let Hold {
                    worker, attempt, ..
                } = hold;
                let (worker, attempt) = (worker.clone(), *attempt);
                Self::send_stop(lead, &worker, task, attempt);
                lead.set_due(task, Some(now + self.cfg.resend));
            }
        }
    }

    /// Tells an attempt to checkpoint; it is stopped if it does not end within the grace time.
    pub(crate) fn send_checkpoint(&self, lead: &mut Lead, now: Millis, task: TaskId) {
        let Some(hold) = lead.holds.get_mut(&task) else {
            return;
        };
        if hold.ending || !matches!(hold.stage, Stage::Running | Stage::Checkpointing(_)) {
            return;
        }
        if hold.stage == Stage::Running {
            hold.stage = Stage::Checkpointing(now + self.cfg.checkpoint_grace);
        }
        let (worker, attempt) = (hold.worker.clone(), hold.attempt);
        if let Some(fence) = lead.leases.fence(&worker) {
            let checkpoint = WorkerOrder::Checkpoint {
                fence,
                task,
                attempt,
            };
            lead.order(&worker, checkpoint);
        }
        lead.set_due(task, Some(now + self.cfg.resend));
    }
}
