use std::collections::{BTreeMap, BTreeSet};

use tarragon_dispatch::{FinishedRun, StartOrder};
use tarragon_names::Name;
use tarragon_workflow::{JobKey, JobPhase, RunEnd, TaskKey, WorkerIncarnation};

use super::{JobPlan, MAX_ATTEMPTS};

/// What must hold for the jobs and runs, whatever happens.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rule {
    /// A job fails only if a task or gang has failed in `MAX_ATTEMPTS` listed runs and is not done.
    FailedWithoutCause,
    /// A job has failed once so many failed runs of a task or gang are acknowledged.
    NotFailed,
    /// No run starts after `MAX_ATTEMPTS` acknowledged failed runs of its task.
    Budget,
    /// No run starts after an acknowledged end `done` of its task or gang.
    StartAfterDone,
    /// Two runs of a task do not go on at the same time.
    Twice,
    /// A job is completed only if all its tasks have ended `done`.
    CompletedEarly,
    /// No run starts before all tasks of the earlier steps have ended `done`.
    Order,
    /// A start order carries only a checkpoint that a run of its task or gang has saved.
    ForeignCheckpoint,
    /// All start orders of a run of a gang carry the same checkpoint.
    MixedCheckpoints,
    /// A start order carries no older checkpoint than that of an earlier order for a lower run. The
    /// rules of the users ask only for a checkpoint of the task; an older one repeats work.
    OlderCheckpoint,
    /// All jobs and runs end within a bounded time after the faults, and all ends are acknowledged.
    Unfinished,
}

/// A broken rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub detail: String,
}

#[expect(clippy::struct_excessive_bools, reason = "each is an independent fact")]
#[derive(Clone, Debug)]
struct EndFact {
    /// Position in the order of all starts and ends.
    at: u64,
    task: TaskKey,
    run: u32,
    end: RunEnd,
    /// Whether an answer with the end has reached a leader.
    is_listed: bool,
    /// Whether a leader has sent an acknowledgement.
    is_acknowledged: bool,
    /// Whether an acknowledgement has reached the worker.
    is_received: bool,
    /// Whether the lease of the worker expired before that. The end then counts as not taken note of.
    is_lapsed: bool,
}

#[derive(Clone, Debug)]
struct Checkpoint {
    unit: TaskKey,
    run: u32,
    work_ms: u64,
}

#[derive(Clone, Debug)]
struct StartFact {
    at: u64,
    task: TaskKey,
    run: u32,
}

/// Judges the jobs and runs by what the workers did and saw.
#[derive(Default)]
pub struct Observer {
    pub violations: Vec<Violation>,
    pub start_count: u64,
    jobs: BTreeMap<JobKey, JobPlan>,
    phases: BTreeMap<JobKey, JobPhase>,
    ends: BTreeMap<(WorkerIncarnation, u64), EndFact>,
    starts: Vec<StartFact>,
    running: BTreeMap<TaskKey, BTreeSet<(u32, WorkerIncarnation)>>,
    checkpoints: BTreeMap<Name, Checkpoint>,
    /// Checkpoints of the start orders, by task or gang and by run.
    ordered: BTreeMap<TaskKey, BTreeMap<u32, Option<Name>>>,
    last_at: u64,
}

impl Observer {
    pub fn add_job(&mut self, plan: JobPlan) {
        self.jobs.insert(plan.key, plan);
    }

    pub fn job(&self, key: JobKey) -> &JobPlan {
        &self.jobs[&key]
    }

    pub fn jobs(&self) -> impl Iterator<Item = &JobPlan> {
        self.jobs.values()
    }

    pub fn unit(&self, task: &TaskKey) -> TaskKey {
        self.jobs[&task.step.job].unit(task)
    }

    pub fn report(&mut self, rule: Rule, detail: String) {
        self.violations.push(Violation { rule, detail });
    }

    /// Records a checkpoint that a run has saved, and returns its name.
    pub fn saved(&mut self, task: &TaskKey, run: u32, work_ms: u64) -> Name {
        let unit = self.unit(task);
        let name = Name::from(format!("{}.{}/{run}/{work_ms}", unit.step, unit.index));
        let checkpoint = Checkpoint { unit, run, work_ms };
        self.checkpoints.insert(name.clone(), checkpoint);
        name
    }

    /// Work that a checkpoint holds.
    pub fn saved_work_ms(&self, checkpoint: Option<&Name>) -> u64 {
        let checkpoint = checkpoint.and_then(|name| self.checkpoints.get(name));
        checkpoint.map_or(0, |checkpoint| checkpoint.work_ms)
    }

