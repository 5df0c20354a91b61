//! Workers that are over their capacity or drain.

use tarragon_leases::WorkerOrder;
use tarragon_names::{Millis, Resources, TaskId, WorkerName, Workload};

use crate::{SchedAction, SchedLog, Scheduler, hold::Stage, lead::Lead, worker_state::WorkerState};

impl Scheduler {
    /// Tells whether a worker gets no ordinary work.
    pub(crate) fn is_closed(&self, state: &WorkerState, worker: &WorkerName) -> bool {
        state.leaving || self.cell.is_draining(worker) || self.health.is_quarantined(worker)
    }

    /// Gives a worker no more work and moves its services, which do not end by themselves.
    pub(crate) fn start_drain(&self, lead: &mut Lead, now: Millis, worker: &WorkerName) {
        self.placer.set_schedulable(worker, false);
        let Some(state) = lead.workers.get(worker) else {
            return;
        };
        let services = state.tasks.iter().filter(|task| {
            lead.holds
                .get(task)
                .is_some_and(|hold| hold.brief.spec.kind == Workload::Service)
        });
        for task in services.copied().collect::<Vec<_>>() {
            self.send_checkpoint(lead, now, task);
        }
    }

    /// Makes the tasks of a worker use less than it offers: limits their processor time, then
    /// checkpoints or stops them, lowest class first and youngest first.
    pub(crate) fn relieve(&self, lead: &mut Lead, now: Millis, worker: &WorkerName) {
        let Some(state) = lead.workers.get(worker) else {
            return;
        };
        let staying = state
            .tasks
            .iter()
            .filter_map(|task| Some((*task, lead.holds.get(task)?)))
            .filter(|(_, hold)| !hold.leaves());
        let used = staying.clone().map(|(_, hold)| hold.reserved).sum();
        let mut over = Resources::saturating_sub(&used, &state.capacity.unwrap_or_default());
        if over == Resources::ZERO {
            return;
        }
        let mut victims = staying
            .filter(|(_, hold)| hold.stage == Stage::Running)
            .map(|(task, hold)| (std::cmp::Reverse((hold.brief.class, hold.since)), task))
            .collect::<Vec<_>>();
        victims.sort_unstable();
        lead.out.push(SchedAction::Log(SchedLog::Overcommitted {
            worker: worker.clone(),
        }));
        for (_, task) in &victims {
            let only_cpu = over.memory_mb == 0 && over.accelerators == 0;
            if only_cpu && over.cpu_milli > 0 {
                over.cpu_milli -= self.throttle(lead, now, *task, over.cpu_milli);
            }
        }
        for (_, task) in victims {
            let Some(hold) = lead.holds.get(&task) else {
                continue;
            };
            if over == Resources::ZERO {
                return;
            }
            if hold.reserved.min(&over) == Resources::ZERO {
                continue;
            }
            over = over.saturating_sub(&hold.reserved);
            self.send_checkpoint(lead, now, task);
        }
    }

    /// Limits the processor time of a task, at most by half and once; returns what that frees.
    fn throttle(&self, lead: &mut Lead, now: Millis, task: TaskId, wanted: u64) -> u64 {
        let Some(hold) = lead.holds.get_mut(&task) else {
            return 0;
        };
        if hold.throttled.is_some() || hold.stage != Stage::Running {
            return 0;
        }
        let freed = Resources::new(wanted.min(hold.reserved.cpu_milli / 2), 0, 0);
        hold.throttled = Some(now);
        hold.reserved = hold.reserved.saturating_sub(&freed);
        let (attempt, cpu_milli) = (hold.attempt, hold.reserved.cpu_milli);
        let (worker, team) = (hold.worker.clone(), hold.brief.team.clone());
        self.placer.release(&worker, &freed);
        lead.queue.subtract_usage(&team, &freed);
        if let Some(fence) = lead.leases.fence(&worker) {
            let throttle = WorkerOrder::Throttle {
                fence,
                task,
                attempt,
                cpu_milli,
            };
            lead.order(&worker, throttle);
        }
        freed.cpu_milli
    }
}
