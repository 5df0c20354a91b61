use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tarragon_health::{HealthConfig, HealthTable};
use tarragon_names::{Millis, Name, WorkerName};
use tarragon_workflow::{
    Command, JobKey, RunEvent, StepKey, TaskKey, WorkerIncarnation, WorkerRecord, WorkflowState,
};

use crate::{
    DispatchConfig, Input, Lanes, Note, Output,
    dispatcher_pace::FULL_PACE,
    dispatcher_place::Claims,
    pace::Pace,
    run_view::{RunView, StartState, StopState},
    seat::Seat,
    seats::Seats,
    step_plan::StepPlan,
};

/// Time from the quarantine of a worker to its next task.
const PROBE_AFTER: Millis = Millis(3_000);

/// Most workers in quarantine, in percent; a job that fails everywhere must not empty the pool.
const QUARANTINE_PERCENT: usize = 30;

/// Distinct jobs that must fail on a worker, without a success between, before it is set aside.
const FAILED_JOBS: usize = 3;

/// A call for advice that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Asking {
    pub(crate) step: StepKey,
    pub(crate) workers: Vec<WorkerName>,
    pub(crate) ends_by: Millis,
}

/// The dispatcher: decides for all workers while its host leads.
pub struct Dispatcher {
    pub(crate) cfg: DispatchConfig,
    pub(crate) flow: Arc<WorkflowState>,
    pub(crate) health: HealthTable,
    pub(crate) term: Option<u64>,
    pub(crate) led_since: Millis,
    pub(crate) seats: Seats,
    /// Workers by the tasks that run there.
    pub(crate) placed: BTreeSet<(TaskKey, WorkerName)>,
    pub(crate) plans: BTreeMap<StepKey, StepPlan>,
    /// Jobs with occurrences that are still to come.
    pub(crate) timed: BTreeSet<JobKey>,
    pub(crate) lanes: Lanes,
    pub(crate) asks: BTreeMap<u64, Asking>,
    pub(crate) next_ask: u64,
    /// Share of the workers named that were approved, by queue, in thousandths.
    pub(crate) approved_permille: BTreeMap<Name, u64>,
    pub(crate) records: Vec<RunEvent>,
    pub(crate) out: Vec<Output>,
    /// Pace of the mean worker.
    pub(crate) mean_pace: Pace,
    /// Priority of the least urgent queue.
    pub(crate) last_priority: u32,
    /// Steps whose turn has just come; they need not wait for the next placement of all.
    pub(crate) arrivals: Vec<StepKey>,
    /// Workers that the last placement kept for gangs, and the highest priority among these.
    pub(crate) kept: (u32, Claims),
    pub(crate) is_dirty: bool,
    /// No placement before this time, so that many events share one.
    pub(crate) place_at: Millis,
    /// Since when no other host can have led.
    pub(crate) steady_since: Millis,
    /// Next look at what has expired or takes too long.
    pub(crate) expire_at: Millis,
    pub(crate) now: Millis,
    pub(crate) now_ms: u64,
}

impl std::fmt::Debug for Dispatcher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Dispatcher")
            .field("term", &self.term)
            .field("workers", &self.seats.len())
            .field("steps", &self.plans.len())
            .finish_non_exhaustive()
    }
}

impl Dispatcher {
    /// A dispatcher over the replicated state of its host.
    pub fn new(cfg: DispatchConfig, flow: Arc<WorkflowState>) -> Self {
        let health = HealthConfig {
            min_failed_jobs: FAILED_JOBS,
            min_probe_delay: PROBE_AFTER,
            max_quarantined_percent: QUARANTINE_PERCENT,
            ..HealthConfig::default()
        };
        Self {
            cfg,
            flow,
            health: HealthTable::new(health),
            term: None,
            led_since: Millis(0),
            seats: Seats::default(),
            placed: BTreeSet::new(),
            plans: BTreeMap::new(),
            timed: BTreeSet::new(),
            lanes: Lanes::default(),
            asks: BTreeMap::new(),
            next_ask: 0,
            approved_permille: BTreeMap::new(),
            records: Vec::new(),
            out: Vec::new(),
            mean_pace: Pace::default(),
            last_priority: 0,
            arrivals: Vec::new(),
            kept: (u32::MAX, Claims::new()),
            is_dirty: false,
            place_at: Millis(0),
            steady_since: Millis(0),
            expire_at: Millis(0),
            now: Millis(0),
            now_ms: 0,
        }
    }

    /// Takes in events at the time `now`, which is `now_ms` in unix milliseconds, and returns what
    /// is to be done, in order.
    ///
    /// Leases and orders are given only while `is_sole_leader`, that is, while no other host can
    /// have been elected: a deposed leader that does not know it yet, as after a pause, would
    /// otherwise renew a lease that its successor counts as ended.
    pub fn step(
        &mut self,
        now: Millis,
        now_ms: u64,
        is_sole_leader: bool,
        inputs: Vec<Input>,
    ) -> Vec<Output> {
        self.now = self.now.max(now);
        self.now_ms = now_ms;
        if !is_sole_leader {
            self.steady_since = self.now;
        }
        for input in inputs {
            self.take(input);
        }
        if self.term.is_some() {
            if self.is_dirty && self.now >= self.place_at {
                self.is_dirty = false;
                self.place_at = self.now + self.cfg.place_every;
                self.arrivals.clear();
                self.place();
            } else {
                self.place_arrivals();
            }
            if is_sole_leader {
                let touched = self.seats.take_touched();
                self.drive_orders(&touched);
                self.drive_holds(&touched);
            }
            self.flush_records();
        }
        std::mem::take(&mut self.out)
    }

