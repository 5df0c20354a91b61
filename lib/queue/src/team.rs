use tarragon_names::Class;

use crate::{TeamUsage, team_lane::TeamLane};

/// A team with waiting jobs.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) usage: TeamUsage,
    pub(crate) lanes: [TeamLane; Class::ALL.len()],
    pub(crate) waiting: usize,
}
