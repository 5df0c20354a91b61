//! Which machine of a wave goes down next.

use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::{Millis, Name, WorkerName};
use tarragon_upkeep::{Machine, MachineState, Upkeep, UpkeepStep, next_steps};
use tarragon_workflow::{MachinePhase, Wave, WaveKey};
use yare::parameterized;

fn machine(name: &str, state: MachineState) -> (Name, Machine) {
    let machine = Machine {
        name: Name::from(name),
        state,
        worker: Some(WorkerName::from(format!("w-{name}"))),
    };
    (machine.name.clone(), machine)
}

/// Begun and drained machines of a wave of a, b and c, of which at most one may be down.
fn steps(
    machines: &[(&str, MachineState)],
    runs: &[(&str, usize)],
    ordered: &[&str],
    now_ms: u64,
) -> Vec<String> {
    let machines = machines.iter().map(|(name, state)| machine(name, *state));
    let runs = runs
        .iter()
        .map(|(name, count)| (WorkerName::from(format!("w-{name}")), *count));
    let phases = ["a", "b", "c"].map(|name| (Name::from(name), MachinePhase::Waiting));
    let wave = Wave {
        machines: BTreeMap::from(phases),
        due_ms: 20_000,
        cap: 1,
    };
    let known = Upkeep {
        machines: &machines.collect(),
        ordered: &ordered
            .iter()
            .map(|name| Name::from(*name))
            .collect::<BTreeSet<_>>(),
        runs: &runs.collect(),
        now_ms,
        down_time: Millis(2_000),
    };
    let waves = BTreeMap::from([(WaveKey(1), wave)]);
    let steps = next_steps(&waves, &known)
        .into_iter()
        .map(|step| match step {
            UpkeepStep::Drain { worker } => format!("drain {worker}"),
            UpkeepStep::Begin { machine, .. } => format!("begin {machine}"),
            UpkeepStep::Skip { machine, .. } => format!("skip {machine}"),
        });
    steps.collect()
}

use MachineState::{Down, Up, Upkeep as InUpkeep};

/// Guards against more machines down than the cap, against work that is ended without need, and
/// against a wave that is late or never ends.
#[parameterized(
    idle_machine_goes_first = {
        &[("a", Up), ("b", Up), ("c", Up)], &[("a", 2), ("c", 1)], &[], 0, &["begin b"]
    },
    busy_machine_is_drained = {
        &[("a", Up), ("b", Up), ("c", Up)], &[("a", 2), ("b", 3), ("c", 1)], &[], 0, &["drain w-c"]
    },
    cap_is_kept = { &[("a", InUpkeep), ("b", Up), ("c", Up)], &[], &[], 0, &[] },
    order_that_the_list_lacks_counts = { &[("a", Up), ("b", Up), ("c", Up)], &[], &["a"], 0, &[] },
    late_wave_does_not_wait = {
        &[("a", Up), ("b", Up), ("c", Up)], &[("a", 2), ("b", 3), ("c", 1)], &[], 12_000, &["begin c"]
    },
    machine_that_is_down_waits = { &[("a", Down), ("b", Up), ("c", Up)], &[], &[], 0, &["begin b"] },
    machine_that_is_gone_is_skipped = { &[("a", Up), ("b", Up)], &[], &[], 0, &["skip c", "begin a"] },
)]
fn next(
    machines: &[(&str, MachineState)],
    runs: &[(&str, usize)],
    ordered: &[&str],
    now_ms: u64,
    expected: &[&str],
) {
    assert_eq!(steps(machines, runs, ordered, now_ms), expected);
}
