//! Decisions about how a host finds the leader and what it answers to requests for it.
//!
//! [`LeaderHint`] holds what a host knows of the leader and [`HostTable`] chooses the hosts that it
//! asks. [`LeaderCall`] decides on the attempts of a call to the leader, and [`RequestAttempts`] tells
//! what may have become of a request that was sent more than once.

mod host_table;
mod leader_answer;
mod leader_call;
mod leader_hint;
mod request_attempts;

pub use host_table::HostTable;
pub use leader_answer::LeaderAnswer;
pub use leader_call::{AfterFailure, CallTimes, LeaderCall};
pub use leader_hint::LeaderHint;
pub use request_attempts::RequestAttempts;
