use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use tarragon_names::{Class, JobId, Millis, Name, Resources, TaskId, WorkerName, Workload};
use tarragon_placement::{
    ExpectedEnds, FirstFit, HeadReservation, IndexedPlacer, PlaceRequest, Placer,
};
use tarragon_queue::{
    JobQueue, PreemptMethod, PreemptionPolicy, Preemptor, QueueConfig, QueuedJob, Quota, Victim,
};
use tarragon_sizing::{Estimator, Usage};

use super::{
    draw::Draw,
    job_mix::{Errors, JobMix, JobShape, JobSort},
};

/// Time from an order to the release of a task that writes a checkpoint or that stops.
pub(crate) const CHECKPOINT_DELAY: Millis = Millis(1_000);
pub(crate) const STOP_DELAY: Millis = Millis(100);

/// Run time that a checkpoint and the later restart add.
const CHECKPOINT_COST: Millis = Millis(10_000);
/// Jobs that one pass over the queue tries.
const LOOKAHEAD: usize = 64;
/// Waiting jobs for which one pass makes room.
const URGENT_AT_ONCE: usize = 8;
/// Time for which a reservation of the head is kept before it is planned anew.
const PLAN_EVERY: Millis = Millis(1_000);
/// Wait that preemption assumes if no reservation is possible.
const UNKNOWN_WAIT: Millis = Millis(60_000);

/// Longest wait that is told apart, in milliseconds.
const DAY: u64 = 24 * 3_600_000;

/// What decides the order and the worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// Queue, indexed placer, estimator, reservation in time, backfill and preemption.
    Product,
    /// First come, first served with first fit and declared sizes.
    Baseline,
}

impl Policy {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::Baseline => "baseline",
        }
    }
}

/// What became of the work of one class.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) waits: Histogram<u64>,
    pub(crate) deadlines: u64,
    pub(crate) met: u64,
    /// Tasks that still waited for their first start at the end; counted with the wait so far.
    pub(crate) not_started: u64,
}

/// An event loop over the decision code only: no messages, no failures, no delays of the control.
pub(crate) struct WaitingRun<'a> {
    mix: &'a JobMix,
    policy: Policy,
    errors: Errors,
    /// Mean time between two jobs.
    gap: f64,
    draw: Draw,
    now: Millis,
    warm: Millis,
    end: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    sequence: u64,
    placer: Box<dyn Placer>,
    queue: JobQueue,
    fifo: VecDeque<JobId>,
    estimator: Estimator,
    horizon: ExpectedEnds,
    held: Option<Arc<HeadReservation>>,
    planned: Option<(JobId, Millis)>,
    /// Jobs for which work was last told to give way, and when.
    making_room: HashMap<JobId, Millis>,
    jobs: HashMap<JobId, Job>,
    running: BTreeMap<TaskId, Running>,
    /// Parts of processor and memory that were used, times milliseconds.
    used_time: [f64; 2],
    pub(crate) outcomes: [Outcome; Class::ALL.len()],
    pub(crate) preempted: u64,
    pub(crate) stopped: u64,
    /// Whether the case reached its end within the time limit.
    pub(crate) complete: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// End of a task by itself; void if the task was started again since.
    End(TaskId, u64),
    /// Release of a task that gave way.
    GaveWay(TaskId, u64),
}

struct Job {
    shape: JobShape,
    since: Millis,
    deadline: Option<Millis>,
    known: Resources,
    /// Tasks that wait, with the run time that is left.
    waiting: Vec<(u32, Millis)>,
    /// Tasks that did not start yet.
    fresh: u32,
    /// Tasks that did not end yet.
    left: u32,
}

struct Running {
    worker: WorkerName,
    held: Resources,
    start: Millis,
    run: Millis,
    sequence: u64,
    /// Run time that is left after it gave way; `None` unless it was told to.
    rest: Option<Millis>,
}