    /// Run and work of a checkpoint; later ones are higher. Those of the members of one run of a gang
    /// count as equal: the protocol says that the value from any member is valid for the gang, and
    /// the leader cannot tell which is newer.
    fn position(&self, checkpoint: Option<&Name>) -> (u32, u64) {
        let checkpoint = checkpoint.and_then(|name| self.checkpoints.get(name));
        checkpoint.map_or((0, 0), |checkpoint| {
            let unit = &checkpoint.unit;
            let is_gang = self.job(unit.step.job).spec(unit).gang;
            (checkpoint.run, if is_gang { 0 } else { checkpoint.work_ms })
        })
    }

    /// Checks an order as the leader sends it.
    pub fn start_ordered(&mut self, order: &StartOrder) {
        let unit = self.unit(&order.task);
        let is_gang = self.job(order.task.step.job).spec(&order.task).gang;
        let context = || format!("{} run {}: {:?}", order.task, order.run, order.checkpoint);
        if let Some(name) = &order.checkpoint {
            let checkpoint = self.checkpoints.get(name);
            if checkpoint.is_none_or(|checkpoint| checkpoint.unit != unit) {
                self.report(Rule::ForeignCheckpoint, context());
            }
        }
        let runs = self.ordered.entry(unit).or_default().clone();
        let same_run = runs.get(&order.run);
        if is_gang && same_run.is_some_and(|first| *first != order.checkpoint) {
            self.report(
                Rule::MixedCheckpoints,
                format!("{}, {same_run:?}", context()),
            );
        }
        let position = self.position(order.checkpoint.as_ref());
        let mut lower = runs.range(..order.run);
        let newer = lower.find(|(_, other)| self.position(other.as_ref()) > position);
        if let Some((run, other)) = newer {
            let detail = format!("{}, run {run} had {other:?}", context());
            self.report(Rule::OlderCheckpoint, detail);
        }
        let runs = self.ordered.entry(unit).or_default();
        runs.entry(order.run).or_insert(order.checkpoint.clone());
    }

    /// Records that a worker has begun a run.
    pub fn started(&mut self, task: TaskKey, run: u32, incarnation: &WorkerIncarnation) {
        self.start_count += 1;
        self.last_at += 1;
        let at = self.last_at;
        self.starts.push(StartFact { at, task, run });
        let running = self.running.entry(task).or_default();
        if !running.is_empty() {
            let detail = format!("{task} run {run} on {incarnation} beside {running:?}");
            self.report(Rule::Twice, detail);
        }
        let running = self.running.entry(task).or_default();
        running.insert((run, incarnation.clone()));
        let plan = &self.jobs[&task.step.job];
        let earlier = &plan.spec(&task).depends_on;
        let tasks = plan.tasks().into_iter();
        let open = tasks.filter(|other| earlier.contains(&other.step.step));
        let open = open.filter(|other| !self.has_done_end(&plan.unit(other), |_| true));
        let open = open.collect::<Vec<_>>();
        if !open.is_empty() {
            self.report(Rule::Order, format!("{task} run {run} before {open:?}"));
        }
    }

    /// Records the end of a run that its worker lists from now on.
    pub fn ended(&mut self, incarnation: &WorkerIncarnation, finished: &FinishedRun) {
        self.last_at += 1;
        self.gone(finished.task, finished.run, incarnation);
        let fact = EndFact {
            at: self.last_at,
            task: finished.task,
            run: finished.run,
            end: finished.end,
            is_listed: false,
            is_acknowledged: false,
            is_received: false,
            is_lapsed: false,
        };
        self.ends
            .insert((incarnation.clone(), finished.number), fact);
    }

    /// Records that a run no longer goes on.
    pub fn gone(&mut self, task: TaskKey, run: u32, incarnation: &WorkerIncarnation) {
        if let Some(running) = self.running.get_mut(&task) {
            running.remove(&(run, incarnation.clone()));
        }
    }

    pub fn listed(&mut self, incarnation: &WorkerIncarnation, finished: &[FinishedRun]) {
        for end in finished {
            if let Some(fact) = self.ends.get_mut(&(incarnation.clone(), end.number)) {
                fact.is_listed = true;
            }
        }
    }

    /// Records that a leader has sent an acknowledgement of the ends up to `number`.
    pub fn acknowledged(&mut self, incarnation: &WorkerIncarnation, number: u64) {
        let first = (incarnation.clone(), 0);
        for (_, fact) in self.ends.range_mut(first..=(incarnation.clone(), number)) {
            fact.is_acknowledged = true;
        }
    }

    /// Records that the acknowledgement of the ends up to `number` has reached the worker.
    pub fn received(&mut self, incarnation: &WorkerIncarnation, number: u64) {
        let first = (incarnation.clone(), 0);
        for (_, fact) in self.ends.range_mut(first..=(incarnation.clone(), number)) {
            fact.is_received = true;
        }
    }

