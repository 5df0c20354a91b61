use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::{Millis, Name, WorkerName};
use tarragon_workflow::{MachinePhase, Wave, WaveKey};

use crate::{BoundedTask, Machine, MachineState, UpkeepStep, bounded_task::breaks_bound};

/// What is known of the machines and of the work on them.
#[derive(Clone, Debug)]
pub struct Upkeep<'a> {
    /// Every machine; one that is missing is gone for good.
    pub machines: &'a BTreeMap<Name, Machine>,
    /// Machines whose upkeep was ordered so lately that the list may not show it.
    pub ordered: &'a BTreeSet<Name>,
    /// Runs by worker; none for a worker that is not listed.
    pub runs: &'a BTreeMap<WorkerName, usize>,
    /// Tasks of steps of which only so many may be unavailable.
    pub bounded: &'a [BoundedTask],
    /// Unix time in milliseconds.
    pub now_ms: u64,
    /// Time for which a machine is down.
    pub down_time: Millis,
}

/// What the waves need next.
///
/// Machines with little work go first, and nothing more is placed on those that are next. A machine
/// goes down when nothing runs there, or when the wave would be late otherwise; never more than the
/// cap of its wave are down at once, and never with more tasks of a step than may be unavailable.
pub fn next_steps(waves: &BTreeMap<WaveKey, Wave>, known: &Upkeep<'_>) -> Vec<UpkeepStep> {
    let mut steps = Vec::new();
    let ordered = known.ordered.iter();
    let ordered = ordered.filter_map(|name| known.machines.get(name)?.worker.clone());
    let mut ending = ordered.collect::<BTreeSet<_>>();
    for (key, wave) in waves.iter().filter(|(_, wave)| !wave.is_completed()) {
        wave_steps(*key, wave, known, &mut ending, &mut steps);
    }
    steps
}

fn wave_steps(
    key: WaveKey,
    wave: &Wave,
    known: &Upkeep<'_>,
    ending: &mut BTreeSet<WorkerName>,
    steps: &mut Vec<UpkeepStep>,
) {
    let is_down = |name: &Name| {
        let state = known.machines.get(name).map(|machine| machine.state);
        known.ordered.contains(name) || state == Some(MachineState::Upkeep)
    };
    let down = wave.machines.keys().filter(|name| is_down(name)).count();
    let mut waiting = Vec::new();
    for (name, phase) in &wave.machines {
        if *phase == MachinePhase::Done {
            continue;
        }
        match known.machines.get(name) {
            None => steps.push(UpkeepStep::Skip {
                wave: key,
                machine: name.clone(),
            }),
            Some(machine) if machine.state == MachineState::Up && !is_down(name) => {
                waiting.push(machine);
            }
            Some(_) => {}
        }
    }
    let runs_on = |machine: &Machine| {
        let worker = machine.worker.as_ref();
        worker
            .and_then(|worker| known.runs.get(worker))
            .copied()
            .unwrap_or(0)
    };
    waiting.sort_by_key(|machine| (runs_on(machine), machine.name.clone()));
    let cap = (wave.max_machines_down as usize).max(1);
    let rounds = waiting.len().div_ceil(cap) as u64;
    // One round more than is needed, so that a lost answer does not make the wave late.
    let needed = (rounds + 1) * known.down_time.0;
    let is_late = known.now_ms + needed >= wave.due_ms;
    let free = cap.saturating_sub(down);
    let may_end = |machine: &&Machine, ending: &BTreeSet<WorkerName>| {
        let worker = machine.worker.as_ref();
        worker.is_none_or(|worker| !breaks_bound(known.bounded, worker, ending))
    };
    waiting.retain(|machine| may_end(machine, ending));
    for machine in waiting.into_iter().take(free) {
        if !may_end(&machine, ending) {
            continue;
        }
        if runs_on(machine) == 0 || is_late {
            ending.extend(machine.worker.clone());
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
