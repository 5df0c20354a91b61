use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{FutureExt, future::BoxFuture};
use parking_lot::Mutex;
use tarragon_entry::{MachineCalls, MachineOutcome};
use tarragon_names::{Name, WorkerName};
use tarragon_upkeep::{Machine, MachineList, MachineState};
use tarragon_workflow::WaveKey;
use tokio::sync::Semaphore;

use super::{Cause, MACHINE_DOWN_TIME, Workers};

/// An order for the upkeep of a machine, as the platform received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedOrder {
    pub machine: Name,
    pub holder: Name,
    pub fence: u64,
    pub outcome: MachineOutcome,
    /// Whether the order took the machine down.
    pub has_begun: bool,
    /// Number of other machines that were down for upkeep when the order arrived.
    pub others_down: usize,
    /// Number of runs on all workers when the order arrived.
    pub runs: usize,
    /// Number of runs that the upkeep ended.
    pub ended_runs: usize,
    /// Number of tasks that an earlier upkeep had ended, or that had been away for long for another
    /// cause, when the order arrived.
    pub tasks_away: usize,
}

#[derive(Debug, Default)]
struct MachineRecord {
    /// Worker on the machine, if it has one.
    worker: Option<WorkerName>,
    /// Highest fencing token of an order for this machine.
    fence: u64,
    waves: BTreeSet<WaveKey>,
    down_until: Option<Instant>,
    /// Whether the entry in the list of machines cannot be read.
    is_unreadable: bool,
}

impl MachineRecord {
    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }
}

#[derive(Debug, Default)]
struct PlatformState {
    machines: BTreeMap<Name, MachineRecord>,
    orders: Vec<ReceivedOrder>,
}

/// Platform with machines that are ordered down for upkeep; it checks the fencing token of each
/// machine by itself.
#[derive(Debug)]
pub struct Platform {
    state: Arc<Mutex<PlatformState>>,
    pub workers: Arc<Workers>,
    /// Permits to answer orders; without one, an order is carried out and its answer is held back.
    answers: Arc<Semaphore>,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            workers: Arc::default(),
            answers: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
        }
    }
}

impl Platform {
    /// Machines that are up and have no worker.
    pub fn machines_without_worker(&self) -> Vec<Name> {
        let state = self.state.lock();
        let machines = state.machines.iter();
        let machines = machines.filter(|(_, record)| record.worker.is_none() && !record.is_down());
        machines.map(|(name, _)| name.clone()).collect()
    }

    /// Ends the worker of a machine, which stays up.
    pub fn crash_worker(&self, machine: &str) -> Option<WorkerName> {
        let mut state = self.state.lock();
        let worker = state.machines.get_mut(machine)?.worker.take()?;
        self.workers.end(&worker, Cause::Crash);
        Some(worker)
    }

    /// Adds a machine, or a worker on a machine that has none.
    pub fn add_machine(&self, name: &str, worker: Option<&str>) {
        let mut state = self.state.lock();
        let record = state.machines.entry(Name::from(name)).or_default();
        record.worker = worker.map(WorkerName::from);
    }

    /// Sets whether the entry of a machine in the list can be read.
    pub fn set_readable(&self, machine: &str, is_readable: bool) {
        let mut state = self.state.lock();
        let record = state.machines.entry(Name::from(machine)).or_default();
        record.is_unreadable = !is_readable;
    }

    pub fn orders(&self) -> Vec<ReceivedOrder> {
        self.state.lock().orders.clone()
    }

    /// Holds back the answers to orders until [`Self::release_answers`] is called.
    pub fn hold_answers(&self) {
        self.answers.forget_permits(Semaphore::MAX_PERMITS);
    }

    pub fn release_answers(&self) {
        self.answers.add_permits(Semaphore::MAX_PERMITS);
    }
}

impl PlatformState {
    fn begin_upkeep(
        &mut self,
        machine: &Name,
        wave: WaveKey,
        fence: u64,
        workers: &Workers,
    ) -> MachineOutcome {
        let Some(record) = self.machines.get_mut(machine) else {
            return MachineOutcome::Refused;
        };
        if fence < record.fence {
            return MachineOutcome::Fenced;
        }
        record.fence = fence;
        if record.waves.contains(&wave) {
            return MachineOutcome::Done;
        }
        if record.is_down() {
            return MachineOutcome::Busy;
        }
        record.waves.insert(wave);
        if let Some(worker) = record.worker.take() {
            workers.end(&worker, Cause::Upkeep);
        }
        record.down_until = Some(Instant::now() + Duration::from_millis(MACHINE_DOWN_TIME.0));
        MachineOutcome::Done
    }
}

impl MachineCalls for Platform {
    fn list(&self, _: Duration) -> BoxFuture<'static, Option<MachineList>> {
        let state = Arc::clone(&self.state);
        async move {
            let state = state.lock();
            let all = state.machines.len();
            let readable = state.machines.iter();
            let readable = readable.filter(|(_, record)| !record.is_unreadable);
            let machines = readable.map(|(name, record)| {
                let machine = Machine {
                    name: name.clone(),
                    state: if record.is_down() {
                        MachineState::Upkeep
                    } else {
                        MachineState::Up
                    },
                    worker: record.worker.clone(),
                };
                (name.clone(), machine)
            });
            let machines = machines.collect::<BTreeMap<_, _>>();
            Some(MachineList {
                unreadable: all - machines.len(),
                machines,
            })
        }
        .boxed()
    }

    fn begin_upkeep(
        &self,
        machine: Name,
        wave: WaveKey,
        holder: Name,
        fence: u64,
        _: Duration,
    ) -> BoxFuture<'static, MachineOutcome> {
        let (state, answers) = (Arc::clone(&self.state), Arc::clone(&self.answers));
        let workers = Arc::clone(&self.workers);
        async move {
            let outcome = {
                let mut state = state.lock();
                let down = state.machines.iter().filter(|(_, record)| record.is_down());
                let others_down = down.filter(|(name, _)| **name != machine).count();
                let (runs, tasks_away) = (workers.run_count(), workers.tasks_away());
                let was_down = state
                    .machines
                    .get(&machine)
                    .is_none_or(MachineRecord::is_down);
                let outcome = state.begin_upkeep(&machine, wave, fence, &workers);
                let is_down = state
                    .machines
                    .get(&machine)
                    .is_some_and(MachineRecord::is_down);
                state.orders.push(ReceivedOrder {
                    machine,
                    holder,
                    fence,
                    outcome,
                    has_begun: is_down && !was_down,
                    others_down,
                    runs,
                    ended_runs: runs.saturating_sub(workers.run_count()),
                    tasks_away,
                });
                outcome
            };
            let permit = answers.acquire().await;
            permit.expect("the semaphore is never closed").forget();
            outcome
        }
        .boxed()
    }
}
