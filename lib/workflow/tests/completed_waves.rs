//! Waves of upkeep that are completed.

use std::collections::BTreeMap;

use tarragon_names::Name;
use tarragon_workflow::{Command, MachinePhase, Wave, WaveKey, WorkflowState};
use yare::parameterized;

const RETENTION_MS: u64 = 1_000;

/// Time at which each wave is requested, in milliseconds.
const REQUESTED_MS: u64 = 10;

/// Time by which the upkeep of the first wave should be done, in milliseconds.
const DUE_MS: u64 = 500;

fn start_wave(state: &WorkflowState, at_ms: u64, key: u64) {
    let machines = ["m-1", "m-2"].map(|name| (Name::from(name), MachinePhase::Waiting));
    let wave = Wave {
        machines: BTreeMap::from(machines),
        due_ms: DUE_MS,
        requested_ms: REQUESTED_MS,
        max_machines_down: 1,
    };
    let key = WaveKey(key);
    state.apply(at_ms, &Command::StartWave { key, wave });
}

fn finish(state: &WorkflowState, key: u64, machines: &[&str]) {
    for machine in machines {
        let (key, machine) = (WaveKey(key), Name::from(*machine));
        state.apply(DUE_MS, &Command::MachineDone { key, machine });
    }
}

/// Guards against machines of completed waves that stay in each snapshot for good, and against a wave
/// that is lost before its machines are done or while callers may still ask for it.
#[parameterized(
    completed = { &["m-1", "m-2"], DUE_MS + RETENTION_MS + 1, 0 },
    completed_a_short_time_ago = { &["m-1", "m-2"], DUE_MS + RETENTION_MS, 2 },
    one_machine_left = { &["m-1"], DUE_MS + 2 * RETENTION_MS, 2 },
)]
fn machines_of_a_completed_wave_are_dropped(done: &[&str], at_ms: u64, expected: usize) {
    let state = WorkflowState::new(RETENTION_MS);
    start_wave(&state, REQUESTED_MS, 1);
    finish(&state, 1, done);
    start_wave(&state, at_ms, 2);
    let wave = state.wave(WaveKey(1)).expect("the wave is known");
    assert_eq!(wave.machines.len(), expected);
    assert_eq!(wave.is_completed(), done.len() == 2);
}

/// Guards against machines that are taken down again because a request of an old wave is resent.
#[test]
fn resent_request_does_not_start_a_completed_wave_again() {
    let state = WorkflowState::new(RETENTION_MS);
    start_wave(&state, REQUESTED_MS, 1);
    finish(&state, 1, &["m-1", "m-2"]);
    for _ in 0..2 {
        start_wave(&state, DUE_MS + 2 * RETENTION_MS, 1);
        let wave = state.wave(WaveKey(1)).expect("the wave is known");
        assert!(wave.is_completed());
        assert_eq!(wave.machines.len(), 0);
    }
}
