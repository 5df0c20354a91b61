use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tarragon_health::{HealthConfig, HealthTable};
use tarragon_names::{Millis, Name, WorkerName};
use tarragon_workflow::{
    Answer, Command, JobKey, JobPhase, RunEvent, StepKey, TaskKey, WorkerIncarnation, WorkflowState,
};

use crate::{
    AdviceRelays, DecisionEvent, DispatchConfig, Input, Output,
    capped_teams::CappedTeams,
    dispatcher_interference::Interference,
    dispatcher_place::Claims,
    dispatcher_throttle::FULL_RATE,
    failure_rate::FailureRate,
    headroom::Headroom,
    late_orders::LateOrders,
    load_counters::LoadCounters,
    open_occurrences::OpenOccurrences,
    recent_placements::RecentPlacements,
    retry_outcomes::RetryOutcomes,
    run_view::{StartState, StopState},
    step_plan::StepPlan,
    team_quotas::TeamQuotas,
    unanswered_starts::UnansweredStarts,
    worker_speed::WorkerSpeed,
    worker_table::WorkerTable,
};

/// Time from the quarantine of a worker until it may get a task again.
const PROBE_DELAY: Millis = Millis(3_000);

/// Longest time until a quarantined worker may get a task again, so that a repaired one returns
/// within it.
const MAX_PROBE_DELAY: Millis = Millis(12_000);

/// Highest share of workers that are avoided for failed runs, in percent: in quarantine, or paused
/// after a failed run. Without it, jobs that fail everywhere would empty the pool.
pub(crate) const MAX_FAILING_PERCENT: usize = 30;

/// Time for which the failures of a job are kept after the last one.
const FAILED_JOB_RETENTION: Millis = Millis(60_000);

/// Number of different jobs that must fail on a worker, with no success in between, before the
/// worker is quarantined.
const QUARANTINE_FAILED_JOBS: usize = 3;

/// A request for advice that has no result yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    pub(crate) step: StepKey,
    pub(crate) workers: Vec<WorkerName>,
    pub(crate) expires_at: Millis,
}

/// Makes the decisions about workers and runs while its host leads.
pub struct Dispatcher {
    pub(crate) cfg: DispatchConfig,
    pub(crate) workflow_state: Arc<WorkflowState>,
    pub(crate) health: HealthTable,
    pub(crate) term: Option<u64>,
    pub(crate) leading_since: Millis,
    /// Highest number of the token of a worker whose record was removed in this term.
    pub(crate) last_removed_token: u64,
    pub(crate) workers: WorkerTable,
    /// Open polls with the times at which they were sent. A poll stays open while the record of its
    /// worker is removed and put again, so that its result is not taken for that of a later poll.
    pub(crate) open_polls: BTreeMap<WorkerIncarnation, Millis>,
    /// Placed tasks with their workers, ordered by task.
    pub(crate) placed: BTreeSet<(TaskKey, WorkerName)>,
    pub(crate) plans: BTreeMap<StepKey, StepPlan>,
    /// Unix times in milliseconds at which jobs have to be looked at again, because another occurrence is
    /// due then or may be opened.
    pub(crate) scheduled_jobs: BTreeMap<JobKey, u64>,
    pub(crate) open_occurrences: OpenOccurrences,
    pub(crate) relays: AdviceRelays,
    pub(crate) pending_requests: BTreeMap<u64, PendingRequest>,
    pub(crate) last_request_id: u64,
    /// Share of the workers named in requests for advice that were approved, in thousandths, by
    /// queue.
    pub(crate) approved_permille: BTreeMap<Name, u64>,
    pub(crate) records: Vec<RunEvent>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) retry_outcomes: RetryOutcomes,
    /// Rate at which runs fail on all workers.
    pub(crate) failure_rate: FailureRate,
    /// Mean of the speeds of all workers.
    pub(crate) mean_speed: WorkerSpeed,
    /// Priority of the least urgent queue.
    pub(crate) lowest_priority: u32,
    pub(crate) team_quotas: TeamQuotas,
    /// Teams with steps that wait for their cap, as of the last placement of all steps.
    pub(crate) capped_teams: CappedTeams,
    /// Steps planned since the last placement of all steps; they are placed at once, without
    /// waiting for the next one.
    pub(crate) new_steps: Vec<StepKey>,
    /// Result of the last placement of all steps: the priority of the most urgent step with claims,
    /// and the workers claimed for gangs.
    pub(crate) gang_claims: (u32, Claims),
    pub(crate) needs_placement: bool,
    pub(crate) headroom: Headroom,
    pub(crate) late_orders: LateOrders,
    pub(crate) unanswered_starts: UnansweredStarts,
    /// Tasks among them that are not proposed for the log yet.
    pub(crate) new_unanswered_starts: Vec<TaskKey>,
    pub(crate) load_counters: LoadCounters,
    pub(crate) recent_placements: RecentPlacements,
    /// Images that slow each other down; `None` if they are not to be detected.
    pub(crate) interference: Option<Interference>,
    /// Number of stop orders that were not accepted within the timeout of an order.
    pub(crate) unaccepted_stops: usize,
    /// Earliest time of the next placement of all steps, so that many events share one placement.
    pub(crate) next_placement_at: Millis,
    /// Whether no other host can have been elected, so that orders may be sent.
    pub(crate) is_sole_leader: bool,
    /// Time since which no other host can have been the leader.
    pub(crate) sole_leader_since: Millis,
    /// Time of the next check for expired leases and overdue runs.
    pub(crate) next_expiry_at: Millis,
    /// Time of the next report of the counters of load.
    pub(crate) next_load_report_at: Millis,
    /// Earliest time of the next report on waiting steps.
    pub(crate) next_report_at: Millis,
    pub(crate) now: Millis,
    pub(crate) now_ms: u64,
}

