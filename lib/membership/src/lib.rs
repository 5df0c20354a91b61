//! Decisions about which hosts vote, from the state of the members as the leader sees it.

mod member_change;
mod next_change;
mod replacement;

pub use member_change::MemberChange;
pub use next_change::{GroupState, next_change};
pub use replacement::choose_replacement;
