use std::collections::BTreeMap;

use tarragon_names::{Class, Millis, Resources, WorkerName, Workload};

use crate::{PreemptAction, PreemptMethod, Preemptor, Victim};

/// Choice of the running tasks that are preempted for a more urgent job.
///
/// A task can be preempted if its class is lower than the preemptor's. A task of the same class can
/// be preempted if its team uses borrowed quota and the preemptor's team does not. Services and
/// all-or-nothing tasks are never preempted: a service would lose availability, and the loss of one
/// task of an all-or-nothing job ends the whole job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PreemptionPolicy {
    /// Time that a checkpoint and the later restart take.
    pub checkpoint_cost: Millis,
    /// Time that the restart of a stopped task takes, in addition to the work that is lost.
    ///
    /// Without this cost, stopping a task that has just started would be free, and a task could be
    /// stopped again and again without ever finishing.
    pub restart_cost: Millis,
    /// Value of a millisecond of time for each class, relative to the overnight class.
    ///
    /// Weighs the waiting time of the preemptor and the lost work of the victims.
    pub class_weight: [u64; Class::ALL.len()],
}

impl PreemptionPolicy {
    /// Actions that free capacity for `preemptor`; empty if the lost work would outweigh the saved
    /// waiting time.
    ///
    /// On each worker, capacity is freed for at most one task. `free` returns the unreserved
    /// capacity of a worker. Costs O(victims × log victims).
    pub fn choose<F>(
        &self,
        preemptor: &Preemptor,
        victims: &[Victim],
        free: F,
    ) -> Vec<PreemptAction>
    where
        F: Fn(&WorkerName) -> Resources,
    {
        let mut by_worker = BTreeMap::<&WorkerName, Vec<&Victim>>::new();
        for victim in victims
            .iter()
            .filter(|victim| may_preempt(preemptor, victim))
        {
            by_worker.entry(&victim.worker).or_default().push(victim);
        }
        let mut plans = by_worker
            .into_iter()
            .filter_map(|(worker, victims)| self.plan(preemptor, victims, free(worker)))
            .collect::<Vec<_>>();
        plans.sort_by_key(|plan| plan.cost);
        plans.truncate(preemptor.tasks as usize);
        let benefit = u128::from(preemptor.expected_wait.0)
            * u128::from(preemptor.resources.cpu_milli.max(1))
            * u128::from(self.class_weight[preemptor.class as usize]);
        if preemptor.all_or_nothing {
            let cost = plans.iter().map(|plan| plan.cost).sum::<u128>();
            let benefit = benefit * plans.len() as u128;
            if plans.len() < preemptor.tasks as usize || cost >= benefit {
                return Vec::new();
            }
        } else {
            plans.retain(|plan| plan.cost < benefit);
        }
        plans.into_iter().flat_map(|plan| plan.actions).collect()
    }

    /// Greedy choice of victims on one worker that frees enough capacity for one task.
    fn plan(
        &self,
        preemptor: &Preemptor,
        mut victims: Vec<&Victim>,
        free: Resources,
    ) -> Option<WorkerPlan> {
        victims.sort_by_key(|victim| {
            (
                !victim.borrows,
                std::cmp::Reverse(victim.class),
                self.loss(victim),
            )
        });
        // Tasks that fit into the free capacity are not counted in `preemptor.tasks`, so the
        // capacity that they will use cannot serve the missing ones.
        let mut available = free;
        while let Some(remainder) = available.checked_sub(&preemptor.resources)
            && preemptor.resources != Resources::ZERO
        {
            available = remainder;
        }
        if let Some(plan) = self.throttle(preemptor, &victims, available) {
            return Some(plan);
        }
        let mut selected = Vec::new();
        for victim in victims {
            if preemptor.resources.fits(&available) {
                break;
            }
            available += victim.resources;
            selected.push(victim);
        }
        if !preemptor.resources.fits(&available) {
            return None;
        }
        // Small victims selected early may no longer be needed after a larger one is selected.
        selected.retain(|victim| {
            let without = available.saturating_sub(&victim.resources);
            let needed = !preemptor.resources.fits(&without);
            if !needed {
                available = without;
            }
            needed
        });
        Some(WorkerPlan {
            cost: selected.iter().map(|victim| self.loss(victim)).sum(),
            actions: selected
                .into_iter()
                .map(|victim| PreemptAction {
                    task: victim.task,
                    worker: victim.worker.clone(),
                    method: self.method(victim),
                })
                .collect(),
        })
    }

    /// Halves the processor time of victims if only processor time is short.
    fn throttle(
        &self,
        preemptor: &Preemptor,
        victims: &[&Victim],
        free: Resources,
    ) -> Option<WorkerPlan> {
        let shortage = preemptor.resources.saturating_sub(&free);
        if shortage.cpu_milli == 0 || shortage.memory_mb > 0 || shortage.accelerators > 0 {
            return None;
        }
        let mut missing = shortage.cpu_milli;
        let mut plan = WorkerPlan::default();
        for victim in victims {
            if missing == 0 {
                break;
            }
            let freed_cpu = victim.resources.cpu_milli / 2;
            missing = missing.saturating_sub(freed_cpu);
            // At half speed, the victim takes its remaining run time twice.
            plan.cost +=
                u128::from(freed_cpu) * u128::from(victim.remaining.0) * self.weight(victim);
            plan.actions.push(PreemptAction {
                task: victim.task,
                worker: victim.worker.clone(),
                method: PreemptMethod::Throttle,
            });
        }
        (missing == 0).then_some(plan)
    }

    /// A checkpoint if it takes less time than the work that a stop would lose.
    fn method(&self, victim: &Victim) -> PreemptMethod {
        if victim.can_checkpoint && self.checkpoint_cost < victim.elapsed {
            PreemptMethod::Checkpoint
        } else {
            PreemptMethod::Stop
        }
    }

    /// Processor time that a preemption wastes, weighted by class.
    fn loss(&self, victim: &Victim) -> u128 {
        let lost = match self.method(victim) {
            PreemptMethod::Checkpoint => self.checkpoint_cost,
            PreemptMethod::Stop | PreemptMethod::Throttle => victim.elapsed + self.restart_cost,
        };
        u128::from(lost.0) * u128::from(victim.resources.cpu_milli.max(1)) * self.weight(victim)
    }

    fn weight(&self, victim: &Victim) -> u128 {
        u128::from(self.class_weight[victim.class as usize])
    }
}

impl Default for PreemptionPolicy {
    fn default() -> Self {
        Self {
            checkpoint_cost: Millis(10_000),
            restart_cost: Millis(5_000),
            class_weight: [64, 4, 1],
        }
    }
}

#[derive(Debug, Default)]
struct WorkerPlan {
    cost: u128,
    actions: Vec<PreemptAction>,
}

fn may_preempt(preemptor: &Preemptor, victim: &Victim) -> bool {
    let can_be_preempted = !matches!(victim.workload, Workload::Service | Workload::AllOrNothing);
    let has_lower_class = victim.class > preemptor.class;
    let returns_borrowed_quota =
        victim.class == preemptor.class && victim.borrows && !preemptor.borrows;
    can_be_preempted && (has_lower_class || returns_borrowed_quota)
}
