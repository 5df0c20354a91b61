//! Worker sessions, leases and reports, and the orders sent to workers.

use std::collections::BTreeSet;

use tarragon_cell::{AttemptEnd, Command, JobRecord};
use tarragon_leases::{HeartbeatOutcome, RunningTask, TaskEnd, WorkerOrder, WorkerReport};
use tarragon_names::{Attempt, Millis, Resources, Session, TaskId, WorkerName};
use tarragon_placement::WorkerInfo;

use crate::{
    SchedAction, SchedLog, Scheduler,
    allocation::{Allocation, Stage},
    leader_state::LeaderState,
};

impl Scheduler {
    pub(crate) fn on_report(
        &mut self,
        leader_state: &mut LeaderState,
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
                    self.on_task_ended(leader_state, worker, task, attempt, end);
                }
                if now >= leader_state.leader_until {
                    return;
                }
                let session = leader_state.leases.register(now, worker);
                let state = leader_state.workers.entry(worker.clone()).or_default();
                state.domain = domain;
                state.rack = rack;
                state.capacity = Some(capacity);
                let welcome = WorkerOrder::Welcome {
                    term: leader_state.leases.term(),
                    session,
                    clock,
                    lease: leader_state.leases.lease(),
                };
                leader_state.push_order(worker, welcome);
            }
            WorkerReport::Heartbeat {
                session,
                clock,
                running,
            } => {
                if now < leader_state.leader_until {
                    self.on_heartbeat(leader_state, now, worker, session, clock, &running);
                }
            }
            WorkerReport::TaskEnded {
                task, attempt, end, ..
            } => self.on_task_ended(leader_state, worker, task, attempt, end),
            WorkerReport::Leaving { session } => {
                if leader_state.leases.session(worker) == Some(session)
                    && let Some(state) = leader_state.workers.get_mut(worker)
                    && !state.is_leaving
                {
                    state.is_leaving = true;
                    state.session = session;
                    self.start_drain(leader_state, now, worker);
                }
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        leader_state: &mut LeaderState,
        now: Millis,
        worker: &WorkerName,
        session: Session,
        clock: Millis,
        running: &[RunningTask],
    ) {
        let term = leader_state.leases.term();
        let beat = leader_state.leases.heartbeat(now, worker, session);
        if beat == HeartbeatOutcome::Unknown {
            leader_state.push_order(worker, WorkerOrder::UnknownSession { term });
            return;
        }
        let reply = WorkerOrder::HeartbeatReply {
            term,
            session,
            clock,
            lease: leader_state.leases.lease(),
        };
        leader_state.push_order(worker, reply);
        if beat == HeartbeatOutcome::Confirmed {
            self.confirm_session(leader_state, worker, session, running);
        }
        let mut overcommitted = false;
        for task in running {
            overcommitted |= self.on_task_listed(leader_state, now, worker, task);
        }
        if overcommitted {
            self.relieve_worker(leader_state, now, worker);
        }
    }

    /// Compares the allocations of a worker with the attempts that it runs when a session starts.
    ///
    /// An attempt that the worker does not list does not run there and cannot start later, because
    /// the worker has left the sessions in which its start may have been sent. The attempt may have
    /// run in an earlier process of the worker, so its end is proposed as `LeaseEnded` and not as
    /// `NeverBegan`.
    fn confirm_session(
        &mut self,
        leader_state: &mut LeaderState,
        worker: &WorkerName,
        session: Session,
        running: &[RunningTask],
    ) {
        let listed = running
            .iter()
            .map(|task| (task.task, task.attempt))
            .collect::<BTreeSet<_>>();
        let Some(state) = leader_state.workers.get_mut(worker) else {
            return;
        };
        if state.session != session {
            state.is_leaving = false;
        }
        state.session = session;
        state.is_in_placer = true;
        state.silent_since = None;
        let (mut adopted, mut lost) = (0, Vec::new());
        let mut reserved = Resources::ZERO;
        for task in &state.tasks {
            let Some(allocation) = leader_state.allocations.get(task) else {
                continue;
            };
            reserved += allocation.reserved;
            match allocation.stage {
                Stage::Proposed | Stage::Assigned => {}
                _ if listed.contains(&(*task, allocation.attempt)) => adopted += 1,
                _ => lost.push(*task),
            }
        }
        let schedulable = !self.is_unschedulable(state, worker);
        self.placer.upsert_worker(WorkerInfo {
            name: worker.clone(),
            domain: state.domain.clone(),
            rack: state.rack.clone(),
            capacity: state.capacity.unwrap_or_default(),
            reserved,
            schedulable,
        });
        self.health.add_worker(worker);
        leader_state
            .actions
            .push(SchedAction::Log(SchedLog::SessionConfirmed {
                worker: worker.clone(),
                session,
                adopted,
                lost: lost.len(),
            }));
        for task in lost {
            Self::propose_end(leader_state, task, AttemptEnd::LeaseEnded);
        }
    }

    /// Handles a task that a worker lists as running in its current session; returns true if its
    /// usage raises the reservations of the worker above its capacity.
    fn on_task_listed(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        worker: &WorkerName,
        task: &RunningTask,
    ) -> bool {
        let Some(allocation) = leader_state
            .allocations
            .get_mut(&task.task)
            .filter(|allocation| {
                allocation.attempt == task.attempt && allocation.worker == *worker
            })
        else {
            // The allocation was released or belongs to another attempt, so this attempt must stop.
            Self::send_stop(leader_state, worker, task.task, task.attempt);
            return false;
        };
        allocation.peak_usage = allocation.peak_usage.max(&task.usage);
        let mut usage = task.usage;
        let throttled_at = allocation.throttled_at;
        if throttled_at.is_some_and(|at| now.since(at) < self.cfg.throttle_grace) {
            // The usage may have been measured before the CPU limit took effect.
            usage.cpu_milli = usage.cpu_milli.min(allocation.reserved.cpu_milli);
        }
        let raised = allocation.reserved.max(&usage);
        let increase = raised.saturating_sub(&allocation.reserved);
        let is_first_listing = matches!(allocation.stage, Stage::Starting | Stage::Assigned);
        if is_first_listing {
            allocation.stage = Stage::Running;
        }
        let mut overcommitted = false;
        if increase != Resources::ZERO {
            allocation.reserved = raised;
            let team = allocation.summary.team.clone();
            leader_state.queue.add_usage(&team, &increase);
            overcommitted = !self.placer.reserve(worker, &increase);
        }
        if is_first_listing {
            leader_state.set_resend_at(task.task, None);
            let may_start = self
                .cell
                .with_job(task.task.job, JobRecord::can_start_tasks);
            if may_start != Some(true) {
                self.stop_attempt(leader_state, now, task.task);
            }
        }
        overcommitted
    }

    fn on_task_ended(
        &self,
        leader_state: &mut LeaderState,
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
        let has_allocation = leader_state
            .allocations
            .get(&task)
            .is_some_and(|allocation| {
                allocation.attempt == attempt && allocation.worker == *worker
            });
        if has_allocation {
            Self::propose_end(leader_state, task, ended);
            return;
        }
        let changes_record = self.cell.with_job(task.job, |job| {
            let task = job.tasks.get(task.index as usize);
            task.is_some_and(|task| task.accepts_end(attempt, ended))
        });
        if changes_record == Some(true) {
            leader_state.proposals.push(Command::End {
                task,
                attempt,
                ended,
            });
        } else {
            leader_state.push_order(worker, WorkerOrder::EndRecorded { task, attempt });
        }
    }

    /// Proposes the end of all attempts on workers whose lease has certainly ended, and forgets
    /// workers that have been silent for `forget_worker_after`.
    pub(crate) fn expire_leases(&mut self, leader_state: &mut LeaderState, now: Millis) {
        for worker in leader_state.leases.expire(now) {
            let Some(state) = leader_state.workers.get_mut(&worker) else {
                continue;
            };
            state.is_in_placer = false;
            state.is_leaving = false;
            state.silent_since = Some(now);
            self.placer.remove_worker(&worker);
            let tasks = state.tasks.iter().copied().collect::<Vec<_>>();
            leader_state
                .actions
                .push(SchedAction::Log(SchedLog::LeaseEnded {
                    worker,
                    tasks: tasks.len(),
                }));
            for task in tasks {
                Self::propose_end(leader_state, task, AttemptEnd::LeaseEnded);
            }
        }
        let forget_after = self.cfg.forget_worker_after;
        let health = &self.health;
        leader_state.workers.retain(|worker, state| {
            let keep = !state.tasks.is_empty()
                || state
                    .silent_since
                    .is_none_or(|since| now.since(since) < forget_after);
            if !keep {
                health.remove_worker(worker);
            }
            keep
        });
    }

    /// Proposes the end of an attempt unless that was done before.
    pub(crate) fn propose_end(leader_state: &mut LeaderState, task: TaskId, ended: AttemptEnd) {
        let Some(allocation) = leader_state.allocations.get_mut(&task) else {
            return;
        };
        // The assignment may not be committed yet, and an end before it would have no effect.
        if allocation.is_end_proposed || allocation.stage == Stage::Proposed {
            return;
        }
        allocation.is_end_proposed = true;
        leader_state.proposals.push(Command::End {
            task,
            attempt: allocation.attempt,
            ended,
        });
        leader_state.set_resend_at(task, None);
    }

    /// Sends the start order of an attempt whose assignment is committed.
    pub(crate) fn send_start(&self, leader_state: &mut LeaderState, now: Millis, task: TaskId) {
        let Some(allocation) = leader_state.allocations.get(&task) else {
            return;
        };
        let worker = allocation.worker.clone();
        let Some(fence) = leader_state.leases.fence(&worker) else {
            return;
        };
        let resent = allocation.stage == Stage::Starting;
        let (attempt, spec) = (allocation.attempt, allocation.task_spec());
        if let Some(allocation) = leader_state.allocations.get_mut(&task) {
            allocation.stage = Stage::Starting;
        }
        let start = WorkerOrder::Start {
            fence,
            task,
            attempt,
            spec,
        };
        leader_state.push_order(&worker, start);
        leader_state
            .actions
            .push(SchedAction::Log(SchedLog::StartSent {
                worker,
                task,
                attempt,
                fence,
                resent,
            }));
        leader_state.set_resend_at(task, Some(now + self.cfg.resend_interval));
    }

    /// Sends orders again that have not taken effect within the resend interval.
    pub(crate) fn resend_orders(&mut self, leader_state: &mut LeaderState, now: Millis) {
        for _ in 0..self.cfg.max_tasks_per_tick {
            let Some((due, task)) = leader_state
                .resends
                .first()
                .copied()
                .filter(|(due, _)| *due <= now)
            else {
                return;
            };
            leader_state.resends.remove(&(due, task));
            let stage = leader_state.allocations.get_mut(&task).map(|allocation| {
                allocation.resend_at = None;
                allocation.stage
            });
            match stage {
                Some(Stage::Starting) => self.send_start(leader_state, now, task),
                Some(Stage::Stopping) => self.stop_attempt(leader_state, now, task),
                Some(Stage::Checkpointing(until)) if now >= until => {
                    self.stop_attempt(leader_state, now, task);
                }
                Some(Stage::Checkpointing(_)) => self.send_checkpoint(leader_state, now, task),
                _ => {}
            }
        }
    }

    pub(crate) fn send_stop(
        leader_state: &mut LeaderState,
        worker: &WorkerName,
        task: TaskId,
        attempt: Attempt,
    ) {
        let Some(fence) = leader_state.leases.fence(worker) else {
            return;
        };
        let stop = WorkerOrder::Stop {
            fence,
            task,
            attempt,
        };
        leader_state.push_order(worker, stop);
        leader_state
            .actions
            .push(SchedAction::Log(SchedLog::StopSent {
                worker: worker.clone(),
                task,
                attempt,
                fence,
            }));
    }

    /// Stops an attempt or withdraws its start. Its end is proposed directly if no start was sent.
    pub(crate) fn stop_attempt(&self, leader_state: &mut LeaderState, now: Millis, task: TaskId) {
        let Some(allocation) = leader_state.allocations.get_mut(&task) else {
            return;
        };
        match allocation.stage {
            // `on_assigned` checks whether the attempt may start once the assignment is committed.
            Stage::Proposed => {}
            Stage::Assigned => Self::propose_end(leader_state, task, AttemptEnd::NeverBegan),
            _ if allocation.is_end_proposed => {}
            _ => {
                allocation.stage = Stage::Stopping;
                let Allocation {
                    worker, attempt, ..
                } = allocation;
                let (worker, attempt) = (worker.clone(), *attempt);
                Self::send_stop(leader_state, &worker, task, attempt);
                leader_state.set_resend_at(task, Some(now + self.cfg.resend_interval));
            }
        }
    }

    /// Orders a running attempt to checkpoint; it is stopped if it does not end within
    /// `checkpoint_grace`.
    pub(crate) fn send_checkpoint(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        task: TaskId,
    ) {
        let Some(allocation) = leader_state.allocations.get_mut(&task) else {
            return;
        };
        if allocation.is_end_proposed
            || !matches!(allocation.stage, Stage::Running | Stage::Checkpointing(_))
        {
            return;
        }
        if allocation.stage == Stage::Running {
            allocation.stage = Stage::Checkpointing(now + self.cfg.checkpoint_grace);
        }
        let (worker, attempt) = (allocation.worker.clone(), allocation.attempt);
        if let Some(fence) = leader_state.leases.fence(&worker) {
            let checkpoint = WorkerOrder::Checkpoint {
                fence,
                task,
                attempt,
            };
            leader_state.push_order(&worker, checkpoint);
        }
        leader_state.set_resend_at(task, Some(now + self.cfg.resend_interval));
    }
}
