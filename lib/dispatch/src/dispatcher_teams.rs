//! Quotas of teams: when they are set, and what the dispatcher reports about them.

use std::collections::BTreeMap;

use tarragon_names::{Resources, TeamName};
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
        let configuration = self.workflow_state.configuration();
        let weights = configuration.teams.iter();
        let total_weight = weights.map(|team| u128::from(team.weight)).sum();
        self.team_quotas.update(&teams, total_weight, capacity);
    }

    /// Position of a step in the order of placement. Urgent queues come first, unless a team uses far
    /// more than its share; within a queue priority, teams that use less of their share come first, and
    /// jobs that can no longer meet their objective come last.
    pub(crate) fn rank(&self, plan: &StepPlan) -> PlacementRank {
        let share_rank = self.team_quotas.share_rank(plan.team.as_ref());
        PlacementRank {
            is_far_over_share: share_rank.is_far_over_share,
            priority: plan.queue.priority,
            used_share_quarters: share_rank.used_share_quarters,
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

    /// Makes a step wait, and releases its reservation, if its team is at its cap or the rest of the cap is
    /// left to a more urgent step of the team. Returns whether the step waits.
    pub(crate) fn defer_for_cap(&mut self, key: &StepKey) -> bool {
        let Some(plan) = self.plans.get(key) else {
            return false;
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

    /// Makes a step wait for the next placement of all steps if its team gives way to all others. Returns
    /// whether the step waits.
    pub(crate) fn defer_for_share(&mut self, key: &StepKey) -> bool {
        let Some(plan) = self.plans.get(key) else {
            return false;
        };
        let is_deferred = self.rank(plan).is_far_over_share;
        if is_deferred && plan.wait != Wait::TeamShare {
            self.report_team_wait(*key, Wait::TeamShare);
            self.set_wait(key, Wait::TeamShare);
        }
        is_deferred
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

    /// Returns what each team uses and waits for, that is configured or has runs or waiting tasks.
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
        let configuration = self.workflow_state.configuration();
        let teams = self.workflow_state.teams();
        let shown = teams.iter().filter(|team| {
            let is_idle = self.team_quotas.team(&team.name).used == Resources::ZERO;
            let is_configured = configuration.teams.get(&team.name).is_some();
            is_configured || !is_idle || waiting.contains_key(&team.name)
        });
        let reports = shown.map(|team| {
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
    pub(crate) fn team_of(&self, job: JobKey) -> Option<TeamName> {
        let team = self.workflow_state.with_job(job, |job| job.team.clone());
        team.flatten()
    }
}
