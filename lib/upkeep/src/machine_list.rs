use std::collections::BTreeMap;

use tarragon_names::Name;

use crate::{Machine, MachineState};

/// The platform's list of all machines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MachineList {
    /// Listed machines by name.
    pub machines: BTreeMap<Name, Machine>,
    /// Number of entries of which not even the name of the machine could be read.
    pub unreadable: usize,
}

impl MachineList {
    /// Adds a part of the list.
    pub fn append(&mut self, mut part: Self) {
        self.machines.append(&mut part.machines);
        self.unreadable += part.unreadable;
    }

    /// Returns whether the machine was removed for good. A machine that is not listed may be that of
    /// an entry that could not be read.
    pub(crate) fn is_removed(&self, machine: &Name) -> bool {
        self.unreadable == 0 && !self.machines.contains_key(machine)
    }

    /// Returns whether the machine may be up.
    pub(crate) fn may_be_up(&self, machine: &Name) -> bool {
        match self.machines.get(machine).map(|machine| machine.state) {
            Some(state) => matches!(state, MachineState::Up | MachineState::Unknown),
            None => !self.is_removed(machine),
        }
    }
}
