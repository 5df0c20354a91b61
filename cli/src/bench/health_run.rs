use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet, VecDeque},
};

use tarragon_health::{HealthDecision, HealthTable};
use tarragon_names::{JobId, Millis, WorkerName};

use super::draw::Draw;

pub(crate) const WORKERS: usize = 500;
pub(crate) const SLOTS: usize = 4;
/// Part of the slots that are kept busy.
pub(crate) const BUSY: f64 = 0.9;
pub(crate) const RUN: f64 = 60_000.0;
pub(crate) const END: Millis = Millis(3_600_000);
pub(crate) const BREAKS: Millis = Millis(300_000);
pub(crate) const REPAIRED: Millis = Millis(2_400_000);
/// Attempts after which a job that fails is given up without a verdict.
const ATTEMPTS: u32 = 8;
/// Tasks of good jobs that fail quickly on good workers.
pub(crate) const NOISE: f64 = 0.005;

/// How failures are judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rule {
    /// The health table.
    Table,
    /// Quarantine after three quick failures in a row, whatever the jobs; ten minutes each.
    InARow,
    /// No quarantine.
    None,
}

/// An event loop over the health table with a virtual clock.
pub(crate) struct HealthRun {
    rule: Rule,
    table: HealthTable,
    draw: Draw,
    bad_workers: usize,
    bad_jobs: f64,
    names: Vec<WorkerName>,
    numbers: HashMap<WorkerName, usize>,
    now: Millis,
    /// One entry for each free slot.
    free: Vec<usize>,
    closed: HashSet<usize>,
    in_a_row: Vec<u32>,
    reopen: VecDeque<(Millis, usize)>,
    pending: VecDeque<Job>,
    ends: BinaryHeap<Reverse<End>>,
    next_job: u64,
    busy: usize,
    pub(crate) detected: HashMap<usize, Millis>,
    pub(crate) lost: u64,
    pub(crate) false_quarantines: u64,
    pub(crate) bad_seen: u64,
    pub(crate) bad_held: u64,
    pub(crate) bad_tries: u64,
    pub(crate) good_held: u64,
    pub(crate) good_given_up: u64,
    pub(crate) most_quarantined: usize,
    pub(crate) restored_after_repair: u64,
    pub(crate) ended_well: u64,
}

