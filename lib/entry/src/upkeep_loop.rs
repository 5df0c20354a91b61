use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tarragon_dispatch::Input;
use tarragon_names::{Millis, Name, Term, WorkerName};
use tarragon_replica::Clock;
use tarragon_telemetry::{Event, EventSink};
use tarragon_upkeep::{BoundedTask, MachineList, UpkeepInputs, UpkeepStep, next_steps};
use tarragon_workflow::{Command, MachinePhase, Wave, WaveKey, WorkerIncarnation, WorkflowState};
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
const LIST_LAG: Millis = Millis(1_000);

/// Age from which a list of machines is no longer used for orders. A pause of the process counts.
const MAX_LIST_AGE: Millis = Millis(2_000);

/// An order for a machine that the list may not show yet.
#[derive(Clone, Debug)]
pub(crate) struct RecentOrder {
    /// Time of the order or of its answer.
    at: Millis,
    /// Worker on the machine when the order was decided.
    worker: Option<WorkerName>,
}

/// Carries out waves of upkeep while this host leads.
///
/// Each order is committed as a [`MachinePhase::Ordered`] before it is sent, and sent only under a
/// lease that is valid then. A leader that stood still in between is therefore followed by one that
/// counts the machine as down and orders it again with its own, higher fencing token.
pub(crate) struct UpkeepLoop {
    pub(crate) workflow_state: Arc<WorkflowState>,
    pub(crate) dispatch: DispatchHandle,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) events: Arc<dyn EventSink>,
    pub(crate) machines: Arc<dyn MachineCalls>,
    pub(crate) available_tasks: Arc<AvailableTasks>,
    /// Time for which a machine is down during its upkeep.
    pub(crate) down_time: Millis,
    /// Orders of this leader that the list may not show yet, by machine.
    pub(crate) recently_ordered: BTreeMap<Name, RecentOrder>,
    /// Term in which this host leads and the time at which the loop saw it first. The list shows
    /// the orders of an earlier leader only after the settle time.
    pub(crate) leader_since: Option<(Term, Millis)>,
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
                self.leader_since = Some((term, self.clock.now()));
                self.recently_ordered.clear();
            }
            if self.workflow_state.has_open_wave() {
                stop.run_until_cancelled(self.check_waves(&host)).await;
            }
        }
    }

    /// Returns the time after which the list shows an order or its machine is up again.
    fn settle_time(&self) -> Millis {
        self.down_time + LIST_LAG
    }

    async fn check_waves(&mut self, host: &EntryHost) {
        let listed_at = self.clock.now();
        let Some(list) = self.machines.list(PLATFORM_CALL_TIMEOUT).await else {
            self.events.emit(&Event::warning("machines_not_listed"));
            return;
        };
        let settle_time = self.settle_time();
        let is_settled = |(_, since): (Term, Millis)| listed_at.since(since) >= settle_time;
        if !self.leader_since.is_some_and(is_settled) {
            return;
        }
        self.recently_ordered
            .retain(|_, order| listed_at.since(order.at) < settle_time);
        if list.unreadable > 0 {
            let detail = format!("{}, others: {}", list.unreadable, list.machines.len());
            let event = Event::warning("machine_entries_unreadable");
            self.events.emit(&event.detail(detail));
        }
        // Each order takes a while, in which tasks may end. The next one is therefore decided anew.
        let mut handled = BTreeSet::new();
        while self.clock.now().since(listed_at) < MAX_LIST_AGE {
            let waves = self.workflow_state.waves();
            let mut steps = self.next_steps(&waves, &list).into_iter();
            let Some(step) = steps.find(|step| !handled.contains(step)) else {
                return;
            };
            handled.insert(step.clone());
            self.carry_out(host, &list, step).await;
        }
    }

    /// Returns whether a step whose order was just committed would be chosen again.
    fn is_still_due(&self, list: &MachineList, key: WaveKey, begin: &UpkeepStep) -> bool {
        let mut waves = self.workflow_state.waves();
        if let UpkeepStep::Begin { machine, .. } = begin
            && let Some(wave) = waves.get_mut(&key)
        {
            wave.machines.insert(machine.clone(), MachinePhase::Waiting);
        }
        self.next_steps(&waves, list).contains(begin)
    }

    fn next_steps(&self, waves: &BTreeMap<WaveKey, Wave>, list: &MachineList) -> Vec<UpkeepStep> {
        let ordered = self.recently_ordered.iter();
        let ordered = ordered.map(|(machine, order)| (machine.clone(), order.worker.clone()));
        let inputs = UpkeepInputs {
            list,
            recently_ordered: &ordered.collect(),
            runs: &self.run_counts(),
            bounded: &self.bounded_tasks(),
            now_ms: self.clock.wall_ms(),
            down_time: self.down_time,
        };
        next_steps(waves, &inputs)
    }

    async fn carry_out(&mut self, host: &EntryHost, list: &MachineList, step: UpkeepStep) {
        match step {
            UpkeepStep::Drain { worker } => self.dispatch.send(Input::AvoidWorker(worker)),
            UpkeepStep::Skip { wave: key, machine } => {
                host.record(Command::MachineDone { key, machine }).await;
            }
            UpkeepStep::Begin {
                wave,
                machine,
                worker,
            } => {
                self.begin_upkeep(host, list, wave, machine, worker).await;
            }
            UpkeepStep::Repeat { wave, machine } => {
                let outcome = self.order_upkeep(host, wave, &machine).await;
                // An order of an earlier leader may still arrive. The platform refuses it only if
                // it has taken note of this leader's token.
                if outcome == Some(MachineOutcome::Busy) {
                    self.withdraw(host, wave, machine).await;
                }
            }
        }
    }

    async fn begin_upkeep(
        &mut self,
        host: &EntryHost,
        list: &MachineList,
        key: WaveKey,
        machine: Name,
        worker: Option<WorkerName>,
    ) {
        let record = worker.as_ref();
        let record = record.and_then(|worker| self.workflow_state.worker(worker));
        let ordered = Command::MachineOrdered {
            key,
            machine: machine.clone(),
            incarnation: record.map(|record| record.incarnation),
        };
        if !host.record(ordered).await {
            return;
        }
        // From the commit on nothing is placed on the machine, but something may have been before.
        let begin = UpkeepStep::Begin {
            wave: key,
            machine: machine.clone(),
            worker,
        };
        let outcome = if self.is_still_due(list, key, &begin) {
            self.order_upkeep(host, key, &machine).await
        } else {
            Some(MachineOutcome::Refused)
        };
        // No earlier order for this machine and wave can still be carried out.
        if matches!(
            outcome,
            Some(MachineOutcome::Busy | MachineOutcome::Refused)
        ) {
            self.withdraw(host, key, machine).await;
        }
    }

    /// Sends the order for a machine whose phase is [`MachinePhase::Ordered`], and records its
    /// confirmation. Returns `None` if no order was sent.
    async fn order_upkeep(
        &mut self,
        host: &EntryHost,
        key: WaveKey,
        machine: &Name,
    ) -> Option<MachineOutcome> {
        let Some(MachinePhase::Ordered { incarnation }) = self.phase(key, machine) else {
            return None;
        };
        let Some(lease) = host.lease() else {
            let event = Event::warning("upkeep_not_ordered");
            let detail = format!("machine {machine}, wave {key}: the lease has lapsed");
            self.events.emit(&event.detail(detail));
            let decisions = &host.metrics.decisions;
            decisions.with_label_values(&["upkeep_not_ordered"]).inc();
            return None;
        };
        let worker = incarnation.as_ref().map(|ended| ended.worker.clone());
        self.note_order(machine, worker.clone());
        let holder = Name::from(host.name().as_str());
        let outcome = self
            .machines
            .begin_upkeep(
                machine.clone(),
                key,
                holder,
                lease.term().0,
                PLATFORM_CALL_TIMEOUT,
            )
            .await;
        let event = Event::info("upkeep_ordered").term(lease.term());
        self.events
            .emit(&event.detail(format!("machine {machine}, wave {key}: {outcome:?}")));
        if outcome == MachineOutcome::Done {
            self.note_order(machine, worker);
            self.confirm(host, key, machine, incarnation).await;
        }
        Some(outcome)
    }

    fn note_order(&mut self, machine: &Name, worker: Option<WorkerName>) {
        let at = self.clock.now();
        let order = RecentOrder { at, worker };
        self.recently_ordered.insert(machine.clone(), order);
    }

    /// Records that the upkeep of a machine has begun, which ended the worker there.
    async fn confirm(
        &self,
        host: &EntryHost,
        key: WaveKey,
        machine: &Name,
        incarnation: Option<WorkerIncarnation>,
    ) {
        // Without the time of its start, the incarnation cannot be told from one that started
        // after the upkeep.
        let ended = incarnation.filter(|ended| ended.started_ms > 0);
        if let Some(ended) = ended
            && !host.record(Command::RemoveWorker(ended)).await
        {
            return;
        }
        let machine = machine.clone();
        host.record(Command::MachineDone { key, machine }).await;
    }

    /// Records that an order was certainly not carried out and never will be.
    async fn withdraw(&mut self, host: &EntryHost, key: WaveKey, machine: Name) {
        self.recently_ordered.remove(&machine);
        host.record(Command::MachineRefused { key, machine }).await;
    }

    fn phase(&self, key: WaveKey, machine: &Name) -> Option<MachinePhase> {
        let wave = self.workflow_state.wave(key)?;
        wave.machines.get(machine).cloned()
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
