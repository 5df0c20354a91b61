//! Preemption of running tasks for urgent jobs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tarragon_names::{Class, Millis, WorkerName, Workload};
use tarragon_queue::{
    PreemptAction, PreemptMethod, PreemptionPolicy, Preemptor, QueuedJob, Victim,
};

use crate::{Scheduler, allocation::Stage, leader_state::LeaderState};

/// Running tasks that one search considers.
const MAX_VICTIMS_PER_SEARCH: usize = 4_096;

/// Urgent jobs for which one search preempts tasks.
const MAX_CLAIMS_PER_SEARCH: usize = 32;

/// Minimum time between two searches; a search takes milliseconds when the cell is full.
const SEARCH_INTERVAL: Millis = Millis(250);

/// Assumed wait of a job without a head reservation, and assumed remaining run time of a task
/// without an expected end.
const ASSUMED_WAIT: Millis = Millis(60_000);

impl Scheduler {
    /// Preempts running tasks of lower classes for the urgent jobs among those that do not fit.
    pub(crate) fn preempt(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        unfit: &[Arc<QueuedJob>],
    ) {
        let interval = self.cfg.preemption_interval;
        leader_state
            .recent_preemptions
            .retain(|_, at| now.since(*at) < interval);
        let claims = unfit
            .iter()
            .filter(|job| {
                job.class == Class::Urgent
                    && !leader_state.recent_preemptions.contains_key(&job.job)
            })
            .take(MAX_CLAIMS_PER_SEARCH)
            .collect::<Vec<_>>();
        let searched_recently = leader_state
            .last_preemption_search
            .is_some_and(|at| now.since(at) < SEARCH_INTERVAL);
        if claims.is_empty() || searched_recently {
            return;
        }
        leader_state.last_preemption_search = Some(now);
        let mut victims = victims(leader_state, now);
        for job in claims {
            let actions = self.choose_preemptions(leader_state, now, job, &victims);
            if actions.is_empty() {
                continue;
            }
            leader_state.recent_preemptions.insert(job.job, now);
            // Capacity that a worker frees for this job must not be counted for the next one.
            let used = actions.iter().map(|action| &action.worker);
            let used = used.collect::<BTreeSet<_>>();
            victims.retain(|victim| !used.contains(&victim.worker));
            self.order_preemptions(leader_state, now, job, &actions);
        }
    }

    fn choose_preemptions(
        &self,
        leader_state: &LeaderState,
        now: Millis,
        job: &QueuedJob,
        victims: &[Victim],
    ) -> Vec<PreemptAction> {
        let fitting = self.placer.count_fitting_tasks(&job.resources, job.tasks);
        let head = leader_state
            .head_reservation
            .as_ref()
            .filter(|head| head.job == job.job);
        let preemptor = Preemptor {
            class: job.class,
            borrows: leader_state.queue.quotas().team(&job.team).borrows(),
            resources: job.resources,
            tasks: job.tasks.saturating_sub(fitting),
            all_or_nothing: job.workload == Workload::AllOrNothing,
            expected_wait: head.map_or(ASSUMED_WAIT, |head| head.at.since(now)),
        };
        let free = |worker: &WorkerName| self.placer.free(worker).unwrap_or_default();
        PreemptionPolicy::default().choose(&preemptor, victims, free)
    }

    fn order_preemptions(
        &self,
        leader_state: &mut LeaderState,
        now: Millis,
        job: &QueuedJob,
        actions: &[PreemptAction],
    ) {
        let mut free_by_worker = BTreeMap::new();
        for action in actions {
            match action.method {
                PreemptMethod::Checkpoint => self.send_checkpoint(leader_state, now, action.task),
                PreemptMethod::Stop => self.stop_attempt(leader_state, now, action.task),
                PreemptMethod::Throttle => {
                    // Workers do not confirm a CPU limit, so the CPU that a limit would free cannot
                    // be assigned to the urgent job. Checkpoints as many tasks as needed instead.
                    let reserved = leader_state
                        .allocations
                        .get(&action.task)
                        .map(|allocation| allocation.reserved);
                    let free = free_by_worker
                        .entry(&action.worker)
                        .or_insert_with(|| self.placer.free(&action.worker).unwrap_or_default());
                    if !job.resources.fits(free) {
                        *free += reserved.unwrap_or_default();
                        self.send_checkpoint(leader_state, now, action.task);
                    }
                }
            }
        }
    }
}

/// Running tasks of less urgent classes.
fn victims(leader_state: &LeaderState, now: Millis) -> Vec<Victim> {
    leader_state
        .allocations
        .iter()
        .filter(|(_, allocation)| allocation.stage == Stage::Running && !allocation.is_end_proposed)
        .filter(|(_, allocation)| allocation.summary.class > Class::Urgent)
        .take(MAX_VICTIMS_PER_SEARCH)
        .map(|(task, allocation)| Victim {
            task: *task,
            worker: allocation.worker.clone(),
            class: allocation.summary.class,
            borrows: leader_state
                .queue
                .quotas()
                .team(&allocation.summary.team)
                .borrows(),
            workload: allocation.summary.spec.kind,
            resources: allocation.reserved,
            elapsed: now.since(allocation.placed_at),
            remaining: allocation
                .expected_end()
                .map_or(ASSUMED_WAIT, |end| end.since(now)),
            can_checkpoint: true,
        })
        .collect()
}
