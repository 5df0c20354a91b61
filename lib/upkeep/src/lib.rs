//! Decisions about waves of upkeep: which machine goes down next, and when.
//!
//! The caller lists the machines, carries out the [`UpkeepStep`]s, and records their results.

mod bounded_task;
mod machine;
mod machine_list;
mod next_steps;
mod upkeep_step;

pub use bounded_task::BoundedTask;
pub use machine::{Machine, MachineState};
pub use machine_list::MachineList;
pub use next_steps::{UpkeepInputs, next_steps};
pub use upkeep_step::UpkeepStep;
