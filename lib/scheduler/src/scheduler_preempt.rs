//! Running work that gives way to urgent jobs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tarragon_names::{Class, Millis, WorkerName, Workload};
use tarragon_queue::{
    PreemptAction, PreemptMethod, PreemptionPolicy, Preemptor, QueuedJob, Victim,
};

use crate::{Scheduler, hold::Stage, lead::Lead};

/// Running tasks that one search looks at.
const VICTIMS: usize = 4_096;

/// Urgent jobs that one search makes room for.
const CLAIMS: usize = 32;

/// Time between two searches; each takes milliseconds when the cell is full.
const SEARCH_EVERY: Millis = Millis(250);

/// Assumed wait of a job for which no end of running work is known, and assumed rest of a task.
const UNKNOWN_WAIT: Millis = Millis(60_000);

impl Scheduler {
    /// Makes running work of lower classes give way to the urgent jobs among those that do not fit.
    pub(crate) fn preempt(&self, lead: &mut Lead, now: Millis, unfit: &[Arc<QueuedJob>]) {
        let every = self.cfg.preempt_every;
        lead.preempted.retain(|_, at| now.since(*at) < every);
        let claims = unfit
            .iter()
            .filter(|job| job.class == Class::Urgent && !lead.preempted.contains_key(&job.job))
            .take(CLAIMS)
            .collect::<Vec<_>>();
        let recent = lead.searched.is_some_and(|at| now.since(at) < SEARCH_EVERY);
        if claims.is_empty() || recent {
            return;
        }
        lead.searched = Some(now);
        let mut victims = victims(lead, now);
        for job in claims {
            let actions = self.make_room(lead, now, job, &victims);
            if actions.is_empty() {
                continue;
            }
            lead.preempted.insert(job.job, now);
            // What a worker frees for one job cannot serve the next one too.
            let used = actions.iter().map(|action| &action.worker);
            let used = used.collect::<BTreeSet<_>>();
            victims.retain(|victim| !used.contains(&victim.worker));
            self.give_way(lead, now, job, &actions);
        }
    }

    fn make_room(
        &self,
        lead: &Lead,
        now: Millis,
        job: &QueuedJob,
        victims: &[Victim],
    ) -> Vec<PreemptAction> {
        let room = self.placer.count_fitting_tasks(&job.resources, job.tasks);
        let head = lead.head.as_ref().filter(|head| head.job == job.job);
        let claim = Preemptor {
            class: job.class,
            borrows: lead.queue.quotas().team(&job.team).borrows(),
            resources: job.resources,
            tasks: job.tasks.saturating_sub(room),
            all_or_nothing: job.workload == Workload::AllOrNothing,
            expected_wait: head.map_or(UNKNOWN_WAIT, |head| head.at.since(now)),
        };
        let free = |worker: &WorkerName| self.placer.free(worker).unwrap_or_default();
        PreemptionPolicy::default().choose(&claim, victims, free)
    }

    fn give_way(&self, lead: &mut Lead, now: Millis, job: &QueuedJob, actions: &[PreemptAction]) {
        let mut room = BTreeMap::new();
        for action in actions {
            match action.method {
                PreemptMethod::Checkpoint => self.send_checkpoint(lead, now, action.task),
                PreemptMethod::Stop => self.stop_hold(lead, now, action.task),
                PreemptMethod::Throttle => {
                    // A worker does not confirm a limit, so the processor time that it would free
                    // must not be given away. As many tasks as needed checkpoint instead.
                    let freed = lead.holds.get(&action.task).map(|hold| hold.reserved);
                    let room = room
                        .entry(&action.worker)
                        .or_insert_with(|| self.placer.free(&action.worker).unwrap_or_default());
                    if !job.resources.fits(room) {
                        *room += freed.unwrap_or_default();
                        self.send_checkpoint(lead, now, action.task);
                    }
                }
            }
        }
    }
}

/// Running tasks of classes below the urgent one.
fn victims(lead: &Lead, now: Millis) -> Vec<Victim> {
    lead.holds
        .iter()
        .filter(|(_, hold)| hold.stage == Stage::Running && !hold.ending)
        .filter(|(_, hold)| hold.brief.class > Class::Urgent)
        .take(VICTIMS)
        .map(|(task, hold)| Victim {
            task: *task,
            worker: hold.worker.clone(),
            class: hold.brief.class,
            borrows: lead.queue.quotas().team(&hold.brief.team).borrows(),
            workload: hold.brief.spec.kind,
            resources: hold.reserved,
            elapsed: now.since(hold.since),
            remaining: hold.ends().map_or(UNKNOWN_WAIT, |ends| ends.since(now)),
            can_checkpoint: true,
        })
        .collect()
}
