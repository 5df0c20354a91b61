//! Waves of upkeep, and the machines that go down for them.

use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::Name;

use crate::{Answer, MachinePhase, Wave, WaveKey, WorkerIncarnation, WorkflowState};

impl WorkflowState {
    /// Returns all waves of upkeep, including completed ones, whose machines may be dropped.
    pub fn waves(&self) -> BTreeMap<WaveKey, Wave> {
        self.waves.lock().clone()
    }

    /// Returns whether any wave of upkeep is not completed.
    pub fn has_open_wave(&self) -> bool {
        let waves = self.waves.lock();
        waves.values().any(|wave| !wave.is_completed())
    }

    /// Returns a wave of upkeep.
    pub fn wave(&self, key: WaveKey) -> Option<Wave> {
        self.waves.lock().get(&key).cloned()
    }

    /// Returns whether the upkeep of the machine of an incarnation is ordered and not confirmed.
    /// Nothing can be placed there.
    pub fn is_going_down(&self, incarnation: &WorkerIncarnation) -> bool {
        self.going_down.lock().contains(incarnation)
    }

    /// Adds a wave. The machines of completed waves are dropped after the time for which ended jobs are
    /// retained; the waves stay, so that a resent request does not start one again.
    pub(crate) fn start_wave(&self, key: WaveKey, wave: &Wave, now_ms: u64) -> Answer {
        let oldest_retained_ms = now_ms.saturating_sub(self.retention_ms);
        let mut waves = self.waves.lock();
        for known in waves.values_mut() {
            let last_ms = known.requested_ms.max(known.due_ms);
            if last_ms < oldest_retained_ms && known.is_completed() {
                known.machines.clear();
            }
        }
        waves.entry(key).or_insert_with(|| wave.clone());
        Answer::Done
    }

    pub(crate) fn update_machine<F>(&self, key: WaveKey, machine: &Name, next: F) -> Answer
    where
        F: FnOnce(MachinePhase) -> MachinePhase,
    {
        if let Some(wave) = self.waves.lock().get_mut(&key)
            && let Some(phase) = wave.machines.get_mut(machine)
        {
            *phase = next(phase.clone());
        }
        self.update_going_down();
        Answer::Done
    }

    pub(crate) fn update_going_down(&self) {
        let mut going_down = BTreeSet::new();
        for phase in self
            .waves
            .lock()
            .values()
            .flat_map(|wave| wave.machines.values())
        {
            if let MachinePhase::Ordered { incarnation } = phase {
                going_down.extend(incarnation.clone());
            }
        }
        *self.going_down.lock() = going_down;
    }
}
