use std::{collections::BTreeSet, sync::Arc};

use derive_more::Display;
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use tarragon_names::TeamName;

/// Number of teams that have a label of their own. Names of teams come and go with the configurations,
/// and a label stays until the process ends.
const MAX_LABELLED_TEAMS: usize = 1_000;

/// Longest name that is used as a label, in bytes.
const MAX_LABEL_BYTES: usize = 128;

/// Label of calls without a team.
const NO_TEAM: &str = "(none)";

/// Label of all teams without a label of their own.
const OTHER_TEAMS: &str = "(other)";

/// Why a call was refused for its team.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RefusalCause {
    /// The key is unknown, or missing where one is required.
    #[display("unknown_key")]
    UnknownKey,
    /// The job belongs to another team.
    #[display("other_team")]
    OtherTeam,
    /// The job exceeds the cap of its team.
    #[display("cap")]
    Cap,
}

/// Counts refused calls by the team of the caller and by cause, for a bounded number of teams.
#[derive(Clone, Debug)]
pub struct RefusedCalls {
    counts: IntCounterVec,
    labelled: Arc<Mutex<BTreeSet<TeamName>>>,
}

impl RefusedCalls {
    pub(crate) fn new(counts: IntCounterVec) -> Self {
        Self {
            counts,
            labelled: Arc::default(),
        }
    }

    /// Counts a refused call of a team; `None` if the call has no known key.
    pub fn count(&self, team: Option<&TeamName>, cause: RefusalCause) {
        let label = team.map_or(NO_TEAM, |team| self.label(team));
        let labels = [label, &cause.to_string()];
        self.counts.with_label_values(&labels).inc();
    }

    fn label<'a>(&self, team: &'a TeamName) -> &'a str {
        if team.len() > MAX_LABEL_BYTES {
            return OTHER_TEAMS;
        }
        let mut labelled = self.labelled.lock();
        if !labelled.contains(team) {
            if labelled.len() >= MAX_LABELLED_TEAMS {
                return OTHER_TEAMS;
            }
            labelled.insert(team.clone());
        }
        team.as_str()
    }
}
