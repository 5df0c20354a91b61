//! Workers that drain or are over their capacity.

use tarragon_leases::WorkerOrder;
use tarragon_names::{Millis, Resources, TaskId, WorkerName, Workload};

use crate::{
    SchedAction, SchedLog, Scheduler, allocation::Stage, leader_state::LeaderState,
    worker_state::WorkerState,
};

impl Scheduler {
    /// Whether a worker gets no ordinary work, because it leaves, drains or is quarantined.
    pub(crate) fn is_unschedulable(&self, state: &WorkerState, worker: &WorkerName) -> bool {
        state.is_leaving || self.cell.is_draining(worker) || self.health.is_quarantined(worker)
    }

    /// Makes a worker unschedulable and checkpoints its services, so that they move elsewhere.
    ///
    /// Batch tasks run to their end; services do not end by themselves.
    pub(crate) fn start_drain(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        worker: &WorkerName,
    ) {
        self.placer.set_schedulable(worker, false);
        let Some(state) = leader_state.workers.get(worker) else {
            return;
        };
        let services = state.tasks.iter().filter(|task| {
            leader_state
                .allocations
                .get(task)
                .is_some_and(|allocation| allocation.summary.spec.kind == Workload::Service)
        });
        for task in services.copied().collect::<Vec<_>>() {
            self.send_checkpoint(leader_state, now, task);
        }
    }

    /// Brings an overcommitted worker back within its capacity.
    ///
    /// Limits the CPU of its tasks if only CPU is short, then checkpoints tasks. Both go by class,
    /// least urgent first, and within a class the latest placement first.
    pub(crate) fn relieve_worker(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        worker: &WorkerName,
    ) {
        let Some(state) = leader_state.workers.get(worker) else {
            return;
        };
        let not_ending = state
            .tasks
            .iter()
            .filter_map(|task| Some((*task, leader_state.allocations.get(task)?)))
            .filter(|(_, allocation)| !allocation.is_ending());
        let reserved = not_ending
            .clone()
            .map(|(_, allocation)| allocation.reserved)
            .sum();
        let mut excess = Resources::saturating_sub(&reserved, &state.capacity.unwrap_or_default());
        if excess == Resources::ZERO {
            return;
        }
        let mut victims = not_ending
            .filter(|(_, allocation)| allocation.stage == Stage::Running)
            .map(|(task, allocation)| {
                (
                    std::cmp::Reverse((allocation.summary.class, allocation.placed_at)),
                    task,
                )
            })
            .collect::<Vec<_>>();
        victims.sort_unstable();
        leader_state
            .actions
            .push(SchedAction::Log(SchedLog::Overcommitted {
                worker: worker.clone(),
            }));
        for (_, task) in &victims {
            let only_cpu = excess.memory_mb == 0 && excess.accelerators == 0;
            if only_cpu && excess.cpu_milli > 0 {
                excess.cpu_milli -= self.throttle(leader_state, now, *task, excess.cpu_milli);
            }
        }
        for (_, task) in victims {
            let Some(allocation) = leader_state.allocations.get(&task) else {
                continue;
            };
            if excess == Resources::ZERO {
                return;
            }
            if allocation.reserved.min(&excess) == Resources::ZERO {
                continue;
            }
            excess = excess.saturating_sub(&allocation.reserved);
            self.send_checkpoint(leader_state, now, task);
        }
    }

    /// Limits the CPU of a running task once, by at most half of its reservation; returns the freed
    /// CPU in milli-CPU.
    fn throttle(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        task: TaskId,
        cpu_milli: u64,
    ) -> u64 {
        let Some(allocation) = leader_state.allocations.get_mut(&task) else {
            return 0;
        };
        if allocation.throttled_at.is_some() || allocation.stage != Stage::Running {
            return 0;
        }
        let freed = Resources::new(cpu_milli.min(allocation.reserved.cpu_milli / 2), 0, 0);
        allocation.throttled_at = Some(now);
        allocation.reserved = allocation.reserved.saturating_sub(&freed);
        let (attempt, cpu_milli) = (allocation.attempt, allocation.reserved.cpu_milli);
        let (worker, team) = (allocation.worker.clone(), allocation.summary.team.clone());
        self.placer.release(&worker, &freed);
        leader_state.queue.subtract_usage(&team, &freed);
        if let Some(fence) = leader_state.leases.fence(&worker) {
            let throttle = WorkerOrder::Throttle {
                fence,
                task,
                attempt,
                cpu_milli,
            };
            leader_state.push_order(&worker, throttle);
        }
        freed.cpu_milli
    }
}
