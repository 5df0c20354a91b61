//! Decisions about which hosts are voters, based on the state of the members as known to the
//! leader.

mod choose_change;
mod member_change;
mod next_change;
mod replacement;
mod stalled_replacement;

pub use choose_change::choose_change;
pub use member_change::MemberChange;
pub use next_change::{GroupState, next_change};
pub use replacement::choose_replacement;
