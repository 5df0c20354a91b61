use tarragon_names::{Resources, TeamName};

/// What a team uses and waits for, for the metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamReport {
    /// Name of the team.
    pub team: TeamName,
    /// Resources of its runs that may be on workers.
    pub used: Resources,
    /// Share of the workers that its weight gives it.
    pub share: Resources,
    /// Resources that it may use at most; `u64::MAX` for no limit.
    pub cap: Resources,
    /// Tasks that wait for a worker.
    pub waiting_tasks: u64,
    /// Tasks of these that the cap of the team keeps waiting.
    pub capped_tasks: u64,
}
