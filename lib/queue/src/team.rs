use tarragon_names::Class;

use crate::{TeamUse, team_lane::TeamLane};

/// A team with waiting jobs.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) usage: TeamUse,
    pub(crate) lanes: [TeamLane; Class::ALL.len()],
    pub(crate) waiting: usize,
}
