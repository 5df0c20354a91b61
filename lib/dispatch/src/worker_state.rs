use std::{collections::BTreeMap, sync::Arc};

use tarragon_names::{Millis, PoolName, Resources};
use tarragon_queue::Quotas;
use tarragon_workflow::{RunEnd, StepKey, TaskKey, WorkerIncarnation, WorkerRecord};

use crate::{
    DispatchConfig, FencingToken, FinishedRun,
    address_claim::AddressClaim,
    dispatcher_throttle::FULL_RATE,
    earlier_lease::{EarlierLease, LEASE_MARGIN, SLOWEST_CLOCK_PERCENT, longest_on_slow_clock},
    failure_rate::RecentOutcomes,
    held_ends::HeldEnds,
    listed_end::ListedEnd,
    run_spec::RunSpec,
    run_view::{RunView, StopState},
    unexpected_runs::UnexpectedRuns,
    unusable::Unusable,
    worker_speed::WorkerSpeed,
};

/// Time for which a worker is not polled after it refused the term of the leader or its incarnation
/// ended.
const POLL_SUSPENSION: Millis = Millis(5_000);

/// The leader's knowledge of a worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerState {
    pub(crate) record: WorkerRecord,
    /// Token of the calls to the worker.
    pub(crate) fence: FencingToken,
    /// Time of the last heartbeat or answer.
    pub(crate) last_contact: Millis,
    /// Time at which the worker leaves, if it announced that.
    pub(crate) leaves_at: Option<Millis>,
    /// Whether the worker has answered a poll of this term, and therefore refuses earlier leaders.
    pub(crate) is_synced: bool,
    /// Last reading of the worker's clock, and the time at which it was received.
    clock: Option<(u64, Millis)>,
    /// Latest end of a lease that may have been granted, on the worker's clock.
    lease_until_ms: u64,
    /// Latest time at which a call with a lease was sent or may have been answered.
    pub(crate) last_lease_call_at: Millis,
    /// Leases that earlier calls may have granted.
    pub(crate) earlier_lease: EarlierLease,
    /// Time at which the last answered poll was sent; `None` before the first answer.
    pub(crate) confirmed_at: Option<Millis>,
    /// No poll is sent before this time.
    pub(crate) next_poll_at: Millis,
    pub(crate) poll_failures: u32,
    /// Number of polls in a row that did not leave the host that was to send them.
    pub(crate) unsent_polls: u32,
    /// Highest number of an end that was proposed; the next poll waits for its commit.
    pub(crate) last_proposed_end: u64,
    pub(crate) held_ends: HeldEnds,
    /// Worker that has announced itself at the address of this one.
    pub(crate) address_claim: Option<AddressClaim>,
    /// Runs by task. `insert_run`, `remove_run` and `set_ended` keep `used` consistent with them.
    pub(crate) runs: BTreeMap<TaskKey, RunView>,
    /// Resources of the runs that have not ended.
    used: Resources,
    unexpected: UnexpectedRuns,
    /// Usage of the teams on all workers. `insert_run`, `remove_run`, `set_ended`, `set_unexpected` and
    /// `release_usage` keep it consistent with the runs on this one.
    quotas: Arc<Quotas>,
    /// Resources reserved for steps that wait for tickets or for preempted runs to end.
    pub(crate) reserved: BTreeMap<StepKey, Resources>,
    /// Resources that steps with an open request for advice may use here. Other requests name other
    /// workers first, so that steps that ask at the same time do not ask for the same capacity.
    pub(crate) asked: BTreeMap<StepKey, Resources>,
    /// Resources of the runs that may be preempted, by their priority, as of the last update.
    preemptible: BTreeMap<u32, Resources>,
    /// Pool and available processor time under which the worker is in the index of the table.
    pub(crate) indexed: Option<(PoolName, u64)>,
    /// Whether the worker changed since the last update of the index.
    pub(crate) is_unindexed: bool,
    /// Time at which the upkeep of the worker's machine was ordered; `None` if no order is open.
    pub(crate) going_down_since: Option<Millis>,
    /// Start time of the later incarnation under the same name that has answered a poll.
    pub(crate) restarted_ms: Option<u64>,
    /// Time at which it answered a call that shuts out those for the incarnations before.
    pub(crate) shut_out_at: Option<Millis>,
    /// Whether the lease has expired. The runs on the worker were declared lost, but for those that may be
    /// on an incarnation that nobody has noticed yet.
    pub(crate) is_lease_expired: bool,
    /// Duration of runs on this worker, relative to their estimates.
    pub(crate) speed: WorkerSpeed,
    /// Time at which the last successful run was reported.
    pub(crate) last_success_at: Millis,
    /// Rate of the best-effort runs on this worker, in percent.
    pub(crate) best_effort_rate: u64,
    /// Time since which all latency-sensitive runs on this worker are well below their targets.
    pub(crate) below_target_since: Option<Millis>,
    /// Nothing is placed on the worker before this time, because it refused or delayed runs, or
    /// because its machine goes down.
    pub(crate) avoid_until: Millis,
    /// End of the pause after a failed run of a job that may fail everywhere.
    pub(crate) paused_until: Millis,
    /// Outcomes of the latest runs.
    pub(crate) outcomes: RecentOutcomes,
    /// End of the pause after a failed run that is most likely the fault of the worker.
    pub(crate) failing_until: Millis,
    /// Time of the next probe, while the worker is quarantined.
    pub(crate) set_aside_until: Millis,
}

