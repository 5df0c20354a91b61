use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::{Millis, Name, WorkerName};
use tarragon_workflow::{MachinePhase, Wave, WaveKey};

use crate::{
    BoundedTask, Machine, MachineList, MachineState, UpkeepStep, bounded_task::breaks_bound,
};

/// State of the machines and of the work on them, from which [`next_steps`] decides.
#[derive(Clone, Debug)]
pub struct UpkeepInputs<'a> {
    /// All machines.
    pub list: &'a MachineList,
    /// Machines whose upkeep was ordered so recently that the list may not show it yet, each with
    /// the worker that ran there.
    pub recently_ordered: &'a BTreeMap<Name, Option<WorkerName>>,
    /// Number of runs by worker; a worker that is not listed has none.
    pub runs: &'a BTreeMap<WorkerName, usize>,
    /// Tasks of steps with bounded unavailability.
    pub bounded: &'a [BoundedTask],
    /// Unix time in milliseconds.
    pub now_ms: u64,
    /// Time for which a machine is down during its upkeep.
    pub down_time: Millis,
}

/// Returns the next steps of all waves.
///
/// Machines with the fewest runs go first, and the next ones in line get no new work. A machine
/// goes down when nothing runs there, or when the wave would otherwise miss its due time. The
/// number of machines that are down at once never exceeds the cap of the wave, and the number of
/// unavailable tasks never exceeds the bound of their step. An order that is not confirmed counts
/// as carried out for both, and is repeated. While its machine is up, it may never have been sent, so
/// the repetition waits until the bounds admit it.
///
/// A machine whose entry could not be read may be up, so nothing begins there and its upkeep is not
/// recorded as done. It counts as down only if its upkeep was ordered: an order that was confirmed
/// before is older than an upkeep lasts.
pub fn next_steps(waves: &BTreeMap<WaveKey, Wave>, inputs: &UpkeepInputs<'_>) -> Vec<UpkeepStep> {
    let mut steps = Vec::new();
    let mut stopping = stopping_workers(waves, inputs);
    let open = || waves.iter().filter(|(_, wave)| !wave.is_completed());
    for (key, wave) in open() {
        repeat_orders(*key, wave, inputs, &mut stopping, &mut steps);
    }
    for (key, wave) in open() {
        wave_steps(*key, wave, inputs, &mut stopping, &mut steps);
    }
    steps
}

/// Workers on machines that are going down or may be down.
///
/// The list names no worker for a machine that is already down.
fn stopping_workers(
    waves: &BTreeMap<WaveKey, Wave>,
    inputs: &UpkeepInputs<'_>,
) -> BTreeSet<WorkerName> {
    let mut stopping = BTreeSet::new();
    for (machine, worker) in inputs.recently_ordered {
        let listed = inputs.list.machines.get(machine);
        stopping.extend(listed.and_then(|machine| machine.worker.clone()));
        stopping.extend(worker.clone());
    }
    for (name, phase) in waves.values().flat_map(|wave| &wave.machines) {
        if !inputs.list.may_be_up(name) {
            stopping.extend(ordered_worker(phase).cloned());
        }
    }
    stopping
}

/// Worker on the machine when its upkeep was ordered.
fn ordered_worker(phase: &MachinePhase) -> Option<&WorkerName> {
    match phase {
        MachinePhase::Ordered { incarnation } => Some(&incarnation.as_ref()?.worker),
        MachinePhase::Waiting | MachinePhase::Done => None,
    }
}

/// Repeats the orders that are not confirmed, and adds their workers to `stopping`.
///
/// Of two orders that the bound of a step does not admit together, the later one waits.
fn repeat_orders(
    key: WaveKey,
    wave: &Wave,
    inputs: &UpkeepInputs<'_>,
    stopping: &mut BTreeSet<WorkerName>,
    steps: &mut Vec<UpkeepStep>,
) {
    let ordered = wave.machines.iter();
    for (name, phase) in ordered.filter(|(_, phase)| matches!(phase, MachinePhase::Ordered { .. }))
    {
        stopping.extend(ordered_worker(phase).cloned());
        if inputs.list.is_removed(name) {
            continue;
        }
        let machine = inputs.list.machines.get(name);
        let listed_worker = machine.and_then(|machine| machine.worker.as_ref());
        // The order also ends a worker that started after it was committed.
        let worker = listed_worker.or(ordered_worker(phase));
        let breaks_bound = worker.is_some_and(|on| breaks_bound(inputs.bounded, on, stopping));
        if breaks_bound && inputs.list.may_be_up(name) {
            continue;
        }
        stopping.extend(listed_worker.cloned());
        steps.push(UpkeepStep::Repeat {
            wave: key,
            machine: name.clone(),
        });
    }
}

fn wave_steps(
    key: WaveKey,
    wave: &Wave,
    inputs: &UpkeepInputs<'_>,
    stopping: &mut BTreeSet<WorkerName>,
    steps: &mut Vec<UpkeepStep>,
) {
    let is_down = |name: &Name| {
        let state = inputs.list.machines.get(name).map(|machine| machine.state);
        matches!(wave.machines.get(name), Some(MachinePhase::Ordered { .. }))
            || inputs.recently_ordered.contains_key(name)
            || state == Some(MachineState::Upkeep)
    };
    let down = wave.machines.keys().filter(|name| is_down(name)).count();
    let mut waiting = Vec::new();
    for (name, phase) in &wave.machines {
        if *phase == MachinePhase::Done {
            continue;
        }
        match inputs.list.machines.get(name) {
            None if inputs.list.is_removed(name) => steps.push(UpkeepStep::Skip {
                wave: key,
                machine: name.clone(),
            }),
            Some(machine) if machine.state == MachineState::Up && !is_down(name) => {
                waiting.push(machine);
            }
            _ => {}
        }
    }
    let runs_on = |machine: &Machine| {
        let worker = machine.worker.as_ref();
        worker
            .and_then(|worker| inputs.runs.get(worker))
            .copied()
            .unwrap_or(0)
    };
    waiting.sort_by_key(|machine| (runs_on(machine), machine.name.clone()));
    let cap = (wave.max_machines_down as usize).max(1);
    let rounds = waiting.len().div_ceil(cap) as u64;
    // Includes one spare round, so that a lost answer does not delay the wave.
    let needed = (rounds + 1) * inputs.down_time.0;
    let is_late = inputs.now_ms + needed >= wave.due_ms;
    let remaining = cap.saturating_sub(down);
    let can_stop = |machine: &&Machine, stopping: &BTreeSet<WorkerName>| {
        let worker = machine.worker.as_ref();
        worker.is_none_or(|worker| !breaks_bound(inputs.bounded, worker, stopping))
    };
    waiting.retain(|machine| can_stop(machine, stopping));
    for machine in waiting.into_iter().take(remaining) {
        if !can_stop(&machine, stopping) {
            continue;
        }
        if runs_on(machine) == 0 || is_late {
            stopping.extend(machine.worker.clone());
            steps.push(UpkeepStep::Begin {
                wave: key,
                machine: machine.name.clone(),
                worker: machine.worker.clone(),
            });
        } else if let Some(worker) = &machine.worker {
            steps.push(UpkeepStep::Drain {
                worker: worker.clone(),
            });
        }
    }
}