impl std::fmt::Debug for Dispatcher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Dispatcher")
            .field("term", &self.term)
            .field("workers", &self.workers.len())
            .field("steps", &self.plans.len())
            .finish_non_exhaustive()
    }
}

impl Dispatcher {
    /// Creates a dispatcher over the replicated state of its host.
    pub fn new(cfg: DispatchConfig, workflow_state: Arc<WorkflowState>) -> Self {
        let health = HealthConfig {
            min_failed_jobs: QUARANTINE_FAILED_JOBS,
            min_probe_delay: PROBE_DELAY,
            max_probe_delay: MAX_PROBE_DELAY,
            max_quarantined_percent: MAX_FAILING_PERCENT,
            job_retention: FAILED_JOB_RETENTION,
            ..HealthConfig::default()
        };
        Self {
            cfg,
            workflow_state,
            health: HealthTable::new(health),
            term: None,
            leading_since: Millis(0),
            last_removed_token: 0,
            workers: WorkerTable::default(),
            open_polls: BTreeMap::new(),
            placed: BTreeSet::new(),
            plans: BTreeMap::new(),
            scheduled_jobs: BTreeMap::new(),
            open_occurrences: OpenOccurrences::default(),
            relays: AdviceRelays::default(),
            pending_requests: BTreeMap::new(),
            last_request_id: 0,
            approved_permille: BTreeMap::new(),
            records: Vec::new(),
            outputs: Vec::new(),
            retry_outcomes: RetryOutcomes::default(),
            failure_rate: FailureRate::default(),
            mean_speed: WorkerSpeed::default(),
            lowest_priority: 0,
            team_quotas: TeamQuotas::default(),
            capped_teams: CappedTeams::default(),
            new_steps: Vec::new(),
            gang_claims: (u32::MAX, Claims::new()),
            needs_placement: false,
            headroom: Headroom::default(),
            late_orders: LateOrders::default(),
            unanswered_starts: UnansweredStarts::default(),
            new_unanswered_starts: Vec::new(),
            load_counters: LoadCounters::default(),
            recent_placements: RecentPlacements::default(),
            interference: cfg.avoids_interference.then(Interference::default),
            unaccepted_stops: 0,
            next_placement_at: Millis(0),
            is_sole_leader: false,
            sole_leader_since: Millis(0),
            next_expiry_at: Millis(0),
            next_load_report_at: Millis(0),
            next_report_at: Millis(0),
            now: Millis(0),
            now_ms: 0,
        }
    }

