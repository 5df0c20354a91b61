//! Quotas of teams: when they are set, and what the dispatcher reports about them.

use std::collections::BTreeMap;

use tarragon_names::Resources;
use tarragon_workflow::{JobKey, StepKey};

use crate::{
    DecisionEvent, Dispatcher, TeamReport, placement_rank::PlacementRank, step_plan::StepPlan,
    wait::Wait,
};

impl Dispatcher {
    /// Sets the quotas of all known teams from the configuration and the capacity of the workers.
    pub(crate) fn update_quotas(&mut self) {
        let teams = self.workflow_state.teams();
        if teams.is_empty() && !self.team_quotas.has_teams() {
            return;
        }
        let capacity = self.workers.iter().map(|(_, state)| state.record.capacity);
        let capacity = capacity.sum::<Resources>();
        self.team_quotas.update(&teams, capacity);
    }

    /// Position of a step in the order of placement. Urgent queues come first, unless a team uses far
    /// more than its share; within a queue priority, teams that use less of their share come first, and
    /// jobs that can no longer meet their objective come last.
    pub(crate) fn rank(&self, plan: &StepPlan) -> PlacementRank {
        let (gives_way, share_parts) = self.team_quotas.order(plan.team.as_ref());
        PlacementRank {
            gives_way,
            priority: plan.queue.priority,
            share_parts,
            is_late: plan.is_late(self.now_ms),
            due_ms: plan.due_ms,
            key: plan.key,
        }
    }

    /// Number of waiting tasks of a step that the cap of its team allows to start now. A gang starts
    /// whole or not at all, and holds nothing of the cap while it waits.
    pub(crate) fn startable_tasks(&self, plan: &StepPlan) -> u32 {
        let waiting = plan.waiting.len() as u32;
        let need = plan.step().reserved();
        let allowed = self
            .team_quotas
            .tasks_below_cap(plan.team.as_ref(), &need)
            .min(waiting);
        if plan.step().gang && allowed < waiting {
            return 0;
        }
        allowed
    }

    /// Returns whether a step must wait because its team is at its cap, or leaves the rest of the cap to a
    /// more urgent step of the team. Reports it once.
    pub(crate) fn must_wait_for_cap(&mut self, key: &StepKey) -> bool {
        let Some(plan) = self.plans.get(key) else {
            return true;
        };
        let priority = plan.queue.priority;
        if let Some(team) = &plan.team
            && self.startable_tasks(plan) == 0
        {
            self.capped_teams.add(team, priority);
        } else if !self.capped_teams.must_wait(plan.team.as_ref(), priority) {
            return false;
        }
        if plan.wait != Wait::TeamCap {
            self.report_team_wait(*key, Wait::TeamCap);
        }
        self.set_wait(key, Wait::TeamCap);
        self.release_reservation(key);
        true
    }

    /// Returns whether a step gives way to the other teams until the next placement of all steps.
    pub(crate) fn must_wait_for_share(&mut self, key: &StepKey) -> bool {
        let Some(plan) = self.plans.get(key) else {
            return false;
        };
        let gives_way = self.rank(plan).gives_way;
        if gives_way && plan.wait != Wait::TeamShare {
            self.report_team_wait(*key, Wait::TeamShare);
            self.set_wait(key, Wait::TeamShare);
        }
        gives_way
    }

    fn report_team_wait(&mut self, key: StepKey, wait: Wait) {
        let Some(plan) = self.plans.get(&key) else {
            return;
        };
        let Some(team) = &plan.team else {
            return;
        };
        let usage = self.team_quotas.team(team);
        let cap = usage.quota.ceiling.unwrap_or_default();
        let detail = format!(
            "step {key} waits for {wait}: team {team} uses {}, its cap is {cap}, its share {}",
            usage.used, usage.quota.guaranteed
        );
        self.emit(DecisionEvent::new("step_waits_for_team", detail).job(key.job));
    }

    /// Returns what each known team uses and waits for.
    pub fn team_reports(&self) -> Vec<TeamReport> {
        if !self.team_quotas.has_teams() {
            return Vec::new();
        }
        let mut waiting = BTreeMap::<_, (u64, u64)>::new();
        for plan in self.plans.values() {
            if let Some(team) = &plan.team {
                let tasks = plan.waiting.len() as u64;
                let (all, capped) = waiting.entry(team).or_default();
                *all += tasks;
                *capped += if plan.wait == Wait::TeamCap { tasks } else { 0 };
            }
        }
        let teams = self.workflow_state.teams();
        let reports = teams.iter().map(|team| {
            let usage = self.team_quotas.team(&team.name);
            let (waiting_tasks, capped_tasks) =
                waiting.get(&team.name).copied().unwrap_or_default();
            TeamReport {
                team: team.name.clone(),
                used: usage.used,
                share: usage.quota.guaranteed,
                cap: team.cap,
                waiting_tasks,
                capped_tasks,
            }
        });
        reports.collect()
    }

    /// Team of a job; `None` if its calls needed no key.
    pub(crate) fn team_of(&self, job: JobKey) -> Option<tarragon_names::TeamName> {
        let team = self.workflow_state.with_job(job, |job| job.team.clone());
        team.flatten()
    }
}
