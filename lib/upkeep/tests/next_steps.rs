//! Which machine of a wave goes down next.

use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::{Millis, Name, WorkerName};
use tarragon_upkeep::{
    BoundedTask, Machine, MachineState, Upkeep, UpkeepStep, ends_life, next_steps,
};
use tarragon_workflow::{JobKey, MachinePhase, StepKey, Wave, WaveKey, WorkerIncarnation};
use yare::parameterized;

fn machine(name: &str, state: MachineState) -> (Name, Machine) {
    let machine = Machine {
        name: Name::from(name),
        state,
        worker: Some(WorkerName::from(format!("w-{name}"))),
    };
    (machine.name.clone(), machine)
}

/// Begun and drained machines of a wave of a, b and c, of which at most `cap` may be down.
fn steps(
    machines: &[(&str, MachineState)],
    runs: &[(&str, usize)],
    ordered: &[&str],
    bounded: &[BoundedTask],
    (now_ms, cap): (u64, u32),
) -> Vec<String> {
    let machines = machines.iter().map(|(name, state)| machine(name, *state));
    let runs = runs
        .iter()
        .map(|(name, count)| (WorkerName::from(format!("w-{name}")), *count));
    let phases = ["a", "b", "c"].map(|name| (Name::from(name), MachinePhase::Waiting));
    let wave = Wave {
        machines: BTreeMap::from(phases),
        due_ms: 20_000,
        max_machines_down: cap,
        requested_ms: 0,
    };
    let known = Upkeep {
        machines: &machines.collect(),
        ordered: &ordered
            .iter()
            .map(|name| Name::from(*name))
            .collect::<BTreeSet<_>>(),
        runs: &runs.collect(),
        bounded,
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
    assert_eq!(steps(machines, runs, ordered, &[], (now_ms, 1)), expected);
}

/// Guards against an upkeep that takes away more tasks of a step than its caller allows.
#[parameterized(
    one_may_end = { &[("a", true), ("b", true)], 1, &["begin c", "begin a"] },
    one_is_away_already = { &[("a", true), ("b", false)], 1, &["begin c", "begin b"] },
    two_may_end = { &[("a", true), ("b", true)], 2, &["begin c", "begin a", "begin b"] },
    two_on_one_machine = { &[("a", true), ("a", true)], 1, &["begin b", "begin c"] },
    task_that_runs_nowhere_is_away = { &[("a", true), ("", false)], 1, &["begin b", "begin c"] },
)]
fn unavailable_tasks_stay_within_their_bound(
    tasks: &[(&str, bool)],
    most_away: u32,
    expected: &[&str],
) {
    let tasks = tasks.iter().map(|(on, is_at_work)| BoundedTask {
        step: StepKey {
            job: JobKey(1),
            occurrence: 0,
            step: 0,
        },
        worker: (!on.is_empty()).then(|| WorkerName::from(format!("w-{on}"))),
        is_at_work: *is_at_work,
        most_away,
    });
    let bounded = tasks.collect::<Vec<_>>();
    let runs = bounded.iter().filter_map(|task| task.worker.as_deref());
    let runs = runs.map(|worker| (worker.trim_start_matches("w-"), 1));
    let runs = runs.collect::<Vec<_>>();
    let machines = [("a", Up), ("b", Up), ("c", Up)];
    // The wave is late, so that only the bound holds machines back.
    let begun = steps(&machines, &runs, &[], &bounded, (19_000, 3));
    assert_eq!(begun, expected);
}

/// Guards against runs that are declared lost, and started again beside themselves, because a
/// repeated order for their machine is confirmed.
#[parameterized(
    began_long_before = { 50_000, true },
    began_after_the_upkeep = { 103_000, false },
    began_as_the_wave_came = { 99_000, false },
    does_not_say = { 0, false },
)]
fn confirmed_upkeep_ends_only_an_earlier_life(born_ms: u64, expected: bool) {
    let wave = Wave {
        machines: BTreeMap::new(),
        due_ms: 130_000,
        requested_ms: 100_000,
        max_machines_down: 1,
    };
    let life = WorkerIncarnation {
        worker: WorkerName::from("w"),
        started_ms: born_ms,
    };
    assert_eq!(ends_life(&wave, &life), expected);
}
