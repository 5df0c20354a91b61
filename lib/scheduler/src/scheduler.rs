use std::sync::Arc;

use tarragon_cell::{Cell, Command};
use tarragon_health::HealthTable;
use tarragon_leases::WorkerLeases;
use tarragon_names::{Millis, Term};
use tarragon_placement::Placer;
use tarragon_queue::Quota;
use tarragon_sizing::Estimator;

use crate::{
    SchedAction, SchedEvent, SchedLog, SchedulerConfig,
    allocation::{Allocation, JobSummary, Stage},
    leader_state::LeaderState,
};

/// Assigns tasks to workers while its host leads.
///
/// The scheduler reads the cell, to which the host applies the replicated log, and changes the cell
/// only by proposing commands. The cell may be ahead of the `Committed` events passed in, so each
/// decision reads the job again.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cfg: SchedulerConfig,
    pub(crate) cell: Arc<Cell>,
    pub(crate) placer: Arc<dyn Placer>,
    pub(crate) health: HealthTable,
    pub(crate) estimator: Estimator,
    pub(crate) leader_state: Option<LeaderState>,
}

impl Scheduler {
    /// Creates a scheduler whose host does not lead yet.
    pub fn new(cfg: SchedulerConfig, cell: Arc<Cell>, placer: Arc<dyn Placer>) -> Self {
        Self {
            cfg,
            cell,
            placer,
            health: HealthTable::default(),
            estimator: Estimator::new(),
            leader_state: None,
        }
    }

    /// Handles an event at the time `now` of the host's clock and returns what the host has to do.
    pub fn step(&mut self, now: Millis, event: SchedEvent) -> Vec<SchedAction> {
        match event {
            SchedEvent::BecameLeader { term, at_ms } => self.take_over(now, term, at_ms),
            SchedEvent::LostLeadership => self.leader_state = None,
            event => {
                // Moves the state out for the step, so that it can be borrowed mutably together
                // with the other fields.
                if let Some(mut leader_state) = self.leader_state.take() {
                    self.step_as_leader(&mut leader_state, now, event);
                    self.leader_state = Some(leader_state);
                }
            }
        }
        let Some(leader_state) = &mut self.leader_state else {
            return Vec::new();
        };
        let mut actions = std::mem::take(&mut leader_state.actions);
        if !leader_state.proposals.is_empty() {
            actions.push(SchedAction::Propose(std::mem::take(
                &mut leader_state.proposals,
            )));
        }
        actions
    }

    /// Whether the host leads, by the last `BecameLeader` or `LostLeadership` event.
    pub fn leads(&self) -> bool {
        self.leader_state.is_some()
    }

    fn step_as_leader(&mut self, leader_state: &mut LeaderState, now: Millis, event: SchedEvent) {
        match event {
            SchedEvent::BecameLeader { .. } | SchedEvent::LostLeadership => {}
            SchedEvent::Committed { command, answer } => {
                self.on_committed(leader_state, now, &command, &answer);
            }
            SchedEvent::NotProposed(commands) => self.on_not_proposed(leader_state, &commands),
            SchedEvent::Report { worker, report } => {
                self.on_report(leader_state, now, &worker, report);
            }
            SchedEvent::Tick { leader_until } => {
                leader_state.leader_until = leader_state.leader_until.max(leader_until);
                self.expire_leases(leader_state, now);
                leader_state.proposals.append(&mut leader_state.end_retries);
                self.resend_orders(leader_state, now);
                self.stop_jobs(leader_state, now);
                self.place_jobs(leader_state, now);
            }
        }
    }

    /// Rebuilds the queue and the allocations from the cell after an election.
    ///
    /// Inherited attempts count as `Starting`, since an earlier leader may have sent their starts.
    fn take_over(&mut self, now: Millis, term: Term, at_ms: u64) {
        let mut workers = Vec::new();
        self.placer
            .visit(&mut |info| workers.push(info.name.clone()));
        for worker in workers {
            self.placer.remove_worker(&worker);
        }
        self.health = HealthTable::default();
        let leases = WorkerLeases::new(term, self.cfg.worker_lease);
        let log_clock_offset = i128::from(now.0) - i128::from(at_ms);
        let mut leader_state = LeaderState::new(now, log_clock_offset, leases);
        for (team, quota) in self.cell.quotas() {
            leader_state
                .queue
                .set_quota(&team, Quota::new(quota.resources));
        }
        let assigned = self.cell.assigned_tasks_by_worker();
        for (worker, tasks) in &assigned {
            leader_state.leases.inherit(now, worker.clone());
            for (task, attempt) in tasks {
                let Some(summary) = self.cell.with_job(task.job, JobSummary::of) else {
                    continue;
                };
                let allocation = Allocation {
                    attempt: *attempt,
                    worker: worker.clone(),
                    reserved: summary.spec.resources,
                    peak_usage: tarragon_names::Resources::ZERO,
                    summary: Arc::new(summary),
                    stage: Stage::Starting,
                    placed_at: now,
                    resend_at: None,
                    is_end_proposed: false,
                    throttled_at: None,
                };
                leader_state.add_allocation(*task, allocation);
            }
        }
        leader_state.dirty_jobs.extend(self.cell.unfinished_jobs());
        leader_state
            .actions
            .push(SchedAction::Log(SchedLog::TookOver {
                term,
                jobs: leader_state.dirty_jobs.len(),
                assigned: leader_state.allocations.len(),
            }));
        self.leader_state = Some(leader_state);
    }

    /// Undoes the state changes made for commands whose proposal was refused.
    fn on_not_proposed(&self, leader_state: &mut LeaderState, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Assign { tasks } => {
                    for (task, attempt, _) in tasks {
                        self.release_allocation(leader_state, *task, *attempt);
                    }
                }
                // The attempt has ended all the same. Its worker may be gone, so nobody else would
                // report the end again.
                Command::End { .. } => leader_state.end_retries.push(command.clone()),
                Command::Refuse { job, .. } => {
                    leader_state.dirty_jobs.insert(*job);
                }
                _ => {}
            }
        }
    }
}
