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
    class_outcome::ClassOutcome,
    job_mix::{DeclarationErrors, JobMix, JobProfile, JobShape},
    policy::Policy,
    seeded_rng::SeededRng,
};

/// Time from a preemption order until a task that writes a checkpoint releases its resources.
pub(crate) const CHECKPOINT_DELAY: Millis = Millis(1_000);
/// Time from a preemption order until a task that is stopped releases its resources.
pub(crate) const STOP_DELAY: Millis = Millis(100);

/// Run time that a checkpoint and the later restart add.
const CHECKPOINT_OVERHEAD: Millis = Millis(10_000);
/// Jobs that one scheduling pass tries to place.
const MAX_CANDIDATES: usize = 64;
/// Waiting jobs for which one scheduling pass may preempt running tasks.
const MAX_PREEMPTORS_PER_PASS: usize = 8;
/// Time after which the reservation of the head job is planned again.
const PLAN_INTERVAL: Millis = Millis(1_000);
/// Wait that preemption assumes for a job without a reservation.
const DEFAULT_EXPECTED_WAIT: Millis = Millis(60_000);

/// Longer waits are recorded as one day.
const DAY_MS: u64 = 24 * 3_600_000;

/// Discrete-event simulation of the scheduling decisions alone: without messages, failures or
/// control latency.
pub(crate) struct WaitingSimulation<'a> {
    mix: &'a JobMix,
    policy: Policy,
    errors: DeclarationErrors,
    /// Mean time between the arrivals of two jobs.
    mean_interarrival_ms: f64,
    rng: SeededRng,
    now: Millis,
    warm_up_end: Millis,
    end: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    /// Number of the last scheduled event.
    sequence: u64,
    placer: Box<dyn Placer>,
    queue: JobQueue,
    fifo: VecDeque<JobId>,
    estimator: Estimator,
    expected_ends: ExpectedEnds,
    /// Reservation of the first job in the queue that does not fit now.
    head_reservation: Option<Arc<HeadReservation>>,
    /// Job and time of the last planned reservation.
    planned_at: Option<(JobId, Millis)>,
    /// Time of the last preemption in favour of each job.
    last_preemption: HashMap<JobId, Millis>,
    jobs: HashMap<JobId, Job>,
    running: BTreeMap<TaskId, Running>,
    /// Used shares of CPU and memory, integrated over milliseconds.
    used_share_ms: [f64; 2],
    pub(crate) outcomes: [ClassOutcome; Class::ALL.len()],
    pub(crate) preempted: u64,
    /// Tasks stopped because their worker could not raise the reservation to the actual size.
    pub(crate) stopped: u64,
    /// Whether the simulation reached its end within the real-time limit.
    pub(crate) complete: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// A task ends by itself. Ignored if the sequence number is not that of the task's current run.
    End(TaskId, u64),
    /// A preempted task releases its resources.
    Preempted(TaskId, u64),
}

struct Job {
    shape: JobShape,
    accepted_at: Millis,
    deadline: Option<Millis>,
    /// Lower bound of the next reservation: the actual size once a task was stopped for exceeding
    /// its reservation, else zero.
    observed_usage: Resources,
    /// Index and remaining run time of each waiting task.
    waiting: Vec<(u32, Millis)>,
    /// Number of tasks that have not started yet.
    never_started: u32,
    /// Number of tasks that have not ended yet.
    unfinished: u32,
}

struct Running {
    worker: WorkerName,
    reserved: Resources,
    start: Millis,
    run_time: Millis,
    /// Identifies this run of the task in its events, which earlier runs may also have scheduled.
    sequence: u64,
    /// Run time that remains after the preemption; `None` until the task is preempted.
    remaining_after_preemption: Option<Millis>,
}

impl<'a> WaitingSimulation<'a> {
    pub(crate) fn new(
        mix: &'a JobMix,
        policy: Policy,
        errors: DeclarationErrors,
        load: f64,
        seed: u64,
    ) -> Self {
        let placer: Box<dyn Placer> = match policy {
            Policy::Product => Box::new(IndexedPlacer::new(mix.deployment.weights)),
            Policy::Baseline => Box::new(FirstFit::new()),
        };
        mix.deployment.add_workers(&*placer);
        let queue = JobQueue::new(QueueConfig::default());
        let total = mix.deployment.total_capacity();
        for profile in &mix.profiles {
            let part = |amount| amount * profile.work_percent / 100;
            let share = Resources::new(part(total.cpu_milli), part(total.memory_mb), 0);
            queue.set_quota(&profile.name.into(), Quota::new(share));
        }
        Self {
            mix,
            policy,
            errors,
            mean_interarrival_ms: mix.mean_job_work() / load,
            rng: SeededRng::new(seed),
            now: Millis(0),
            warm_up_end: Millis(0),
            end: Millis(0),
            events: BinaryHeap::new(),
            sequence: 0,
            placer,
            queue,
            fifo: VecDeque::new(),
            estimator: Estimator::new(),
            expected_ends: ExpectedEnds::new(),
            head_reservation: None,
            planned_at: None,
            last_preemption: HashMap::new(),
            jobs: HashMap::new(),
            running: BTreeMap::new(),
            used_share_ms: [0.0; 2],
            outcomes: Class::ALL.map(|_| ClassOutcome {
                waits: Histogram::new_with_bounds(1, DAY_MS, 3).expect("the bounds are valid"),
                deadlines: 0,
                met: 0,
                not_started: 0,
            }),
            preempted: 0,
            stopped: 0,
            complete: false,
        }
    }