/// Time of an end, a number that orders ends at the same time, worker, job and outcome.
type End = (Millis, u64, usize, Job, Outcome);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Job {
    id: JobId,
    bad: bool,
    tries: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Outcome {
    Well,
    FailsQuickly,
}

impl HealthRun {
    pub(crate) fn new(rule: Rule, bad_workers: usize, bad_jobs: f64, seed: u64) -> Self {
        let names = (0..WORKERS)
            .map(|n| WorkerName::from(format!("worker-{n}")))
            .collect::<Vec<_>>();
        let table = HealthTable::default();
        for name in &names {
            table.add_worker(name);
        }
        Self {
            rule,
            table,
            draw: Draw::new(seed),
            bad_workers,
            bad_jobs,
            numbers: names.iter().cloned().zip(0..).collect(),
            names,
            now: Millis(0),
            free: (0..WORKERS * SLOTS).map(|n| n / SLOTS).collect(),
            closed: HashSet::new(),
            in_a_row: vec![0; WORKERS],
            reopen: VecDeque::new(),
            pending: VecDeque::new(),
            ends: BinaryHeap::new(),
            next_job: 0,
            busy: 0,
            detected: HashMap::new(),
            lost: 0,
            false_quarantines: 0,
            bad_seen: 0,
            bad_held: 0,
            bad_tries: 0,
            good_held: 0,
            good_given_up: 0,
            most_quarantined: 0,
            restored_after_repair: 0,
            ended_well: 0,
        }
    }

    pub(crate) fn run(&mut self) {
        self.fill();
        while let Some(Reverse((time, _, worker, job, outcome))) = self.ends.pop() {
            if time > END {
                return;
            }
            self.now = time;
            self.busy -= 1;
            self.free.push(worker);
            self.ended(worker, job, outcome);
            while let Some((at, worker)) = self.reopen.front().copied()
                && at <= time
            {
                self.reopen.pop_front();
                self.closed.remove(&worker);
            }
            self.probe();
            self.fill();
        }
    }

    fn is_broken(&self, worker: usize) -> bool {
        worker < self.bad_workers && self.now >= BREAKS && self.now < REPAIRED
    }

    /// Starts tasks until the usual number of slots is busy.
    fn fill(&mut self) {
        while self.busy < (WORKERS as f64 * SLOTS as f64 * BUSY) as usize {
            let job = self.take_job();
            let failed_on = if self.rule == Rule::Table {
                self.table.workers_with_failure(job.id)
            } else {
                Vec::new()
            };
            let slot = (0..64)
                .map(|_| self.draw.index(self.free.len()))
                .find(|slot| {
                    let worker = self.free[*slot];
                    !self.closed.contains(&worker) && !failed_on.contains(&self.names[worker])
                });
            let Some(slot) = slot else {
                self.pending.push_front(job);
                return;
            };
            let worker = self.free.swap_remove(slot);
            self.start(worker, job);
        }
    }

    fn take_job(&mut self) -> Job {
        self.pending.pop_front().unwrap_or_else(|| {
            self.next_job += 1;
            let bad = self.draw.chance(self.bad_jobs);
            self.bad_seen += u64::from(bad);
            Job {
                id: JobId(self.next_job),
                bad,
                tries: 0,
            }
        })
    }

    fn start(&mut self, worker: usize, mut job: Job) {
        job.tries += 1;
        self.bad_tries += u64::from(job.bad);
        self.busy += 1;
        let fails = job.bad || self.is_broken(worker) || self.draw.chance(NOISE);
        let (time, outcome) = if fails {
            (100 + self.draw.below(900), Outcome::FailsQuickly)
        } else {
            (1_000 + self.draw.exponential(RUN) as u64, Outcome::Well)
        };
        let end = self.now + Millis(time);
        let order = self.draw.below(u64::MAX);
        self.ends.push(Reverse((end, order, worker, job, outcome)));
    }

    fn ended(&mut self, worker: usize, job: Job, outcome: Outcome) {
        let name = self.names[worker].clone();
        if outcome == Outcome::Well {
            self.ended_well += 1;
            self.in_a_row[worker] = 0;
            let verdicts = self.table.record_success(&name, job.id, self.now);
            self.table.forget_job(job.id);
            self.obey(verdicts, job);
            return;
        }
        if !job.bad {
            self.lost += 1;
        }
        let mut held = false;
        match self.rule {
            Rule::Table => {
                let verdicts = self.table.record_failure(&name, job.id, self.now, true);
                held = verdicts
                    .iter()
                    .any(|verdict| matches!(verdict, HealthDecision::FailJob { .. }));
                self.obey(verdicts, job);
            }
            Rule::InARow => {
                self.in_a_row[worker] += 1;
                if self.in_a_row[worker] >= 3 && !self.closed.contains(&worker) {
                    self.in_a_row[worker] = 0;
                    self.close(worker);
                    self.reopen.push_back((self.now + Millis(600_000), worker));
                }
            }
            Rule::None => {}
        }
        if held {
            return;
        }
        if job.tries >= ATTEMPTS {
            self.good_given_up += u64::from(!job.bad);
        } else {
            self.pending.push_back(job);
        }
    }

    fn close(&mut self, worker: usize) {
        self.closed.insert(worker);
        self.most_quarantined = self.most_quarantined.max(self.closed.len());
        if self.is_broken(worker) {
            self.detected.entry(worker).or_insert(self.now);
        } else {
            self.false_quarantines += 1;
        }
    }

    fn obey(&mut self, verdicts: Vec<HealthDecision>, job: Job) {
        if self.rule != Rule::Table {
            return;
        }
        for verdict in verdicts {
            match verdict {
                HealthDecision::Quarantine { worker, .. } => self.close(self.numbers[&worker]),
                HealthDecision::Restore { worker } => {
                    let worker = self.numbers[&worker];
                    self.closed.remove(&worker);
                    self.restored_after_repair += u64::from(worker < self.bad_workers);
                }
                HealthDecision::FailJob { .. } if job.bad => self.bad_held += 1,
                HealthDecision::FailJob { .. } => self.good_held += 1,
            }
        }
    }

    /// Starts one task on each quarantined worker that is due for a probe.
    fn probe(&mut self) {
        for name in self.table.take_due_probes(self.now, 8) {
            let worker = self.numbers[&name];
            let Some(slot) = self.free.iter().position(|free| *free == worker) else {
                self.table.cancel_probe(&name, self.now);
                continue;
            };
            self.free.swap_remove(slot);
            let job = self.take_job();
            self.start(worker, job);
        }
    }
}