    /// Runs of steps with bounded unavailability that do their full work.
    pub fn bounded_at_work(&self) -> BTreeSet<TaskKey> {
        let seats = self.seats.iter().filter(|(_, seat)| !seat.is_lapsed);
        let runs = seats.flat_map(|(_, seat)| &seat.runs);
        let at_work = runs.filter(|(_, view)| {
            view.terms.is_bounded
                && view.percent >= FULL_PACE
                && view.stop == StopState::NotWanted
                && !view.is_ended
        });
        at_work.map(|(task, _)| *task).collect()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::BecameLeader { term } => self.lead(term),
            Input::LostLeadership => self.stop_leading(),
            Input::HostSeen { host, is_large } => {
                self.lanes.seen(&host, is_large, self.now);
            }
            Input::HostStops(host) => self.lanes.stopped(&host),
            _ if self.term.is_none() => {}
            // What an earlier term of this host began says nothing about the state of this one.
            Input::Held { fence, .. }
            | Input::StartEnded { fence, .. }
            | Input::StopEnded { fence, .. }
            | Input::PaceEnded { fence, .. }
                if self.term != Some(fence) => {}
            Input::Applied(command) => self.applied(&command),
            Input::NotProposed(commands) => self.not_proposed(&commands),
            Input::Heard { life, leaves_in } => self.heard(&life, leaves_in),
            Input::Held { life, outcome, .. } => self.held(&life, outcome),
            Input::StartEnded {
                life,
                task,
                run,
                outcome,
                ..
            } => self.start_ended(&life, task, run, outcome),
            Input::StopEnded {
                life,
                task,
                run,
                outcome,
                ..
            } => self.stop_ended(&life, task, run, outcome),
            Input::PaceEnded {
                life,
                task,
                run,
                outcome,
                ..
            } => self.pace_ended(&life, task, run, outcome),
            Input::Advised { ask, answer } => self.advised(ask, answer),
            Input::Spare(worker) => self.spare(&worker),
            Input::Tick => self.tick(),
        }
    }

    /// Begins to lead: what an earlier leader placed is looked for on the workers before anything
    /// is placed there.
    fn lead(&mut self, term: u64) {
        self.forget_all();
        self.term = Some(term);
        self.led_since = self.now;
        self.read_priorities();
        for record in self.flow.workers() {
            self.seat_worker(record);
        }
        let mut jobs = Vec::new();
        let mut placements = Vec::new();
        self.flow.for_each_job(|job| {
            placements.extend(job.placements());
            if !job.phase.is_final() {
                jobs.push(job.key);
            }
        });
        for (task, placement) in placements {
            let terms = self.terms_of(&task);
            // A later life under the same name may still get a late order for the run.
            if let Some(seat) = self.seats.get_mut(&placement.incarnation.worker) {
                let mut view = RunView::new(placement.run, terms, self.now);
                view.start = StartState::Inherited;
                if view.terms.fills {
                    view.pace = None;
                }
                seat.insert_run(task, view);
                self.placed.insert((task, placement.incarnation.worker));
            } else {
                self.record_lost(task, placement.run, None);
            }
        }
        for job in jobs {
            self.refresh_job(job);
        }
        self.is_dirty = true;
        self.note(Note::new(
            "dispatch_started",
            format!("term {term}, {} workers", self.seats.len()),
        ));
    }

    fn stop_leading(&mut self) {
        if self.term.is_some() {
            self.note(Note::new("dispatch_stopped", String::new()));
        }
        self.term = None;
        self.forget_all();
    }

    fn forget_all(&mut self) {
        self.seats.clear();
        self.placed.clear();
        self.plans.clear();
        self.arrivals.clear();
        self.kept = (u32::MAX, Claims::new());
        self.timed.clear();
        self.asks.clear();
        self.lanes = Lanes::default();
        self.records.clear();
    }

    fn applied(&mut self, command: &Command) {
        match command {
            Command::PutConfiguration(_) => {
                self.read_priorities();
                for plan in self.plans.values_mut() {
                    if let Some(queue) = self.flow.queue(&plan.queue.name) {
                        plan.queue = queue;
                    }
                }
                self.is_dirty = true;
            }
            Command::Submit { job, .. } | Command::Cancel { job } => self.refresh_job(*job),
            Command::RunEvents(records) => self.orders_applied(records),
            Command::PutWorker(record) => self.worker_put(record),
            Command::RemoveWorker(life) => self.worker_removed(life),
            Command::StartWave { .. } | Command::MachineDone { .. } => {}
        }
    }

    fn read_priorities(&mut self) {
        let document = self.flow.configuration();
        let priorities = document.queues.iter().map(|queue| queue.priority);
        self.last_priority = priorities.max().unwrap_or(0);
    }

    fn worker_put(&mut self, record: &WorkerRecord) {
        let Some(record) = self.flow.worker(&record.incarnation.worker) else {
            return;
        };
        match self.seats.get_mut(&record.incarnation.worker) {
            Some(seat) if *seat.life() == record.incarnation => {
                let acknowledged = seat.record.acknowledged;
                seat.record = record;
                seat.record.acknowledged = acknowledged;
                seat.heard = self.now;
            }
            Some(seat) => {
                let uncertain = seat.uncertain_runs();
                for (task, _) in &uncertain {
                    self.drop_view(task, &record.incarnation.worker);
                }
                self.unseat(&record.incarnation.worker);
                let worker = record.incarnation.worker.clone();
                self.seat_worker(record);
                self.pass_on(&worker, uncertain);
            }
            None => self.seat_worker(record),
        }
        self.is_dirty = true;
    }

    fn worker_removed(&mut self, life: &WorkerIncarnation) {
        let is_seated = self.seats.get(&life.worker).map(Seat::life) == Some(life);
        if is_seated {
            self.unseat(&life.worker);
            self.is_dirty = true;
        }
    }

    fn seat_worker(&mut self, record: WorkerRecord) {
        self.note(
            Note::new(
                "worker_seated",
                format!(
                    "{} at {}, {}",
                    record.incarnation, record.address, record.capacity
                ),
            )
            .worker(&record.incarnation.worker),
        );
        self.health.add_worker(&record.incarnation.worker);
        let seat = Seat::new(record, self.now, self.led_since);
        self.seats.insert(seat.life().worker.clone(), seat);
    }

    /// Takes away a worker whose life has ended; all its runs have ended with it.
    fn unseat(&mut self, worker: &WorkerName) {
        let Some(seat) = self.seats.remove(worker) else {
            return;
        };
        let lost = seat.runs.iter().filter(|(_, view)| !view.is_ended);
        let lost = lost.map(|(task, view)| (*task, view.run, view.saved.clone()));
        let lost = lost.collect::<Vec<_>>();
        self.note(
            Note::new(
                "worker_unseated",
                format!("{}, {} runs lost", seat.life(), lost.len()),
            )
            .worker(worker),
        );
        for task in seat.runs.keys() {
            self.placed.remove(&(*task, worker.clone()));
        }
        for (task, run, saved) in lost {
            self.record_lost(task, run, saved);
            self.break_gang(task.step, run);
        }
    }

    /// Has the next life of a worker refuse orders that were meant for the last one and may still
    /// arrive, before their tasks run elsewhere.
    fn pass_on(&mut self, worker: &WorkerName, uncertain: Vec<(TaskKey, RunView)>) {
        let now = self.now;
        for (task, mut view) in uncertain {
            view.start = StartState::Inherited;
            view.stop = StopState::Wanted { at: now };
            if let Some(seat) = self.seats.get_mut(worker) {
                seat.insert_run(task, view);
                self.placed.insert((task, worker.clone()));
            }
        }
    }

    /// Declares that a run certainly does not go on.
    pub(crate) fn record_lost(&mut self, task: TaskKey, run: u32, saved: Option<Name>) {
        self.records.push(RunEvent::Lost {
            task,
            run,
            checkpoint: saved,
        });
    }

    fn not_proposed(&mut self, commands: &[Command]) {
        for command in commands {
            let Command::RunEvents(records) = command else {
                continue;
            };
            for record in records {
                self.record_refused(record);
            }
        }
        self.is_dirty = true;
    }

    /// Takes back what was assumed of a record that the log refused.
    fn record_refused(&mut self, record: &RunEvent) {
        match record {
            RunEvent::Placed {
                task,
                incarnation: life,
                ..
            } => {
                self.drop_view(task, &life.worker);
                self.refresh_job(task.step.job);
            }
            RunEvent::Ended {
                incarnation: life,
                task,
                ..
            } => {
                if let Some(seat) = self.seats.get_mut(&life.worker) {
                    // The worker lists the end again.
                    seat.proposed_end = seat.record.acknowledged;
                    seat.set_ended(task, false);
                }
            }
            RunEvent::Lost { .. } => self.records.push(record.clone()),
        }
    }

    pub(crate) fn drop_view(&mut self, task: &TaskKey, worker: &WorkerName) {
        if let Some(seat) = self.seats.get_mut(worker) {
            seat.remove_run(task);
        }
        self.placed.remove(&(*task, worker.clone()));
        self.is_dirty = true;
    }

    fn flush_records(&mut self) {
        if !self.records.is_empty() {
            let records = std::mem::take(&mut self.records);
            self.out.push(Output::Propose(Command::RunEvents(records)));
        }
    }

    pub(crate) fn note(&mut self, note: Note) {
        self.out.push(Output::Note(note));
    }
}
