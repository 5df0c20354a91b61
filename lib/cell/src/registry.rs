use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use tarragon_catalogue::Pattern;
use tarragon_names::{JobId, Revision, TeamName, WorkerName};

use crate::{JobRecord, Quota, key_table::RequestKey, writes::Writes};

/// The small parts of the state and the counts over the large ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Registry {
    /// Latest time of any command. It never steps back, though leaders' clocks differ.
    pub now_ms: u64,
    pub writes: Writes,
    pub quotas: BTreeMap<TeamName, (Quota, Revision)>,
    pub draining: BTreeSet<WorkerName>,
    pub jobs: usize,
    pub tasks: u64,
    pub jobs_of_team: BTreeMap<TeamName, u32>,
    pub jobs_of_pattern: BTreeMap<Pattern, u32>,
    /// Ended jobs with the time of their end, oldest first.
    pub ended: VecDeque<(u64, JobId)>,
    /// Keys with the time of their claim, oldest first.
    pub keys: VecDeque<(u64, RequestKey)>,
    pub stored_bytes: usize,
}

impl Registry {
    /// Counts a job that was accepted.
    pub fn opened(&mut self, record: &JobRecord) {
        self.jobs += 1;
        self.tasks += record.tasks.len() as u64;
        *self.jobs_of_team.entry(record.team.clone()).or_default() += 1;
        *self
            .jobs_of_pattern
            .entry(record.pattern.clone())
            .or_default() += 1;
    }

    /// Counts a job that ended.
    pub fn closed(&mut self, record: &JobRecord) {
        self.jobs -= 1;
        self.tasks -= record.tasks.len() as u64;
        decrease(&mut self.jobs_of_team, &record.team);
        decrease(&mut self.jobs_of_pattern, &record.pattern);
        self.ended.push_back((self.now_ms, record.id));
    }
}

fn decrease<K>(counts: &mut BTreeMap<K, u32>, key: &K)
where
    K: Ord,
{
    let Some(count) = counts.get_mut(key) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(key);
    }
}
