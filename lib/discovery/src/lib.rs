//! Decisions about how a host finds the leader.
//!
//! [`LeaderHint`] holds what a host knows of the leader and [`HostTable`] chooses the hosts that it
//! asks. [`LeaderCall`] decides on the attempts of a call to the leader.

mod host_table;
mod leader_answer;
mod leader_call;
mod leader_hint;

pub use host_table::HostTable;
pub use leader_answer::LeaderAnswer;
pub use leader_call::{AfterFailure, CallTimes, LeaderCall};
pub use leader_hint::LeaderHint;
