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
    hold::{Hold, JobBrief, Stage},
    lead::Lead,
};

/// Decides what runs where while its host leads.
///
/// It reads the cell that the host applies the log to, and changes it only by proposals. The cell
/// may be ahead of the `Committed` events handed in, so each decision reads the job anew.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cfg: SchedulerConfig,
    pub(crate) cell: Arc<Cell>,
    pub(crate) placer: Arc<dyn Placer>,
    pub(crate) health: HealthTable,
    pub(crate) sizes: Estimator,
    pub(crate) lead: Option<Lead>,
}

impl Scheduler {
    /// A scheduler whose host does not lead yet.
    pub fn new(cfg: SchedulerConfig, cell: Arc<Cell>, placer: Arc<dyn Placer>) -> Self {
        Self {
            cfg,
            cell,
            placer,
            health: HealthTable::default(),
            sizes: Estimator::new(),
            lead: None,
        }
    }

    /// Takes an event at the reading `now` of the host's clock.
    pub fn step(&mut self, now: Millis, event: SchedEvent) -> Vec<SchedAction> {
        match event {
            SchedEvent::BecameLeader { term, at_ms } => self.take_over(now, term, at_ms),
            SchedEvent::LostLeadership => self.lead = None,
            event => {
                // The state is taken out for the step, so that it and the other fields can be
                // borrowed side by side.
                if let Some(mut lead) = self.lead.take() {
                    self.led_step(&mut lead, now, event);
                    self.lead = Some(lead);
                }
            }
        }
        let Some(lead) = &mut self.lead else {
            return Vec::new();
        };
        let mut out = std::mem::take(&mut lead.out);
        if !lead.proposals.is_empty() {
            out.push(SchedAction::Propose(std::mem::take(&mut lead.proposals)));
        }
        out
    }

    /// Tells whether the host leads.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    fn led_step(&mut self, lead: &mut Lead, now: Millis, event: SchedEvent) {
        match event {
            SchedEvent::BecameLeader { .. } | SchedEvent::LostLeadership => {}
            SchedEvent::Committed { command, answer } => {
                self.committed(lead, now, &command, &answer);
            }
            SchedEvent::NotProposed(commands) => self.not_proposed(lead, &commands),
            SchedEvent::Report { worker, report } => self.report(lead, now, &worker, report),
            SchedEvent::Tick { leader_until } => {
                lead.leader_until = lead.leader_until.max(leader_until);
                self.expire(lead, now);
                lead.proposals.append(&mut lead.retries);
                self.resend(lead, now);
                self.close_jobs(lead, now);
                self.place_jobs(lead, now);
            }
        }
    }

    /// Works out the queue and the holds from the log.
    fn take_over(&mut self, now: Millis, term: Term, at_ms: u64) {
        let mut known = Vec::new();
        self.placer.visit(&mut |info| known.push(info.name.clone()));
        for worker in known {
            self.placer.remove_worker(&worker);
        }
        self.health = HealthTable::default();
        let leases = WorkerLeases::new(term, self.cfg.lease);
        let offset = i128::from(now.0) - i128::from(at_ms);
        let mut lead = Lead::new(now, offset, leases);
        for (team, quota) in self.cell.quotas() {
            lead.queue.set_quota(&team, Quota::new(quota.resources));
        }
        let assigned = self.cell.assigned_tasks_by_worker();
        for (worker, tasks) in &assigned {
            lead.leases.inherit(now, worker.clone());
            for (task, attempt) in tasks {
                let Some(brief) = self.cell.with_job(task.job, JobBrief::of) else {
                    continue;
                };
                let hold = Hold {
                    attempt: *attempt,
                    worker: worker.clone(),
                    reserved: brief.spec.resources,
                    peak: tarragon_names::Resources::ZERO,
                    brief: Arc::new(brief),
                    stage: Stage::Starting,
                    since: now,
                    due: None,
                    ending: false,
                    throttled: None,
                };
                lead.add_hold(*task, hold);
            }
        }
        lead.dirty.extend(self.cell.unfinished_jobs());
        lead.out.push(SchedAction::Log(SchedLog::TookOver {
            term,
            jobs: lead.dirty.len(),
            assigned: lead.holds.len(),
        }));
        self.lead = Some(lead);
    }

    /// Takes back what was prepared for commands that will not be committed.
    fn not_proposed(&self, lead: &mut Lead, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Assign { tasks } => {
                    for (task, attempt, _) in tasks {
                        self.drop_hold(lead, *task, *attempt);
                    }
                }
                // An end stays true, and its worker may be gone, so nobody else would resend it.
                Command::End { .. } => lead.retries.push(command.clone()),
                Command::Refuse { job, .. } => {
                    lead.dirty.insert(*job);
                }
                _ => {}
            }
        }
    }
}
