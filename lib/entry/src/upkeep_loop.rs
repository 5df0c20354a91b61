use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use tarragon_dispatch::Input;
use tarragon_names::{Millis, Name, WorkerName};
use tarragon_replica::Clock;
use tarragon_telemetry::{Event, EventSink};
use tarragon_upkeep::{
    BoundedTask, Machine, UpkeepInputs, UpkeepStep, ends_incarnation, next_steps,
};
use tarragon_workflow::{Command, WaveKey, WorkerRecord, WorkflowState};
use tokio::time::interval;
use tokio_util::sync::CancellationToken;

use crate::{
    EntryHost, MachineCalls, MachineOutcome, at_work::AtWork, dispatch_handle::DispatchHandle,
};

/// Time between two looks at the waves.
const LOOK: Duration = Duration::from_millis(500);

/// Time limit of a call to the platform.
const LIMIT: Duration = Duration::from_millis(1_000);

/// Time for which the list may lack what was ordered.
const LIST_LAG: Duration = Duration::from_millis(1_000);

/// Carries out waves of upkeep while its host leads.
pub(crate) struct UpkeepLoop {
    pub(crate) flow: Arc<WorkflowState>,
    pub(crate) dispatch: DispatchHandle,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) events: Arc<dyn EventSink>,
    pub(crate) machines: Arc<dyn MachineCalls>,
    pub(crate) at_work: Arc<AtWork>,
    /// Time for which a machine is down.
    pub(crate) down_time: Millis,
    pub(crate) ordered: BTreeMap<Name, Instant>,
    /// When this host began to lead; an earlier leader's orders are shown by the list only later.
    pub(crate) led_since: Option<(u64, Instant)>,
}

impl UpkeepLoop {
    pub(crate) async fn run(mut self, host: Arc<EntryHost>, stop: CancellationToken) {
        let mut due = interval(LOOK);
        while stop.run_until_cancelled(due.tick()).await.is_some() {
            let Some(term) = host.leading_term() else {
                self.led_since = None;
                continue;
            };
            if self.led_since.is_none_or(|(known, _)| known != term) {
                self.led_since = Some((term, Instant::now()));
                self.ordered.clear();
            }
            if self.flow.has_open_wave() {
                self.look(&host, term).await;
            }
        }
    }

    /// Time after which an order shows in the list or its machine is up again.
    fn settled(&self) -> Duration {
        Duration::from_millis(self.down_time.0) + LIST_LAG
    }

    async fn look(&mut self, host: &EntryHost, term: u64) {
        let settled = self.settled();
        self.ordered.retain(|_, at| at.elapsed() < settled);
        let Some(listed) = self.machines.list(LIMIT).await else {
            self.events.emit(&Event::warning("machines_not_listed"));
            return;
        };
        let is_known = |(_, since): (u64, Instant)| since.elapsed() >= settled;
        if !self.led_since.is_some_and(is_known) {
            return;
        }
        let machines = listed
            .into_iter()
            .map(|machine| (machine.name.clone(), machine));
        let machines = machines.collect::<BTreeMap<Name, Machine>>();
        let ordered = self.ordered.keys().cloned().collect::<BTreeSet<_>>();
        let known = UpkeepInputs {
            machines: &machines,
            recently_ordered: &ordered,
            runs: &self.runs(),
            bounded: &self.bounded(),
            now_ms: self.clock.wall_ms(),
            down_time: self.down_time,
        };
        for step in next_steps(&self.flow.waves(), &known) {
            match step {
                UpkeepStep::Drain { worker } => self.dispatch.send(Input::AvoidWorker(worker)),
                UpkeepStep::Skip { wave, machine } => host.record_upkeep(wave, machine).await,
                UpkeepStep::Begin {
                    wave,
                    machine,
                    worker,
                } => self.begin(host, term, wave, machine, worker).await,
            }
        }
    }

    async fn begin(
        &mut self,
        host: &EntryHost,
        term: u64,
        wave: WaveKey,
        machine: Name,
        worker: Option<WorkerName>,
    ) {
        // Counted before the answer, which may be lost although the order is carried out.
        self.ordered.insert(machine.clone(), Instant::now());
        let life = worker.and_then(|worker| self.flow.worker(&worker));
        let holder = Name::from(host.own().as_str());
        let outcome = self
            .machines
            .begin_upkeep(machine.clone(), wave, holder, term, LIMIT)
            .await;
        let event = Event::info("upkeep_ordered");
        self.events
            .emit(&event.detail(format!("machine {machine}, wave {wave}: {outcome:?}")));
        match outcome {
            MachineOutcome::Done => {
                let known = self.flow.wave(wave);
                let has_ended = |record: &WorkerRecord| {
                    known.is_some_and(|wave| ends_incarnation(&wave, &record.incarnation))
                };
                if let Some(record) = life.filter(has_ended) {
                    host.record(Command::RemoveWorker(record.incarnation)).await;
                }
                host.record_upkeep(wave, machine).await;
            }
            MachineOutcome::Refused => {
                self.ordered.remove(&machine);
            }
            MachineOutcome::Unanswered => {}
        }
    }

    /// Tasks of steps with bounded unavailability.
    fn bounded(&self) -> Vec<BoundedTask> {
        let at_work = self.at_work.get();
        let mut tasks = Vec::new();
        self.flow.for_each_job(|job| {
            for (task, step, placement) in job.long_running() {
                if let Some(most_away) = step.max_unavailable {
                    tasks.push(BoundedTask {
                        step: task.step,
                        worker: placement.map(|placement| placement.incarnation.worker.clone()),
                        is_available: placement.is_some() && at_work.contains(&task),
                        max_unavailable: most_away,
                    });
                }
            }
        });
        tasks
    }

    /// Runs by worker, as the replicated state knows them.
    fn runs(&self) -> BTreeMap<WorkerName, usize> {
        let mut runs = BTreeMap::new();
        self.flow.for_each_job(|job| {
            for (_, placement) in job.placements() {
                *runs.entry(placement.incarnation.worker).or_default() += 1;
            }
        });
        runs
    }
}
