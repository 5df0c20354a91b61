use tarragon_names::Class;

use crate::{TeamUsage, team_queue::TeamQueue};

/// Waiting jobs of one team.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) usage: TeamUsage,
    pub(crate) queues: [TeamQueue; Class::ALL.len()],
    pub(crate) waiting_jobs: usize,
}