    /// Simulates `length` of virtual time, for at most `limit` of real time.
    pub(crate) fn run(&mut self, length: Millis, limit: Duration) {
        let start = Instant::now();
        (self.warm_up_end, self.end) = (Millis(length.0 / 4), length);
        self.schedule(Millis(0), Event::Arrive);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > self.end || start.elapsed() > limit {
                self.complete = time > self.end;
                break;
            }
            self.now = time;
            match event {
                Event::Arrive => self.handle_arrival(),
                Event::End(task, sequence) => self.handle_end(task, sequence),
                Event::Preempted(task, sequence) => self.handle_preempted(task, sequence),
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
        self.record_unfinished_jobs();
    }

    /// Work done after the warm-up, as a share of the capacity of the resource used most.
    pub(crate) fn used_share(&self) -> f64 {
        let [cpu, memory] = self.used_share_ms;
        cpu.max(memory) / self.end.since(self.warm_up_end).0.max(1) as f64
    }

    fn schedule(&mut self, time: Millis, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn profile(&self, shape: &JobShape) -> &'a JobProfile {
        &self.mix.profiles[shape.profile]
    }

    fn handle_arrival(&mut self) {
        let interarrival_ms = self
            .rng
            .exponential(self.mean_interarrival_ms)
            .ceil()
            .max(1.0) as u64;
        self.schedule(self.now + Millis(interarrival_ms), Event::Arrive);
        let shape = self.mix.draw_job(&mut self.rng, self.errors);
        let profile = self.profile(&shape);
        let id = JobId(self.sequence);
        let job = Job {
            accepted_at: self.now,
            deadline: profile.slack.map(|slack| self.now + shape.run_time + slack),
            observed_usage: Resources::ZERO,
            waiting: (0..shape.tasks)
                .map(|index| (index, shape.run_time))
                .collect(),
            never_started: shape.tasks,
            unfinished: shape.tasks,
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
        let profile = self.profile(&job.shape);
        let entry = Name::from(profile.name);
        let limit = self.mix.deployment.capacity;
        let size = self
            .estimator
            .reservation(&entry, &job.shape.declared, &limit);
        let run = self
            .estimator
            .run_time(&entry, job.shape.declared_run_time, Millis(0));
        let queued = QueuedJob {
            job: id,
            team: profile.name.into(),
            class: profile.class,
            deadline: job.deadline,
            workload: profile.workload,
            resources: size.max(&job.observed_usage),
            tasks: job.waiting.len() as u32,
            run_time: run,
            accepted_at: job.accepted_at,
        };
        self.queue.remove(id);
        self.queue
            .push(queued)
            .expect("max_jobs exceeds the number of waiting jobs of a case");
    }

    fn place_first_come(&mut self) {
        while let Some(&id) = self.fifo.front() {
            let job = &self.jobs[&id];
            let size = job.shape.declared.max(&job.observed_usage);
            let workload = self.profile(&job.shape).workload;
            let tasks = job.waiting.len() as u32;
            let workers = self
                .placer
                .place(&PlaceRequest::new(tasks, size, workload))
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

    /// Tries to place the first jobs in queue order. The first job that does not fit gets a
    /// reservation, which only the jobs behind it must respect.
    fn place_in_order(&mut self) {
        loop {
            let free = self.placer.largest_free();
            let mut placed = false;
            let mut is_behind_head = false;
            let mut rejected = Vec::<(Resources, Workload)>::new();
            let mut waiting = Vec::new();
            for job in self.queue.candidates(self.now, MAX_CANDIDATES) {
                is_behind_head |= !waiting.is_empty();
                // A job at least as large as a rejected one does not fit either.
                let is_no_larger = |(size, workload): &(Resources, Workload)| {
                    *workload == job.workload && size.fits(&job.resources)
                };
                if job.resources.fits(&free) && !rejected.iter().any(is_no_larger) {
                    if self.place_job(&job, is_behind_head) {
                        placed = true;
                        continue;
                    }
                    if job.workload == Workload::Batch {
                        rejected.push((job.resources, Workload::AllOrNothing));
                        rejected.push((job.resources, Workload::Batch));
                    }
                }
                if waiting.is_empty() {
                    self.plan_reservation_if_due(&job);
                }
                waiting.push(job);
            }
            if waiting.is_empty() {
                self.head_reservation = None;
            }
            for (n, job) in waiting.iter().take(MAX_PREEMPTORS_PER_PASS).enumerate() {
                // An all-or-nothing job can use freed capacity only if it is reserved for the job,
                // and only the head has a reservation.
                let can_use_capacity = n == 0 || job.workload != Workload::AllOrNothing;
                if job.class == Class::Urgent && can_use_capacity && self.queue.contains(job.job) {
                    self.preempt(job);
                }
            }
            if !placed {
                return;
            }
        }
    }

    fn place_job(&mut self, job: &QueuedJob, is_behind_head: bool) -> bool {
        let mut req = PlaceRequest::new(job.tasks, job.resources, job.workload);
        req.ends_by = Some(self.now + job.run_time);
        req.head_reservation = self.head_reservation.clone().filter(|_| is_behind_head);
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

    /// Starts one waiting task of a job on each worker; `expected_run_time` is the estimate for the
    /// expected ends.
    fn start(
        &mut self,
        id: JobId,
        size: Resources,
        expected_run_time: Millis,
        workers: Vec<WorkerName>,
    ) {
        for worker in workers {
            let Some(job) = self.jobs.get_mut(&id) else {
                return;
            };
            let excess = job.shape.size.saturating_sub(&size);
            if excess != Resources::ZERO && !self.placer.reserve(&worker, &excess) {
                // The task uses more than its reservation and the worker lacks the capacity to
                // raise the reservation, so the task is stopped.
                self.placer.release(&worker, &(size + excess));
                job.observed_usage = job.shape.size;
                self.stopped += 1;
                continue;
            }
            let Some((index, run)) = job.waiting.pop() else {
                return;
            };
            let reserved = size + excess;
            if job.never_started > 0 {
                job.never_started -= 1;
                let wait = self.now.since(job.accepted_at).0;
                if job.accepted_at >= self.warm_up_end {
                    let class = self.mix.profiles[job.shape.profile].class;
                    self.outcomes[class as usize].waits.saturating_record(wait);
                }
            }
            let task = TaskId { job: id, index };
            let team = self.mix.profiles[job.shape.profile].name.into();
            self.queue.add_usage(&team, &reserved);
            self.expected_ends
                .record(&worker, task, reserved, self.now + expected_run_time);
            self.schedule(self.now + run, Event::End(task, self.sequence + 1));
            let running = Running {
                worker,
                reserved,
                start: self.now,
                run_time: run,
                sequence: self.sequence,
                remaining_after_preemption: None,
            };
            self.running.insert(task, running);
        }
    }

    fn release(&mut self, task: TaskId, sequence: u64) -> Option<Running> {
        if self.running.get(&task)?.sequence != sequence {
            return None;
        }
        let running = self.running.remove(&task)?;
        self.placer.release(&running.worker, &running.reserved);
        self.expected_ends.remove(&running.worker, &task);
        let job = &self.jobs[&task.job];
        let profile = self.profile(&job.shape);
        self.queue
            .subtract_usage(&profile.name.into(), &running.reserved);
        let total = self.mix.deployment.total_capacity();
        let cpu = job.shape.size.cpu_milli as f64 / total.cpu_milli as f64;
        let memory = job.shape.size.memory_mb as f64 / total.memory_mb as f64;
        let measured_ms = self.now.since(running.start.max(self.warm_up_end)).0 as f64;
        self.used_share_ms[0] += cpu * measured_ms;
        self.used_share_ms[1] += memory * measured_ms;
        Some(running)
    }

    fn handle_end(&mut self, task: TaskId, sequence: u64) {
        let Some(running) = self.release(task, sequence) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.unfinished -= 1;
        let profile = &self.mix.profiles[job.shape.profile];
        let ran_without_preemption = running.run_time == job.shape.run_time;
        let usage = Usage {
            peak: job.shape.size,
            run_time: ran_without_preemption.then_some(job.shape.run_time),
        };
        self.estimator
            .report(&profile.name.into(), &job.shape.declared, &usage);
        if job.unfinished == 0 {
            let outcome = &mut self.outcomes[profile.class as usize];
            if let Some(deadline) = job.deadline.filter(|_| job.accepted_at >= self.warm_up_end) {
                outcome.deadlines += 1;
                outcome.met += u64::from(self.now <= deadline);
            }
            self.jobs.remove(&task.job);
            self.last_preemption.remove(&task.job);
        }
    }

    fn handle_preempted(&mut self, task: TaskId, sequence: u64) {
        let Some(running) = self.release(task, sequence) else {
            return;
        };
        if let (Some(remaining_after_preemption), Some(job)) = (
            running.remaining_after_preemption,
            self.jobs.get_mut(&task.job),
        ) {
            job.waiting.push((task.index, remaining_after_preemption));
            self.enqueue(task.job);
        }
    }

    fn plan_reservation_if_due(&mut self, head: &QueuedJob) {
        let is_recent = self
            .planned_at
            .is_some_and(|(job, at)| job == head.job && self.now.since(at) < PLAN_INTERVAL);
        if !is_recent {
            self.plan_reservation(head);
        }
    }

    fn plan_reservation(&mut self, head: &QueuedJob) {
        self.planned_at = Some((head.job, self.now));
        let req = PlaceRequest::new(head.tasks, head.resources, head.workload);
        self.head_reservation = self
            .expected_ends
            .plan_reservation(self.now, head.job, &req, &*self.placer)
            .map(Arc::new);
    }

    /// Preempts running tasks of lower classes for an urgent job, at most once per
    /// [`CHECKPOINT_DELAY`].
    fn preempt(&mut self, job: &QueuedJob) {
        let last_preempted_at = self.last_preemption.get(&job.job);
        if last_preempted_at.is_some_and(|at| self.now.since(*at) <= CHECKPOINT_DELAY) {
            return;
        }
        let reservation = self
            .head_reservation
            .as_ref()
            .filter(|reservation| reservation.job == job.job);
        let preemptor = Preemptor {
            class: job.class,
            borrows: self.queue.quotas().team(&job.team).borrows(),
            resources: job.resources,
            tasks: job.tasks - self.placer.count_fitting_tasks(&job.resources, job.tasks),
            all_or_nothing: job.workload == Workload::AllOrNothing,
            expected_wait: reservation.map_or(DEFAULT_EXPECTED_WAIT, |reservation| {
                reservation.at.since(self.now)
            }),
        };
        let victims = self
            .running
            .iter()
            .filter(|(_, running)| running.remaining_after_preemption.is_none())
            .map(|(task, running)| {
                let profile = self.profile(&self.jobs[&task.job].shape);
                Victim {
                    task: *task,
                    worker: running.worker.clone(),
                    class: profile.class,
                    borrows: false,
                    workload: profile.workload,
                    resources: running.reserved,
                    elapsed: self.now.since(running.start),
                    remaining: (running.start + running.run_time).since(self.now),
                    can_checkpoint: true,
                }
            })
            .filter(|victim| victim.class > job.class)
            .collect::<Vec<_>>();
        let placer = &self.placer;
        let free = |worker: &WorkerName| placer.free(worker).unwrap_or_default();
        let actions = PreemptionPolicy::default().choose(&preemptor, &victims, free);
        if actions.is_empty() {
            return;
        }
        self.last_preemption.insert(job.job, self.now);
        for action in actions {
            let Some(running) = self.running.get_mut(&action.task) else {
                continue;
            };
            let remaining = (running.start + running.run_time).since(self.now);
            let (remaining_after_preemption, delay) = match action.method {
                PreemptMethod::Stop => (running.run_time, STOP_DELAY),
                PreemptMethod::Throttle | PreemptMethod::Checkpoint => {
                    (remaining + CHECKPOINT_OVERHEAD, CHECKPOINT_DELAY)
                }
            };
            running.remaining_after_preemption = Some(remaining_after_preemption);
            let (sequence, end) = (running.sequence, self.now + delay);
            // The preemptor's reservation is planned with the new ends of the preempted tasks,
            // which keeps other jobs from using their capacity.
            self.expected_ends
                .record(&running.worker, action.task, running.reserved, end);
            self.preempted += 1;
            self.schedule(end, Event::Preempted(action.task, sequence));
        }
        if self.planned_at.is_some_and(|(head, _)| head == job.job) {
            self.plan_reservation(job);
        }
    }

    /// Adds the waits and missed deadlines of unfinished jobs to the outcomes.
    fn record_unfinished_jobs(&mut self) {
        for job in self
            .jobs
            .values()
            .filter(|job| job.accepted_at >= self.warm_up_end)
        {
            let class = self.mix.profiles[job.shape.profile].class;
            let outcome = &mut self.outcomes[class as usize];
            let wait = self.now.since(job.accepted_at).0;
            outcome.not_started += u64::from(job.never_started);
            for _ in 0..job.never_started {
                outcome.waits.saturating_record(wait);
            }
            if job.deadline.is_some_and(|deadline| deadline < self.now) {
                outcome.deadlines += 1;
            }
        }
    }
}