    /// Records that the lease of a worker has expired.
    pub fn lapsed(&mut self, incarnation: &WorkerIncarnation) {
        let first = (incarnation.clone(), 0);
        for (_, fact) in self.ends.range_mut(first..=(incarnation.clone(), u64::MAX)) {
            fact.is_lapsed |= !fact.is_received;
        }
    }

    /// Returns whether a leader has received an end that the worker still lists.
    pub fn has_listed_end(
        &self,
        incarnation: &WorkerIncarnation,
        finished: &[FinishedRun],
    ) -> bool {
        let mut facts = finished.iter().filter_map(|end| {
            let key = (incarnation.clone(), end.number);
            self.ends.get(&key)
        });
        facts.any(|fact| fact.is_listed)
    }

    fn ends_of<'a>(&'a self, unit: &'a TaskKey) -> impl Iterator<Item = &'a EndFact> {
        self.ends
            .values()
            .filter(|fact| self.unit(&fact.task) == *unit)
    }

    fn has_done_end<F>(&self, unit: &TaskKey, filter: F) -> bool
    where
        F: Fn(&EndFact) -> bool,
    {
        self.ends_of(unit)
            .any(|fact| fact.end == RunEnd::Done && filter(fact))
    }

    fn failed_runs<F>(&self, unit: &TaskKey, filter: F) -> u32
    where
        F: Fn(&EndFact) -> bool,
    {
        let ends = self.ends_of(unit);
        let failed = ends.filter(|fact| fact.end == RunEnd::Failed && filter(fact));
        failed.map(|fact| fact.run).collect::<BTreeSet<_>>().len() as u32
    }

    /// Number of failed runs of a task or gang, whether listed or not.
    pub fn failures(&self, unit: &TaskKey) -> u32 {
        self.failed_runs(unit, |_| true)
    }

    /// Checks the state of a job as callers read it.
    pub fn check_phase(&mut self, key: JobKey, phase: JobPhase) {
        let plan = self.jobs[&key].clone();
        let is_new = self.phases.insert(key, phase) != Some(phase);
        let units = || {
            plan.units
                .keys()
                .filter(|unit| !plan.spec(unit).long_running)
        };
        match phase {
            JobPhase::Failed if is_new => {
                let has_cause = units().any(|unit| {
                    self.failed_runs(unit, |fact| fact.is_listed) >= MAX_ATTEMPTS
                        && !self.has_done_end(unit, |fact| fact.is_acknowledged)
                });
                if !has_cause {
                    let failures = units().map(|unit| (*unit, self.failures(unit)));
                    let detail = format!("{key}: {:?}", failures.collect::<Vec<_>>());
                    self.report(Rule::FailedWithoutCause, detail);
                }
            }
            JobPhase::Completed if is_new => {
                let tasks = plan.tasks().into_iter();
                let open = tasks
                    .filter(|task| !self.has_done_end(&plan.unit(task), |fact| fact.is_listed));
                let open = open.collect::<Vec<_>>();
                if !open.is_empty() {
                    self.report(Rule::CompletedEarly, format!("{key}: {open:?}"));
                }
            }
            JobPhase::Pending | JobPhase::Running => {
                let overdue = units().find(|unit| {
                    self.failed_runs(unit, |fact| fact.is_acknowledged) >= MAX_ATTEMPTS
                        && !self.has_done_end(unit, |fact| fact.is_listed)
                });
                if let Some(unit) = overdue {
                    let detail = format!("{unit} failed often enough, {key} is {phase}");
                    if !self.violations.iter().any(|known| known.detail == detail) {
                        self.report(Rule::NotFailed, detail);
                    }
                }
            }
            _ => {}
        }
    }

    /// Checks the rules that depend on acknowledgements that came after the starts.
    pub fn finish(&mut self) {
        let counts = |fact: &EndFact| fact.is_received && !fact.is_lapsed;
        for start in self.starts.clone() {
            let plan = &self.jobs[&start.task.step.job];
            if plan.spec(&start.task).long_running {
                continue;
            }
            let unit = plan.unit(&start.task);
            let context = || format!("{} run {}", start.task, start.run);
            let is_before = |fact: &EndFact| counts(fact) && fact.at < start.at;
            let is_late = self.has_done_end(&unit, is_before);
            let of_task = |fact: &EndFact| is_before(fact) && fact.task == start.task;
            let failures = self.failed_runs(&unit, of_task);
            if is_late {
                self.report(Rule::StartAfterDone, context());
            }
            if failures >= MAX_ATTEMPTS {
                self.report(
                    Rule::Budget,
                    format!("{} after {failures} failures", context()),
                );
            }
        }
    }
}