impl<'a> WaitingRun<'a> {
    pub(crate) fn new(
        mix: &'a JobMix,
        policy: Policy,
        errors: Errors,
        load: f64,
        seed: u64,
    ) -> Self {
        let placer: Box<dyn Placer> = match policy {
            Policy::Product => Box::new(IndexedPlacer::new(mix.deployment.weights)),
            Policy::Baseline => Box::new(FirstFit::new()),
        };
        mix.deployment.fill(&*placer);
        let queue = JobQueue::new(QueueConfig::default());
        let total = mix.deployment.total();
        for sort in &mix.sorts {
            let part = |amount| amount * sort.percent / 100;
            let share = Resources::new(part(total.cpu_milli), part(total.memory_mb), 0);
            queue.set_quota(&sort.name.into(), Quota::new(share));
        }
        Self {
            mix,
            policy,
            errors,
            gap: mix.mean_work() / load,
            draw: Draw::new(seed),
            now: Millis(0),
            warm: Millis(0),
            end: Millis(0),
            events: BinaryHeap::new(),
            sequence: 0,
            placer,
            queue,
            fifo: VecDeque::new(),
            estimator: Estimator::new(),
            horizon: ExpectedEnds::new(),
            held: None,
            planned: None,
            making_room: HashMap::new(),
            jobs: HashMap::new(),
            running: BTreeMap::new(),
            used_time: [0.0; 2],
            outcomes: Class::ALL.map(|_| Outcome {
                waits: Histogram::new_with_bounds(1, DAY, 3).expect("the bounds are valid"),
                deadlines: 0,
                met: 0,
                not_started: 0,
            }),
            preempted: 0,
            stopped: 0,
            complete: false,
        }
    }

