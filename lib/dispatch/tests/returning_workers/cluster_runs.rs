use std::collections::BTreeMap;

use tarragon_workflow::{RunEnd, StepKey, TaskKey};

use super::{Draw, ModelWorker, Observer, simulation::TICK_MS};

/// Time for which the members of a gang wait for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 5_000;

/// Work between two checkpoints, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 400;

/// Chance in a tick that a task that lasts fails, in thousandths.
const LASTING_FAILURE_PERMILLE: u64 = 4;

/// A run on the worker with this index.
type Placed = (usize, (TaskKey, u32));

/// Lets the runs on all workers work, and ends them as the protocol tells.
#[derive(Default)]
pub struct ClusterRuns {
    /// Gangs whose members have all been present, by step and run.
    begun_gangs: BTreeMap<(StepKey, u32), bool>,
}

impl ClusterRuns {
    pub fn advance(
        &mut self,
        now: u64,
        workers: &mut [ModelWorker],
        observer: &mut Observer,
        draw: &mut Draw,
    ) {
        for (index, worker) in workers.iter_mut().enumerate() {
            let is_lapsed = worker.is_up && worker.expire_lease(now);
            if is_lapsed {
                observer.lapsed(worker.incarnation());
            }
            let keys = worker.runs.keys().copied().collect::<Vec<_>>();
            for key in keys {
                let stops_at = worker.runs[&key].stops_at;
                if is_lapsed {
                    end(worker, (index, key), RunEnd::Lapsed, observer);
                } else if stops_at.is_some_and(|at| at <= now) {
                    save_checkpoint(worker, key, observer);
                    end(worker, (index, key), RunEnd::Stopped, observer);
                }
            }
        }
        let mut groups = BTreeMap::<(TaskKey, u32), Vec<Placed>>::new();
        for (index, worker) in workers.iter().enumerate() {
            for key in worker.runs.keys() {
                let group = (observer.unit(&key.0), key.1);
                groups.entry(group).or_default().push((index, *key));
            }
        }
        for ((unit, run), members) in groups {
            let plan = observer.job(unit.step.job);
            let spec = plan.spec(&unit).clone();
            let is_ready = |(index, key): &Placed| workers[*index].runs[key].can_work(now);
            if spec.gang {
                let is_whole = members.len() >= spec.count as usize;
                let has_begun = self.begun_gangs.entry((unit.step, run)).or_default();
                let outcome = if is_whole {
                    *has_begun |= members.iter().all(is_ready);
                    None
                } else if *has_begun {
                    Some(RunEnd::Broken)
                } else {
                    let oldest = members
                        .iter()
                        .map(|(i, key)| workers[*i].runs[key].started_at);
                    let waits = oldest.min().is_some_and(|at| now < at + GANG_TIMEOUT_MS);
                    (!waits).then_some(RunEnd::Alone)
                };
                if let Some(outcome) = outcome {
                    for member in members {
                        end(&mut workers[member.0], member, outcome, observer);
                    }
                } else if is_whole && members.iter().all(is_ready) {
                    work(&members, workers, observer, draw);
                }
            } else {
                let ready = members.into_iter().filter(is_ready).collect::<Vec<_>>();
                for member in ready {
                    work(&[member], workers, observer, draw);
                }
            }
        }
    }
}

/// Lets a run, or all members of a run of a gang, work for a tick.
fn work(members: &[Placed], workers: &mut [ModelWorker], observer: &mut Observer, draw: &mut Draw) {
    let (_, (task, _)) = members[0];
    let unit = observer.unit(&task);
    let job = observer.job(task.step.job);
    let (spec, plan) = (job.spec(&task).clone(), job.units[&unit].clone());
    let fails_by_itself = observer.failures(&unit) < plan.planned_failures;
    let mut is_done = false;
    let mut failed = 0;
    for (index, key) in members.iter().copied() {
        let worker = &mut workers[index];
        let Some(run) = worker.runs.get_mut(&key) else {
            continue;
        };
        run.work_ms += TICK_MS;
        run.own_work_ms += TICK_MS;
        let is_workers_fault = run
            .worker_fails_after_ms
            .is_some_and(|at| run.own_work_ms >= at);
        let has_failed = if spec.long_running {
            draw.below(1_000) < LASTING_FAILURE_PERMILLE
        } else {
            fails_by_itself
                && run.own_work_ms >= plan.fails_after_ms
                && failed < plan.failing_members
        };
        is_done |= run.total_ms.is_some_and(|total| run.work_ms >= total);
        let is_due = run.work_ms >= run.saved_work_ms + CHECKPOINT_INTERVAL_MS;
        if spec.checkpointing && is_due {
            save_checkpoint(worker, key, observer);
        }
        if has_failed || is_workers_fault {
            failed += 1;
            end(worker, (index, key), RunEnd::Failed, observer);
        }
    }
    if is_done && failed == 0 {
        for member in members {
            end(&mut workers[member.0], *member, RunEnd::Done, observer);
        }
    }
}

fn save_checkpoint(worker: &mut ModelWorker, key: (TaskKey, u32), observer: &mut Observer) {
    let is_checkpointing = observer.job(key.0.step.job).spec(&key.0).checkpointing;
    let Some(run) = worker.runs.get_mut(&key) else {
        return;
    };
    if is_checkpointing && run.work_ms > run.saved_work_ms {
        run.saved_work_ms = run.work_ms;
        run.saved = Some(observer.saved(&key.0, key.1, run.work_ms));
    }
}

fn end(worker: &mut ModelWorker, (_, key): Placed, end: RunEnd, observer: &mut Observer) {
    if let Some(finished) = worker.end_run(key, end) {
        observer.ended(worker.incarnation(), &finished);
    }
}