impl WorkerState {
    pub(crate) fn new(
        record: WorkerRecord,
        fence: FencingToken,
        now: Millis,
        earlier_lease: EarlierLease,
        quotas: Arc<Quotas>,
    ) -> Self {
        let last_proposed_end = record.acknowledged;
        Self {
            record,
            fence,
            last_contact: now,
            leaves_at: None,
            is_synced: false,
            clock: None,
            lease_until_ms: 0,
            last_lease_call_at: Millis(0),
            earlier_lease,
            confirmed_at: None,
            next_poll_at: now,
            poll_failures: 0,
            unsent_polls: 0,
            last_proposed_end,
            held_ends: HeldEnds::default(),
            address_claim: None,
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            unexpected: UnexpectedRuns::default(),
            quotas,
            reserved: BTreeMap::new(),
            asked: BTreeMap::new(),
            preemptible: BTreeMap::new(),
            indexed: None,
            is_unindexed: true,
            going_down_since: None,
            restarted_ms: None,
            shut_out_at: None,
            is_lease_expired: false,
            speed: WorkerSpeed::default(),
            last_success_at: Millis(0),
            best_effort_rate: FULL_RATE,
            below_target_since: None,
            avoid_until: Millis(0),
            paused_until: Millis(0),
            outcomes: RecentOutcomes::default(),
            failing_until: Millis(0),
            set_aside_until: Millis(0),
        }
    }

    pub(crate) fn incarnation(&self) -> &WorkerIncarnation {
        &self.record.incarnation
    }

    /// Returns whether the incarnation may still carry out orders.
    pub(crate) fn takes_orders(&self) -> bool {
        !self.is_lease_expired && self.restarted_ms.is_none()
    }

    /// Returns whether the worker confirmed its runs recently: its last poll was answered, and sent
    /// at most two polls ago.
    pub(crate) fn is_confirmed(&self, now: Millis, cfg: &DispatchConfig) -> bool {
        let max_age = cfg.poll_wait + cfg.poll_wait + cfg.order_timeout;
        let is_recent = |at| now.since(at) <= max_age;
        self.takes_orders() && self.poll_failures == 0 && self.confirmed_at.is_some_and(is_recent)
    }

    /// Records a reading of the worker's clock.
    pub(crate) fn record_clock(&mut self, clock_ms: u64, now: Millis) {
        if self.clock.is_none() {
            // From the first answered poll on, the worker refuses earlier calls.
            let until = clock_ms.saturating_add(self.earlier_lease.longest.0);
            self.lease_until_ms = self.lease_until_ms.max(until);
        }
        self.clock = Some((clock_ms, now));
    }

