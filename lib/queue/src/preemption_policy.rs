use std::collections::BTreeMap;

use tarragon_names::{Class, Millis, Resources, WorkerName, Workload};

use crate::{PreemptAction, PreemptMethod, Preemptor, Victim};

/// Choice of the tasks that give way to a more urgent job.
///
/// Only a task of a lower class gives way, or one of the same class whose team runs on borrowed
/// quota while the claimant's team does not. Services and all-or-nothing tasks keep running: a
/// service loses availability, and one task of an all-or-nothing job takes the whole job with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PreemptionPolicy {
    /// Time that a checkpoint and the later restart cost.
    pub checkpoint_cost: Millis,
    /// Time that the restart of a stopped task costs beside the work it loses.
    ///
    /// Without it a task that just started is free to stop, and work that is stopped again and
    /// again never ends.
    pub restart_cost: Millis,
    /// Value of a millisecond of waiting for each class, against one of lost overnight work.
    pub class_weight: [u64; Class::ALL.len()],
}

impl PreemptionPolicy {
    /// Orders that make room for `claim`, or none if the loss exceeds the waiting time saved.
    ///
    /// Each worker makes room for one task. Costs O(victims × log victims).
    pub fn choose<F>(&self, claim: &Preemptor, victims: &[Victim], free: F) -> Vec<PreemptAction>
    where
        F: Fn(&WorkerName) -> Resources,
    {
        let mut by_worker = BTreeMap::<&WorkerName, Vec<&Victim>>::new();
        for victim in victims.iter().filter(|victim| may_take(claim, victim)) {
            by_worker.entry(&victim.worker).or_default().push(victim);
        }
        let mut plans = by_worker
            .into_iter()
            .filter_map(|(worker, victims)| self.plan(claim, victims, free(worker)))
            .collect::<Vec<_>>();
        plans.sort_by_key(|plan| plan.cost);
        plans.truncate(claim.tasks as usize);
        let gain = u128::from(claim.expected_wait.0)
            * u128::from(claim.resources.cpu_milli.max(1))
            * u128::from(self.class_weight[claim.class as usize]);
        if claim.all_or_nothing {
            let cost = plans.iter().map(|plan| plan.cost).sum::<u128>();
            let gain = gain * plans.len() as u128;
            if plans.len() < claim.tasks as usize || cost >= gain {
                return Vec::new();
            }
        } else {
            plans.retain(|plan| plan.cost < gain);
        }
        plans.into_iter().flat_map(|plan| plan.actions).collect()
    }

    /// Cheapest way to make room on one worker that this greedy choice finds.
    fn plan(&self, claim: &Preemptor, mut victims: Vec<&Victim>, free: Resources) -> Option<Plan> {
        victims.sort_by_key(|victim| {
            (
                !victim.borrows,
                std::cmp::Reverse(victim.class),
                self.loss(victim),
            )
        });
        // What fits already is not missing, so it cannot count towards the claim.
        let mut room = free;
        while let Some(rest) = room.checked_sub(&claim.resources)
            && claim.resources != Resources::ZERO
        {
            room = rest;
        }
        if let Some(plan) = self.throttle(claim, &victims, room) {
            return Some(plan);
        }
        let mut taken = Vec::new();
        for victim in victims {
            if claim.resources.fits(&room) {
                break;
            }
            room += victim.resources;
            taken.push(victim);
        }
        if !claim.resources.fits(&room) {
            return None;
        }
        // Small victims taken early may be superfluous once a larger one is in.
        taken.retain(|victim| {
            let without = room.saturating_sub(&victim.resources);
            let needed = !claim.resources.fits(&without);
            if !needed {
                room = without;
            }
            needed
        });
        Some(Plan {
            cost: taken.iter().map(|victim| self.loss(victim)).sum(),
            actions: taken
                .into_iter()
                .map(|victim| PreemptAction {
                    task: victim.task,
                    worker: victim.worker.clone(),
                    method: self.method(victim),
                })
                .collect(),
        })
    }

    /// Halves the processor time of victims if nothing but processor time is short.
    fn throttle(&self, claim: &Preemptor, victims: &[&Victim], free: Resources) -> Option<Plan> {
        let short = claim.resources.saturating_sub(&free);
        if short.cpu_milli == 0 || short.memory_mb > 0 || short.accelerators > 0 {
            return None;
        }
        let mut missing = short.cpu_milli;
        let mut plan = Plan::default();
        for victim in victims {
            if missing == 0 {
                break;
            }
            let half = victim.resources.cpu_milli / 2;
            missing = missing.saturating_sub(half);
            // The victim needs the time that it has left once more, at half speed.
            plan.cost += u128::from(half) * u128::from(victim.remaining.0) * self.weight(victim);
            plan.actions.push(PreemptAction {
                task: victim.task,
                worker: victim.worker.clone(),
                method: PreemptMethod::Throttle,
            });
        }
        (missing == 0).then_some(plan)
    }

    fn method(&self, victim: &Victim) -> PreemptMethod {
        if victim.can_checkpoint && self.checkpoint_cost < victim.elapsed {
            PreemptMethod::Checkpoint
        } else {
            PreemptMethod::Stop
        }
    }

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
struct Plan {
    cost: u128,
    actions: Vec<PreemptAction>,
}

fn may_take(claim: &Preemptor, victim: &Victim) -> bool {
    let movable = !matches!(victim.workload, Workload::Service | Workload::AllOrNothing);
    let lower = victim.class > claim.class;
    let returned = victim.class == claim.class && victim.borrows && !claim.borrows;
    movable && (lower || returned)
}
