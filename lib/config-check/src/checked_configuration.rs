use tarragon_workflow::{Configuration, Team};

use crate::QueueDetails;

/// A configuration with what its check needs beyond the replicated model.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CheckedConfiguration {
    /// The configuration as it would come into force.
    pub configuration: Configuration,
    /// One entry for each queue of the configuration, in the same order.
    pub queue_details: Vec<QueueDetails>,
    /// Teams in the order in which the operator lists them.
    pub teams: Vec<Team>,
    /// Keys that no request can carry: position of the team, and of the key in the operator's list.
    pub unmatchable_keys: Vec<(usize, usize)>,
}