    /// Earliest reading that the worker's clock can show at `now`; `None` before the first reading.
    fn least_clock_ms(&self, now: Millis) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        let elapsed = now.since(at).0 * SLOWEST_CLOCK_PERCENT / 100;
        Some(clock_ms.saturating_add(elapsed))
    }

    /// Grants a lease from now on and returns its end on the worker's clock. Returns `None` before
    /// the first reading of the clock.
    ///
    /// The lease is counted from the earliest possible reading, so that no leader ever grants more
    /// than `lease` from the time of the grant.
    pub(crate) fn grant_lease(&mut self, now: Millis, lease: Millis) -> Option<u64> {
        let until = self.least_clock_ms(now)?.saturating_add(lease.0);
        self.lease_until_ms = self.lease_until_ms.max(until);
        self.last_lease_call_at = now;
        Some(until)
    }

    /// Time by which every lease of an incarnation that nobody has noticed yet has ended. It took the longest
    /// one from a call for the incarnation before.
    pub(crate) fn unnoticed_lease_ends_by(&self, cfg: &DispatchConfig) -> Millis {
        self.last_lease_call_at + cfg.order_timeout + longest_on_slow_clock(cfg.max_lease)
    }

    /// Returns whether every lease that the worker may hold has certainly expired.
    ///
    /// Before the first reading of its clock, the last earlier call may have granted the longest lease.
    pub(crate) fn has_lease_certainly_expired(&self, now: Millis) -> bool {
        let Some(least) = self.least_clock_ms(now) else {
            return now > self.earlier_lease.ends_by();
        };
        least > self.lease_until_ms.saturating_add(LEASE_MARGIN.0)
    }

    /// What is known of the lease and of the worker's clock, for the log.
    pub(crate) fn lease_detail(&self, now: Millis) -> String {
        let Some((clock_ms, at)) = self.clock else {
            return "its clock was not read".to_owned();
        };
        let until = self.lease_until_ms;
        let age = now.since(at).0;
        format!("lease until {until} on its clock, which showed {clock_ms} {age} ms ago")
    }

    /// Number of start orders that may still arrive although they have no answer.
    pub(crate) fn outstanding_starts(&self, now: Millis) -> usize {
        let runs = self.runs.values();
        runs.filter(|view| view.has_outstanding_start(now)).count()
    }

    pub(crate) fn insert_run(&mut self, task: TaskKey, view: RunView) {
        self.remove_run(&task);
        if !view.is_ended {
            self.occupy(&view.spec);
        }
        self.runs.insert(task, view);
    }

    pub(crate) fn remove_run(&mut self, task: &TaskKey) {
        self.set_ended(task, true);
        self.runs.remove(task);
    }

    /// Runs that may be on the next incarnation of the worker, or may still start there.
    pub(crate) fn transferable_runs(&self, now: Millis) -> Vec<(TaskKey, RunView)> {
        let runs = self.runs.iter();
        let transferable = runs.filter(|(_, view)| view.may_be_on_next_incarnation(now));
        transferable
            .map(|(task, view)| (*task, view.clone()))
            .collect()
    }

    /// Handles the end of a run that the worker lists; `None` if the run is not known here.
    pub(crate) fn end_listed(&mut self, ended: &FinishedRun, now: Millis) -> Option<ListedEnd> {
        let view = self.runs.get_mut(&ended.task)?;
        if view.run != ended.run {
            return None;
        }
        let listed = ListedEnd {
            is_expected: !view.is_ended,
            is_first: view.listed_end.replace(ended.number).is_none(),
            ran: now.since(view.placed_at),
            usage_or_tail_ms: view.usage_or_tail_ms,
        };
        let estimate = view.spec.estimate;
        self.set_ended(&ended.task, true);
        if listed.is_first && ended.end == RunEnd::Done {
            self.last_success_at = now;
            self.speed.record_run(listed.ran, estimate);
        }
        Some(listed)
    }

    /// Marks a run as ended, which frees its capacity, or reverts that.
    pub(crate) fn set_ended(&mut self, task: &TaskKey, is_ended: bool) {
        let Some(view) = self.runs.get_mut(task) else {
            return;
        };
        if view.is_ended == is_ended {
            return;
        }
        view.is_ended = is_ended;
        let spec = view.spec.clone();
        if !is_ended {
            self.occupy(&spec);
            return;
        }
        self.used = self.used.saturating_sub(&spec.need);
        if let Some(team) = &spec.team {
            self.quotas.subtract_usage(team, &spec.need);
        }
    }

    fn occupy(&mut self, spec: &RunSpec) {
        self.used += spec.need;
        if let Some(team) = &spec.team {
            self.quotas.add_usage(team, &spec.need);
        }
    }

    /// Replaces the runs that the worker lists although the leader expects none there.
    pub(crate) fn set_unexpected(&mut self, unexpected: UnexpectedRuns) {
        for (team, resources) in &unexpected.by_team {
            self.quotas.add_usage(team, resources);
        }
        for (team, resources) in &self.unexpected.by_team {
            self.quotas.subtract_usage(team, resources);
        }
        self.unexpected = unexpected;
    }

    /// Takes the runs of the worker from the usage of their teams, when the worker is removed.
    pub(crate) fn release_usage(&mut self) {
        self.set_unexpected(UnexpectedRuns::default());
        let runs = self.runs.values().filter(|view| !view.is_ended);
        for spec in runs.map(|view| &view.spec) {
            if let Some(team) = &spec.team {
                self.quotas.subtract_usage(team, &spec.need);
            }
        }
    }

    /// Free capacity for a step, without the reservations of other steps.
    pub(crate) fn free_for(&self, step: &StepKey) -> Resources {
        let reserved = self.reserved.iter().filter(|(key, _)| *key != step);
        let reserved = reserved.map(|(_, resources)| *resources).sum::<Resources>();
        self.unoccupied().saturating_sub(&reserved)
    }

    /// Capacity that no run uses, whether the leader expects it there or not.
    fn unoccupied(&self) -> Resources {
        let free = self.record.capacity.saturating_sub(&self.used);
        free.saturating_sub(&self.unexpected.total)
    }

    /// Capacity that is free once all runs have ended that end by themselves.
    pub(crate) fn capacity_beside_lasting(&self) -> Resources {
        let lasting = self.runs.values().filter(|view| {
            let is_kept = view.stop == StopState::NotRequested && !view.is_ended;
            is_kept && view.spec.is_long_running
        });
        let lasting = lasting.map(|view| view.spec.need).sum::<Resources>();
        self.record.capacity.saturating_sub(&lasting)
    }

    /// Processor time that no run uses: the part that is reserved for steps, and the rest.
    pub(crate) fn idle_cpu(&self) -> (u64, u64) {
        let idle = self.unoccupied().cpu_milli;
        let reserved = self.reserved.values().copied().sum::<Resources>();
        let idle_reserved = reserved.cpu_milli.min(idle);
        (idle_reserved, idle - idle_reserved)
    }

    /// Capacity that no run uses and no step has reserved or asked for.
    pub(crate) fn available(&self) -> Resources {
        let asked = self.asked.values().copied().sum::<Resources>();
        let reserved = self.reserved.values().copied().sum::<Resources>();
        let free = self.unoccupied();
        free.saturating_sub(&asked).saturating_sub(&reserved)
    }

    /// Sums up the resources of the runs that may be preempted.
    pub(crate) fn update_totals(&mut self) {
        self.preemptible.clear();
        for view in self.runs.values().filter(|view| view.is_preemptible()) {
            let sum = self.preemptible.entry(view.spec.priority).or_default();
            *sum += view.spec.need;
        }
    }

    /// Resources of the runs that may be preempted for a queue of the given priority, as of the last
    /// update.
    pub(crate) fn preemptible_for(&self, priority: u32) -> Resources {
        let less_urgent = self.preemptible.range(priority.saturating_add(1)..);
        less_urgent.map(|(_, resources)| *resources).sum()
    }

    /// Returns whether new tasks may be placed on the worker.
    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        self.unusable(now).is_none()
    }

    /// Returns why no new tasks may be placed on the worker; `None` if they may.
    pub(crate) fn unusable(&self, now: Millis) -> Option<Unusable> {
        let is_going_down = self.going_down_since.is_some() || self.record.is_draining;
        if !self.takes_orders() {
            Some(Unusable::LeaseOver)
        } else if !self.is_synced {
            Some(Unusable::Unsynced)
        } else if is_going_down || self.leaves_at.is_some() {
            Some(Unusable::GoingDown)
        } else if self.poll_failures > 0 {
            Some(Unusable::Silent)
        } else if now < self.set_aside_until {
            Some(Unusable::SetAside)
        } else if now < self.paused_until.max(self.failing_until) {
            Some(Unusable::FailedRuns)
        } else {
            (now < self.avoid_until).then_some(Unusable::Avoided)
        }
    }

    /// Returns whether nothing is placed on the worker because of failed runs that may not be its
    /// fault.
    pub(crate) fn is_suspected(&self, now: Millis) -> bool {
        now < self.paused_until.max(self.set_aside_until)
    }

    /// Sends no polls for a while: another host leads or the incarnation has ended, and the log
    /// will soon show which.
    pub(crate) fn suspend_polls(&mut self, now: Millis) {
        self.is_synced = false;
        self.next_poll_at = now + POLL_SUSPENSION;
    }

    /// Number of tasks of a step that run on this worker.
    pub(crate) fn running_tasks_of(&self, step: &StepKey) -> u32 {
        let first = TaskKey {
            step: *step,
            index: 0,
        };
        let tasks = self.runs.range(first..);
        tasks
            .take_while(|(task, _)| task.step == *step)
            .filter(|(_, run)| !run.is_ended)
            .count() as u32
    }
}