    /// Runs for `length` of virtual time, at most for `limit` of real time.
    pub(crate) fn run(&mut self, length: Millis, limit: Duration) {
        let begun = Instant::now();
        (self.warm, self.end) = (Millis(length.0 / 4), length);
        self.schedule(Millis(0), Event::Arrive);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > self.end || begun.elapsed() > limit {
                self.complete = time > self.end;
                break;
            }
            self.now = time;
            match event {
                Event::Arrive => self.arrive(),
                Event::End(task, sequence) => self.ended(task, sequence),
                Event::GaveWay(task, sequence) => self.gave_way(task, sequence),
            }
            match self.policy {
                Policy::Product => self.place_in_order(),
                Policy::Baseline => self.place_first_come(),
            }
        }
        self.now = self.now.max(self.end);
        let running = self.running.iter();
        let running = running.map(|(task, running)| (*task, running.sequence));
        for (task, sequence) in running.collect::<Vec<_>>() {
            self.release(task, sequence);
        }
        self.count_waiting();
    }

    /// Work done over the capacity of the measured time, in the resource used most.
    pub(crate) fn used_share(&self) -> f64 {
        let [cpu, memory] = self.used_time;
        cpu.max(memory) / self.end.since(self.warm).0.max(1) as f64
    }

    fn schedule(&mut self, time: Millis, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn sort(&self, shape: &JobShape) -> &'a JobSort {
        &self.mix.sorts[shape.sort]
    }

    fn arrive(&mut self) {
        let gap = self.draw.exponential(self.gap).ceil().max(1.0) as u64;
        self.schedule(self.now + Millis(gap), Event::Arrive);
        let shape = self.mix.draw(&mut self.draw, self.errors);
        let sort = self.sort(&shape);
        let id = JobId(self.sequence);
        let job = Job {
            since: self.now,
            deadline: sort.slack.map(|slack| self.now + shape.run + slack),
            known: Resources::ZERO,
            waiting: (0..shape.tasks).map(|index| (index, shape.run)).collect(),
            fresh: shape.tasks,
            left: shape.tasks,
            shape,
        };
        self.jobs.insert(id, job);
        self.enqueue(id);
    }

    fn enqueue(&mut self, id: JobId) {
        if self.policy == Policy::Baseline {
            self.fifo.push_back(id);
            return;
        }
        let job = &self.jobs[&id];
        let sort = self.sort(&job.shape);
        let entry = Name::from(sort.name);
        let limit = self.mix.deployment.capacity;
        let size = self
            .estimator
            .reservation(&entry, &job.shape.declared, &limit);
        let run = self
            .estimator
            .run_time(&entry, job.shape.declared_run, Millis(0));
        let queued = QueuedJob {
            job: id,
            team: sort.name.into(),
            class: sort.class,
            deadline: job.deadline,
            workload: sort.kind,
            resources: size.max(&job.known),
            tasks: job.waiting.len() as u32,
            run_time: run,
            accepted_at: job.since,
        };
        self.queue.remove(id);
        self.queue
            .push(queued)
            .expect("the queue holds all jobs of a case");
    }

    fn place_first_come(&mut self) {
        while let Some(&id) = self.fifo.front() {
            let job = &self.jobs[&id];
            let size = job.shape.declared.max(&job.known);
            let kind = self.sort(&job.shape).kind;
            let tasks = job.waiting.len() as u32;
            let workers = self
                .placer
                .place(&PlaceRequest::new(tasks, size, kind))
                .workers;
            self.start(id, size, Millis(0), workers);
            if self
                .jobs
                .get(&id)
                .is_some_and(|job| !job.waiting.is_empty())
            {
                return;
            }
            self.fifo.pop_front();
        }
    }

    /// Tries the first jobs in order; the first that does not fit gets a reservation, and only
    /// what follows it has to respect that.
    fn place_in_order(&mut self) {
        loop {
            let free = self.placer.largest_free();
            let mut placed = false;
            let mut behind = false;
            let mut unfit = Vec::<(Resources, Workload)>::new();
            let mut waiting = Vec::new();
            for job in self.queue.candidates(self.now, LOOKAHEAD) {
                behind |= !waiting.is_empty();
                // What is at least as large as something that did not fit does not fit either.
                let smaller = |(size, kind): &(Resources, Workload)| {
                    *kind == job.workload && size.fits(&job.resources)
                };
                if job.resources.fits(&free) && !unfit.iter().any(smaller) {
                    if self.place_job(&job, behind) {
                        placed = true;
                        continue;
                    }
                    if job.workload == Workload::Batch {
                        unfit.push((job.resources, Workload::AllOrNothing));
                        unfit.push((job.resources, Workload::Batch));
                    }
                }
                if waiting.is_empty() {
                    self.plan(&job);
                }
                waiting.push(job);
            }
            if waiting.is_empty() {
                self.held = None;
            }
            for (n, job) in waiting.iter().take(URGENT_AT_ONCE).enumerate() {
                // Room for a whole job is of use only if it is reserved, which it is for the head.
                let usable = n == 0 || job.workload != Workload::AllOrNothing;
                if job.class == Class::Urgent && usable && self.queue.contains(job.job) {
                    self.preempt(job);
                }
            }
            if !placed {
                return;
            }
        }
    }

    fn place_job(&mut self, job: &QueuedJob, behind: bool) -> bool {
        let mut req = PlaceRequest::new(job.tasks, job.resources, job.workload);
        req.ends_by = Some(self.now + job.run_time);
        req.head_reservation = self.held.clone().filter(|_| behind);
        let workers = self.placer.place(&req).workers;
        if workers.is_empty() {
            return false;
        }
        self.queue.remove(job.job);
        self.start(job.job, job.resources, job.run_time, workers);
        if !self.jobs[&job.job].waiting.is_empty() {
            self.enqueue(job.job);
        }
        true
    }

    /// Starts one waiting task of a job on each worker.
    fn start(&mut self, id: JobId, size: Resources, planned: Millis, workers: Vec<WorkerName>) {
        for worker in workers {
            let Some(job) = self.jobs.get_mut(&id) else {
                return;
            };
            let over = job.shape.size.saturating_sub(&size);
            if over != Resources::ZERO && !self.placer.reserve(&worker, &over) {
                // The task uses more than is reserved and than the worker can add, so it stops.
                self.placer.release(&worker, &(size + over));
                job.known = job.shape.size;
                self.stopped += 1;
                continue;
            }
            let Some((index, run)) = job.waiting.pop() else {
                return;
            };
            let held = size + over;
            if job.fresh > 0 {
                job.fresh -= 1;
                let wait = self.now.since(job.since).0;
                if job.since >= self.warm {
                    let class = self.mix.sorts[job.shape.sort].class;
                    self.outcomes[class as usize].waits.saturating_record(wait);
                }
            }
            let task = TaskId { job: id, index };
            let team = self.mix.sorts[job.shape.sort].name.into();
            self.queue.add_usage(&team, &held);
            self.horizon.record(&worker, task, held, self.now + planned);
            self.schedule(self.now + run, Event::End(task, self.sequence + 1));
            let running = Running {
                worker,
                held,
                start: self.now,
                run,
                sequence: self.sequence,
                rest: None,
            };
            self.running.insert(task, running);
        }
    }

    fn release(&mut self, task: TaskId, sequence: u64) -> Option<Running> {
        if self.running.get(&task)?.sequence != sequence {
            return None;
        }
        let running = self.running.remove(&task)?;
        self.placer.release(&running.worker, &running.held);
        self.horizon.remove(&running.worker, &task);
        let job = &self.jobs[&task.job];
        let sort = self.sort(&job.shape);
        self.queue.subtract_usage(&sort.name.into(), &running.held);
        let total = self.mix.deployment.total();
        let cpu = job.shape.size.cpu_milli as f64 / total.cpu_milli as f64;
        let memory = job.shape.size.memory_mb as f64 / total.memory_mb as f64;
        let ran = self.now.since(running.start.max(self.warm)).0 as f64;
        self.used_time[0] += cpu * ran;
        self.used_time[1] += memory * ran;
        Some(running)
    }

    fn ended(&mut self, task: TaskId, sequence: u64) {
        let Some(running) = self.release(task, sequence) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.left -= 1;
        let sort = &self.mix.sorts[job.shape.sort];
        let whole = running.run == job.shape.run;
        let usage = Usage {
            peak: job.shape.size,
            run_time: whole.then_some(job.shape.run),
        };
        self.estimator
            .report(&sort.name.into(), &job.shape.declared, &usage);
        if job.left == 0 {
            let outcome = &mut self.outcomes[sort.class as usize];
            if let Some(deadline) = job.deadline.filter(|_| job.since >= self.warm) {
                outcome.deadlines += 1;
                outcome.met += u64::from(self.now <= deadline);
            }
            self.jobs.remove(&task.job);
            self.making_room.remove(&task.job);
        }
    }

    fn gave_way(&mut self, task: TaskId, sequence: u64) {
        let Some(running) = self.release(task, sequence) else {
            return;
        };
        if let (Some(rest), Some(job)) = (running.rest, self.jobs.get_mut(&task.job)) {
            job.waiting.push((task.index, rest));
            self.enqueue(task.job);
        }
    }

    fn plan(&mut self, head: &QueuedJob) {
        let kept = self
            .planned
            .is_some_and(|(job, at)| job == head.job && self.now.since(at) < PLAN_EVERY);
        if !kept {
            self.plan_now(head);
        }
    }

    fn plan_now(&mut self, head: &QueuedJob) {
        self.planned = Some((head.job, self.now));
        let req = PlaceRequest::new(head.tasks, head.resources, head.workload);
        self.held = self
            .horizon
            .plan_reservation(self.now, head.job, &req, &*self.placer)
            .map(Arc::new);
    }

    /// Makes running work of lower classes give way to an urgent job, once for each delay of a
    /// checkpoint.
    fn preempt(&mut self, job: &QueuedJob) {
        let recent = self.making_room.get(&job.job);
        if recent.is_some_and(|at| self.now.since(*at) <= CHECKPOINT_DELAY) {
            return;
        }
        let held = self.held.as_ref().filter(|held| held.job == job.job);
        let claim = Preemptor {
            class: job.class,
            borrows: self.queue.quotas().team(&job.team).borrows(),
            resources: job.resources,
            tasks: job.tasks - self.placer.count_fitting_tasks(&job.resources, job.tasks),
            all_or_nothing: job.workload == Workload::AllOrNothing,
            expected_wait: held.map_or(UNKNOWN_WAIT, |held| held.at.since(self.now)),
        };
        let victims = self
            .running
            .iter()
            .filter(|(_, running)| running.rest.is_none())
            .map(|(task, running)| {
                let sort = self.sort(&self.jobs[&task.job].shape);
                Victim {
                    task: *task,
                    worker: running.worker.clone(),
                    class: sort.class,
                    borrows: false,
                    workload: sort.kind,
                    resources: running.held,
                    elapsed: self.now.since(running.start),
                    remaining: (running.start + running.run).since(self.now),
                    can_checkpoint: true,
                }
            })
            .filter(|victim| victim.class > job.class)
            .collect::<Vec<_>>();
        let placer = &self.placer;
        let free = |worker: &WorkerName| placer.free(worker).unwrap_or_default();
        let actions = PreemptionPolicy::default().choose(&claim, &victims, free);
        if actions.is_empty() {
            return;
        }
        self.making_room.insert(job.job, self.now);
        for action in actions {
            let Some(running) = self.running.get_mut(&action.task) else {
                continue;
            };
            let left = (running.start + running.run).since(self.now);
            let (rest, delay) = match action.method {
                PreemptMethod::Stop => (running.run, STOP_DELAY),
                PreemptMethod::Throttle | PreemptMethod::Checkpoint => {
                    (left + CHECKPOINT_COST, CHECKPOINT_DELAY)
                }
            };
            running.rest = Some(rest);
            let (sequence, end) = (running.sequence, self.now + delay);
            // The reservation of the claimant is planned with what gives way, which keeps other
            // work from taking the room.
            self.horizon
                .record(&running.worker, action.task, running.held, end);
            self.preempted += 1;
            self.schedule(end, Event::GaveWay(action.task, sequence));
        }
        if self.planned.is_some_and(|(head, _)| head == job.job) {
            self.plan_now(job);
        }
    }

    fn count_waiting(&mut self) {
        for job in self.jobs.values().filter(|job| job.since >= self.warm) {
            let class = self.mix.sorts[job.shape.sort].class;
            let outcome = &mut self.outcomes[class as usize];
            let wait = self.now.since(job.since).0;
            outcome.not_started += u64::from(job.fresh);
            for _ in 0..job.fresh {
                outcome.waits.saturating_record(wait);
            }
            if job.deadline.is_some_and(|deadline| deadline < self.now) {
                outcome.deadlines += 1;
            }
        }
    }
}
