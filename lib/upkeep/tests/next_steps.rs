//! Choice of the next machines of a wave of upkeep.

use std::collections::BTreeMap;

use tarragon_names::{Millis, Name, WorkerName};
use tarragon_upkeep::{
    BoundedTask, Machine, MachineList, MachineState, UpkeepInputs, UpkeepStep, next_steps,
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

/// Steps for a wave of the machines a, b and c, of which at most `cap` may be down at once.
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
    let inputs = UpkeepInputs {
        list: &MachineList {
            machines: machines.collect(),
            unreadable: 0,
        },
        recently_ordered: &ordered
            .iter()
            .map(|name| (Name::from(*name), None))
            .collect(),
        runs: &runs.collect(),
        bounded,
        now_ms,
        down_time: Millis(2_000),
    };
    let waves = BTreeMap::from([(WaveKey(1), wave)]);
    let steps = next_steps(&waves, &inputs)
        .into_iter()
        .map(|step| match step {
            UpkeepStep::Drain { worker } => format!("drain {worker}"),
            UpkeepStep::Begin { machine, .. } => format!("begin {machine}"),
            UpkeepStep::Repeat { machine, .. } => format!("repeat {machine}"),
            UpkeepStep::Skip { machine, .. } => format!("skip {machine}"),
        });
    steps.collect()
}

use MachineState::{Down, Unknown, Up, Upkeep as InUpkeep};

/// Guards against more machines down than the cap allows, against runs that are ended without need,
/// and against a wave that is late or never ends.
#[parameterized(
    idle_machine_goes_first = {
        &[("a", Up), ("b", Up), ("c", Up)], &[("a", 2), ("c", 1)], &[], 0, &["begin b"]
    },
    busy_machine_is_drained = {
        &[("a", Up), ("b", Up), ("c", Up)], &[("a", 2), ("b", 3), ("c", 1)], &[], 0, &["drain w-c"]
    },
    cap_is_kept = { &[("a", InUpkeep), ("b", Up), ("c", Up)], &[], &[], 0, &[] },
    recent_order_counts_before_it_is_listed = { &[("a", Up), ("b", Up), ("c", Up)], &[], &["a"], 0, &[] },
    late_wave_does_not_wait = {
        &[("a", Up), ("b", Up), ("c", Up)], &[("a", 2), ("b", 3), ("c", 1)], &[], 12_000, &["begin c"]
    },
    machine_that_is_down_is_not_taken_down = { &[("a", Down), ("b", Up), ("c", Up)], &[], &[], 0, &["begin b"] },
    missing_machine_is_skipped = { &[("a", Up), ("b", Up)], &[], &[], 0, &["skip c", "begin a"] },
)]
fn next_steps_respect_cap_and_due_time(
    machines: &[(&str, MachineState)],
    runs: &[(&str, usize)],
    ordered: &[&str],
    now_ms: u64,
    expected: &[&str],
) {
    assert_eq!(steps(machines, runs, ordered, &[], (now_ms, 1)), expected);
}

/// Guards against upkeep that makes more tasks of a step unavailable than the step allows.
#[parameterized(
    one_may_be_unavailable = { &[("a", true), ("b", true)], 1, &["begin c", "begin a"] },
    one_is_unavailable_already = { &[("a", true), ("b", false)], 1, &["begin c", "begin b"] },
    two_are_not_known_to_be_available = { &[("a", false), ("b", false)], 1, &["begin c"] },
    two_may_be_unavailable = { &[("a", true), ("b", true)], 2, &["begin c", "begin a", "begin b"] },
    two_tasks_on_one_machine = { &[("a", true), ("a", true)], 1, &["begin b", "begin c"] },
    task_without_a_worker_is_unavailable = { &[("a", true), ("", false)], 1, &["begin b", "begin c"] },
)]
fn unavailable_tasks_stay_within_their_bound(
    tasks: &[(&str, bool)],
    max_unavailable: u32,
    expected: &[&str],
) {
    let tasks = tasks.iter().map(|(on, is_available)| BoundedTask {
        step: StepKey {
            job: JobKey(1),
            occurrence: 0,
            step: 0,
        },
        worker: (!on.is_empty()).then(|| WorkerName::from(format!("w-{on}"))),
        is_available: *is_available,
        max_unavailable,
    });
    let bounded = tasks.collect::<Vec<_>>();
    let runs = bounded.iter().filter_map(|task| task.worker.as_deref());
    let runs = runs.map(|worker| (worker.trim_start_matches("w-"), 1));
    let runs = runs.collect::<Vec<_>>();
    let machines = [("a", Up), ("b", Up), ("c", Up)];
    // The wave is late, so only the bound keeps machines up.
    let begun = steps(&machines, &runs, &[], &bounded, (19_000, 3));
    assert_eq!(begun, expected);
}

