//! Decisions about which hosts are voters, based on the state of the members as known to the
//! leader.

mod formation_step;
mod member_change;
mod next_change;
mod replacement;

pub use formation_step::{FormationStep, FormationView, formation_step};
pub use member_change::MemberChange;
pub use next_change::{GroupState, next_change};
pub use replacement::choose_replacement;