    /// Handles the inputs at the time `now`, which is `now_ms` in Unix milliseconds, and returns
    /// the actions for the caller, in order.
    ///
    /// Leases and orders are sent only while `is_sole_leader` is true, that is, while no other host
    /// can have been elected. A deposed leader that does not know of its successor yet, for example
    /// after a pause of its process, would otherwise renew a lease that the successor counts as
    /// expired.
    pub fn step(
        &mut self,
        now: Millis,
        now_ms: u64,
        is_sole_leader: bool,
        inputs: Vec<Input>,
    ) -> Vec<Output> {
        self.now = self.now.max(now);
        self.now_ms = now_ms;
        let was_sole_leader = std::mem::replace(&mut self.is_sole_leader, is_sole_leader);
        if !is_sole_leader {
            self.sole_leader_since = self.now;
        }
        for input in inputs {
            self.handle_input(input);
        }
        if was_sole_leader && !is_sole_leader && self.term.is_some() {
            let detail = "the lease has lapsed".to_owned();
            self.emit(DecisionEvent::new("orders_withheld", detail).warning());
        }
        if self.term.is_some() {
            self.workers.update_index(self.now);
            if self.needs_placement && self.now >= self.next_placement_at {
                self.needs_placement = false;
                self.next_placement_at = self.now + self.cfg.placement_interval;
                self.new_steps.clear();
                self.place();
                self.report_waiting_steps();
            } else {
                self.place_new_steps();
            }
            if is_sole_leader {
                let changed = self.workers.take_changed();
                self.leave_silent_workers(&changed);
                self.send_due_orders(&changed);
                self.stop_late_orders();
                self.send_due_polls(&changed);
            }
            self.flush_records();
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns the tasks with bounded unavailability whose runs do their full work at `now`, as far as
    /// their workers have confirmed recently.
    pub fn available_bounded_tasks(&self, now: Millis) -> BTreeSet<TaskKey> {
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, state)| state.is_confirmed(now, &self.cfg));
        let runs = workers.flat_map(|(_, state)| &state.runs);
        let available = runs.filter(|(_, view)| {
            view.spec.is_bounded
                && view.progress.percent >= FULL_RATE
                && view.stop == StopState::NotRequested
                && !view.is_ended
        });
        available.map(|(task, _)| *task).collect()
    }

    /// Counts the jobs of which tasks were placed but none was certainly started, by queue.
    ///
    /// The log knows only that the tasks were placed. Their workers may not have answered, or may not
    /// have been reached. The count rests on what shows that a job has begun and on no state in which its
    /// tasks may wait, so that none is left out.
    pub fn unstarted_jobs(&self) -> BTreeMap<Name, u64> {
        let mut counts = BTreeMap::new();
        if self.term.is_none() {
            return counts;
        }
        let mut begun = BTreeSet::new();
        for (_, state) in self.workers.iter() {
            for (task, view) in &state.runs {
                if view.is_listed || matches!(view.start, StartState::Present { .. }) {
                    begun.insert(task.step.job);
                }
            }
        }
        self.workflow_state.for_each_job(|job| {
            let is_placed = job.phase == JobPhase::Running;
            if is_placed && !begun.contains(&job.key) && !job.has_started() {
                *counts.entry(job.queue.clone()).or_default() += 1;
            }
        });
        counts
    }