/// Steps for a late wave of the machines a, b and c in these phases, of which at most two may be
/// down at once. A task of a step, of which one may be unavailable, runs on each of a and b; `available`
/// tells which of them do their full work. So many entries of the list are `unreadable`.
fn steps_in_phases(
    phases: [MachinePhase; 3],
    listed: &[(&str, MachineState)],
    unreadable: usize,
    available: [bool; 2],
) -> Vec<String> {
    let machines = listed.iter().map(|(name, state)| {
        let (key, mut machine) = machine(name, *state);
        machine.worker = machine.worker.filter(|_| *state == Up);
        (key, machine)
    });
    let bounded = [("w-a", available[0]), ("w-b", available[1])];
    let bounded = bounded.map(|(worker, is_available)| BoundedTask {
        step: StepKey {
            job: JobKey(1),
            occurrence: 0,
            step: 0,
        },
        worker: Some(WorkerName::from(worker)),
        is_available,
        max_unavailable: 1,
    });
    let runs = ["w-a", "w-b"].map(|worker| (WorkerName::from(worker), 1));
    let inputs = UpkeepInputs {
        list: &MachineList {
            machines: machines.collect(),
            unreadable,
        },
        recently_ordered: &BTreeMap::new(),
        runs: &BTreeMap::from(runs),
        bounded: &bounded,
        now_ms: 19_000,
        down_time: Millis(2_000),
    };
    let names = ["a", "b", "c"].map(Name::from);
    let wave = Wave {
        machines: names.into_iter().zip(phases).collect(),
        due_ms: 20_000,
        max_machines_down: 2,
        requested_ms: 0,
    };
    let steps = next_steps(&BTreeMap::from([(WaveKey(1), wave)]), &inputs);
    let steps = steps.into_iter().map(|step| match step {
        UpkeepStep::Drain { worker } => format!("drain {worker}"),
        UpkeepStep::Begin { machine, .. } => format!("begin {machine}"),
        UpkeepStep::Repeat { machine, .. } => format!("repeat {machine}"),
        UpkeepStep::Skip { machine, .. } => format!("skip {machine}"),
    });
    steps.collect()
}

fn ordered(worker: &str) -> MachinePhase {
    let worker = WorkerName::from(worker);
    let started_ms = 1;
    MachinePhase::Ordered {
        incarnation: Some(WorkerIncarnation { worker, started_ms }),
    }
}

use MachinePhase::{Done, Waiting};

/// Guards against orders beyond the cap or the bound of a step while it is not known whether an
/// earlier order, perhaps of an earlier leader, was carried out.
#[parameterized(
    counts_for_the_bound = {
        [ordered("w-a"), Waiting, Waiting], &[("a", Up), ("b", Up), ("c", Up)], &["repeat a", "begin c"]
    },
    counts_for_the_bound_though_its_machine_names_no_worker = {
        [ordered("w-a"), Waiting, Waiting], &[("a", InUpkeep), ("b", Up), ("c", Up)], &["repeat a", "begin c"]
    },
    counts_for_the_cap = {
        [ordered("w-a"), Waiting, ordered("w-c")], &[("a", Up), ("b", Up), ("c", Down)], &["repeat a", "repeat c"]
    },
    is_not_repeated_for_a_machine_that_was_removed = {
        [ordered("w-a"), Done, Done], &[("b", Up), ("c", Up)], &["skip a"]
    },
)]
fn order_that_is_not_confirmed_counts_as_carried_out(
    phases: [MachinePhase; 3],
    listed: &[(&str, MachineState)],
    expected: &[&str],
) {
    assert_eq!(steps_in_phases(phases, listed, 0, [true, true]), expected);
}

/// Guards against a task beyond the bound of a step that is ended by an order which an earlier leader
/// committed and did not send: the tasks on other machines may have become unavailable since then.
#[parameterized(
    waits_while_the_other_task_is_unavailable = {
        [ordered("w-a"), Waiting, Waiting], Up, [true, false], &["begin c"]
    },
    waits_for_the_worker_that_started_since = {
        [ordered("w-old"), Waiting, Waiting], Up, [true, false], &["begin c"]
    },
    is_repeated_for_a_machine_that_is_down = {
        [ordered("w-a"), Waiting, Waiting], InUpkeep, [true, false], &["repeat a", "begin c"]
    },
    is_repeated_when_only_its_own_task_is_unavailable = {
        [ordered("w-a"), Waiting, Waiting], Up, [false, true], &["repeat a", "begin c"]
    },
    second_one_waits_for_the_first = {
        [ordered("w-a"), ordered("w-b"), Waiting], Up, [true, true], &["repeat a"]
    },
    waits_for_one_that_may_be_carried_out_now = {
        [ordered("w-a"), ordered("w-b"), Waiting], InUpkeep, [true, true], &["repeat a"]
    },
)]
fn order_is_repeated_within_the_bound(
    phases: [MachinePhase; 3],
    state_of_a: MachineState,
    available: [bool; 2],
    expected: &[&str],
) {
    let listed = [("a", state_of_a), ("b", Up), ("c", Up)];
    assert_eq!(steps_in_phases(phases, &listed, 0, available), expected);
}

/// Guards against a wave that is reported as completed although a machine of it had no upkeep: its entry
/// in the list could not be read, which was taken for its removal.
#[parameterized(
    waiting_and_removed = { Waiting, &[], 0, &["skip a"] },
    waiting_and_perhaps_unreadable = { Waiting, &[], 1, &[] },
    waiting_in_an_unknown_state = { Waiting, &[("a", Unknown)], 0, &[] },
    ordered_and_perhaps_unreadable = { ordered("w-a"), &[], 1, &["repeat a"] },
    ordered_in_an_unknown_state = { ordered("w-a"), &[("a", Unknown)], 0, &["repeat a"] },
)]
fn machine_with_an_unreadable_entry_is_not_skipped(
    phase: MachinePhase,
    listed: &[(&str, MachineState)],
    unreadable: usize,
    expected: &[&str],
) {
    let phases = [phase, Done, Done];
    let steps = steps_in_phases(phases, listed, unreadable, [true, true]);
    assert_eq!(steps, expected);
}

/// Guards against a repeated order beyond the bound of a step for a machine that may be up.
#[parameterized(
    unknown_state = { &[("a", Unknown)], 0 },
    perhaps_unreadable = { &[], 1 },
)]
fn order_for_a_machine_that_may_be_up_waits(listed: &[(&str, MachineState)], unreadable: usize) {
    let phases = [ordered("w-a"), Done, Done];
    let steps = steps_in_phases(phases, listed, unreadable, [true, false]);
    assert!(steps.is_empty(), "{steps:?}");
}
