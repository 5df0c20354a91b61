//! Decisions about which hosts are voters, based on the state of the members as known to the
//! leader.

mod member_change;
mod next_change;
mod replacement;

pub use member_change::MemberChange;
pub use next_change::{GroupState, next_change};
pub use replacement::choose_replacement;
