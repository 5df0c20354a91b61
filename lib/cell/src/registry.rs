use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use tarragon_catalogue::Pattern;
use tarragon_names::{JobId, Revision, TeamName, WorkerName};

use crate::{JobRecord, Quota, key_table::RequestKey, write_answers::WriteAnswers};

/// Quotas, draining workers and answers to writes, with counts of the jobs and keys in the shards.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Registry {
    /// Latest timestamp of any command. Never decreases, although the clocks of leaders differ.
    pub now_ms: u64,
    pub write_answers: WriteAnswers,
    pub quotas: BTreeMap<TeamName, (Quota, Revision)>,
    pub draining_workers: BTreeSet<WorkerName>,
    pub unfinished_jobs: usize,
    pub unfinished_tasks: u64,
    pub unfinished_jobs_by_team: BTreeMap<TeamName, u32>,
    pub unfinished_jobs_by_pattern: BTreeMap<Pattern, u32>,
    /// Ended jobs with the time of their end in milliseconds, oldest first.
    pub ended_jobs: VecDeque<(u64, JobId)>,
    /// Idempotency keys with the time of their first claim in milliseconds, oldest first.
    pub request_keys: VecDeque<(u64, RequestKey)>,
    pub stored_body_bytes: usize,
}

impl Registry {
    /// Adds an accepted job to the counts.
    pub fn record_accepted(&mut self, record: &JobRecord) {
        self.unfinished_jobs += 1;
        self.unfinished_tasks += record.tasks.len() as u64;
        *self
            .unfinished_jobs_by_team
            .entry(record.team.clone())
            .or_default() += 1;
        *self
            .unfinished_jobs_by_pattern
            .entry(record.pattern.clone())
            .or_default() += 1;
    }

    /// Removes an ended job from the counts and starts its retention.
    pub fn record_ended(&mut self, record: &JobRecord) {
        self.unfinished_jobs -= 1;
        self.unfinished_tasks -= record.tasks.len() as u64;
        decrease(&mut self.unfinished_jobs_by_team, &record.team);
        decrease(&mut self.unfinished_jobs_by_pattern, &record.pattern);
        self.ended_jobs.push_back((self.now_ms, record.id));
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