    pub(crate) fn applied(&mut self, command: &Command, answer: &Answer) {
        if let Answer::Recorded(effects) = answer {
            self.report_effects(effects);
        }
        match command {
            Command::PutConfiguration(_) | Command::PutTeamConfiguration { .. } => {
                self.read_priorities();
                self.update_quotas();
                for plan in self.plans.values_mut() {
                    if let Some(queue) = self.workflow_state.queue(&plan.queue.name) {
                        plan.queue = queue;
                    }
                }
                self.needs_placement = true;
            }
            Command::Submit { job, .. }
            | Command::SubmitForTeam { job, .. }
            | Command::Cancel { job } => self.refresh_job(*job),
            Command::RunEvents(records) => self.orders_applied(records),
            Command::PutWorker(record) => self.worker_put(record),
            Command::RemoveWorker(incarnation) => self.worker_removed(incarnation),
            Command::MachineOrdered { .. }
            | Command::MachineRefused { .. }
            | Command::MachineDone { .. } => self.update_going_down(),
            // The next announcement of the later incarnation replaces the record of the earlier one.
            Command::StartWave { .. }
            | Command::PutSuccession(_)
            | Command::StartsUnanswered(_) => {}
        }
    }

    fn update_going_down(&mut self) {
        let (workflow_state, now) = (&self.workflow_state, self.now);
        for (_, state) in self.workers.iter_mut() {
            let is_going_down = workflow_state.is_going_down(state.incarnation());
            state.going_down_since = is_going_down.then_some(now);
        }
        self.needs_placement = true;
    }

    pub(crate) fn read_priorities(&mut self) {
        let configuration = self.workflow_state.configuration();
        let priorities = configuration.queues.iter().map(|queue| queue.priority);
        self.lowest_priority = priorities.max().unwrap_or(0);
    }

    /// Records that a run has certainly ended without a result.
    pub(crate) fn record_lost(&mut self, task: TaskKey, run: u32, checkpoint: Option<Name>) {
        self.records.push(RunEvent::Lost {
            task,
            run,
            checkpoint,
        });
    }

    pub(crate) fn not_proposed(&mut self, commands: &[Command]) {
        for command in commands {
            let Command::RunEvents(records) = command else {
                continue;
            };
            for record in records {
                self.undo_record(record);
            }
        }
        self.needs_placement = true;
    }

    /// Reverts the assumptions made when a record was proposed that the log then refused.
    fn undo_record(&mut self, record: &RunEvent) {
        match record {
            RunEvent::Placed {
                task, incarnation, ..
            } => {
                self.remove_run_view(task, &incarnation.worker);
                self.refresh_job(task.step.job);
            }
            RunEvent::Ended {
                incarnation,
                task,
                run,
                ..
            } => match self.workers.get_incarnation_mut(incarnation) {
                Some(state) => {
                    // The worker lists the end again in the next poll.
                    state.last_proposed_end = state.record.acknowledged;
                    if state.runs.get(task).is_some_and(|view| view.run == *run) {
                        state.set_ended(task, false);
                    }
                }
                // The worker was removed or restarted, and its run was not declared lost, because its
                // end was listed.
                None => self.records.push(record.clone()),
            },
            RunEvent::Lost { .. } => self.records.push(record.clone()),
        }
    }

    /// Removes a run that has ended.
    pub(crate) fn remove_run_view(&mut self, task: &TaskKey, worker: &WorkerName) {
        if let Some(state) = self.workers.get(worker)
            && let Some(view) = state.runs.get(task)
            && view.has_outstanding_start(self.now)
        {
            self.late_orders.insert(state.incarnation(), *task, view);
        }
        self.detach_run_view(task, worker);
    }

    pub(crate) fn detach_run_view(&mut self, task: &TaskKey, worker: &WorkerName) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.remove_run(task);
        }
        self.placed.remove(&(*task, worker.clone()));
        self.needs_placement = true;
    }

    fn flush_records(&mut self) {
        if !self.new_unanswered_starts.is_empty() {
            let tasks = std::mem::take(&mut self.new_unanswered_starts);
            self.outputs
                .push(Output::Propose(Command::StartsUnanswered(tasks)));
        }
        if !self.records.is_empty() {
            let records = std::mem::take(&mut self.records);
            self.outputs
                .push(Output::Propose(Command::RunEvents(records)));
        }
    }

    pub(crate) fn emit(&mut self, event: DecisionEvent) {
        self.outputs.push(Output::Event(event));
    }
}
