use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use tarragon_dispatch::Input;
use tarragon_names::{Millis, Name, Term, WorkerName};
use tarragon_replica::Clock;
use tarragon_telemetry::{Event, EventSink};
use tarragon_upkeep::{
    BoundedTask, Machine, UpkeepInputs, UpkeepStep, ends_incarnation, next_steps,
};
use tarragon_workflow::{Command, WaveKey, WorkerRecord, WorkflowState};
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::{
    EntryHost, MachineCalls, MachineOutcome, available_tasks::AvailableTasks,
    dispatch_handle::DispatchHandle,
};

/// Interval between two checks of the open waves.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a call to the platform.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which the platform's list of machines may not show an order yet.
const LIST_LAG: Duration = Duration::from_millis(1_000);

/// Carries out waves of upkeep while this host leads.
pub(crate) struct UpkeepLoop {
    pub(crate) workflow_state: Arc<WorkflowState>,
    pub(crate) dispatch: DispatchHandle,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) events: Arc<dyn EventSink>,
    pub(crate) machines: Arc<dyn MachineCalls>,
    pub(crate) available_tasks: Arc<AvailableTasks>,
    /// Time for which a machine is down during its upkeep.
    pub(crate) down_time: Millis,
    /// Machines whose upkeep was ordered so recently that the list may not show it yet, each with
    /// the time of the order.
    pub(crate) recently_ordered: BTreeMap<Name, Instant>,
    /// Term in which this host leads and the time at which the loop saw it first. The list shows
    /// the orders of an earlier leader only after the settle time.
    pub(crate) leader_since: Option<(Term, Instant)>,
}

impl UpkeepLoop {
    pub(crate) async fn run(mut self, host: Arc<EntryHost>, stop: CancellationToken) {
        let mut ticks = interval(CHECK_INTERVAL);
        while stop.run_until_cancelled(ticks.tick()).await.is_some() {
            let Some(term) = host.lease().map(|lease| lease.term()) else {
                self.leader_since = None;
                continue;
            };
            if self.leader_since.is_none_or(|(known, _)| known != term) {
                self.leader_since = Some((term, Instant::now()));
                self.recently_ordered.clear();
            }
            if self.workflow_state.has_open_wave() {
                self.check_waves(&host, term).await;
            }
        }
    }

    /// Returns the time after which the list shows an order or its machine is up again.
    fn settle_time(&self) -> Duration {
        Duration::from_millis(self.down_time.0) + LIST_LAG
    }

    async fn check_waves(&mut self, host: &EntryHost, term: Term) {
        let settle_time = self.settle_time();
        self.recently_ordered
            .retain(|_, at| at.elapsed() < settle_time);
        let Some(listed) = self.machines.list(PLATFORM_CALL_TIMEOUT).await else {
            self.events.emit(&Event::warning("machines_not_listed"));
            return;
        };
        let is_settled = |(_, since): (Term, Instant)| since.elapsed() >= settle_time;
        if !self.leader_since.is_some_and(is_settled) {
            return;
        }
        let machines = listed
            .into_iter()
            .map(|machine| (machine.name.clone(), machine));
        let machines = machines.collect::<BTreeMap<Name, Machine>>();
        let recently_ordered = self
            .recently_ordered
            .keys()
            .cloned()
            .collect::<BTreeSet<_>>();
        let inputs = UpkeepInputs {
            machines: &machines,
            recently_ordered: &recently_ordered,
            runs: &self.run_counts(),
            bounded: &self.bounded_tasks(),
            now_ms: self.clock.wall_ms(),
            down_time: self.down_time,
        };
        for step in next_steps(&self.workflow_state.waves(), &inputs) {
            match step {
                UpkeepStep::Drain { worker } => self.dispatch.send(Input::AvoidWorker(worker)),
                UpkeepStep::Skip { wave, machine } => host.record_upkeep(wave, machine).await,
                UpkeepStep::Begin {
                    wave,
                    machine,
                    worker,
                } => self.begin_upkeep(host, term, wave, machine, worker).await,
            }
        }
    }

    async fn begin_upkeep(
        &mut self,
        host: &EntryHost,
        term: Term,
        wave: WaveKey,
        machine: Name,
        worker: Option<WorkerName>,
    ) {
        // Recorded before the call, because the answer may be lost although the order is carried
        // out.
        self.recently_ordered
            .insert(machine.clone(), Instant::now());
        let record = worker.and_then(|worker| self.workflow_state.worker(&worker));
        let holder = Name::from(host.name().as_str());
        let outcome = self
            .machines
            .begin_upkeep(machine.clone(), wave, holder, term.0, PLATFORM_CALL_TIMEOUT)
            .await;
        let event = Event::info("upkeep_ordered");
        self.events
            .emit(&event.detail(format!("machine {machine}, wave {wave}: {outcome:?}")));
        match outcome {
            MachineOutcome::Done => {
                let current_wave = self.workflow_state.wave(wave);
                let has_ended = |record: &WorkerRecord| {
                    current_wave.is_some_and(|wave| ends_incarnation(&wave, &record.incarnation))
                };
                if let Some(record) = record.filter(has_ended) {
                    host.record(Command::RemoveWorker(record.incarnation)).await;
                }
                host.record_upkeep(wave, machine).await;
            }
            MachineOutcome::Refused => {
                self.recently_ordered.remove(&machine);
            }
            MachineOutcome::Unanswered => {}
        }
    }

    /// Returns the tasks of steps with bounded unavailability.
    fn bounded_tasks(&self) -> Vec<BoundedTask> {
        let available_tasks = self.available_tasks.get();
        let mut tasks = Vec::new();
        self.workflow_state.for_each_job(|job| {
            for (task, step, placement) in job.long_running() {
                if let Some(max_unavailable) = step.max_unavailable {
                    tasks.push(BoundedTask {
                        step: task.step,
                        worker: placement.map(|placement| placement.incarnation.worker.clone()),
                        is_available: placement.is_some() && available_tasks.contains(&task),
                        max_unavailable,
                    });
                }
            }
        });
        tasks
    }

    /// Returns the number of runs by worker in the replicated state.
    fn run_counts(&self) -> BTreeMap<WorkerName, usize> {
        let mut runs = BTreeMap::new();
        self.workflow_state.for_each_job(|job| {
            for (_, placement) in job.placements() {
                *runs.entry(placement.incarnation.worker).or_default() += 1;
            }
        });
        runs
    }
}
