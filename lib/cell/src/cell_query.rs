//! Queries on the replicated state.

use tarragon_catalogue::EntryChange;
use tarragon_codes::{Code, Failure};
use tarragon_names::{JobId, Revision, TeamName};

use crate::{Cell, JobState, MAX_JOBS_PER_QUERY, Query, QueryAnswer};

impl Cell {
    /// Answers a query from the local copy of the state.
    pub fn query(&self, query: &Query) -> QueryAnswer {
        match query {
            Query::Job(job) => self.find_job(*job),
            Query::JobByKey(key) => match self.job_of_key(key) {
                Some(job) => self.find_job(job),
                None => QueryAnswer::Failed(Failure::new(
                    Code::NoSuchJob,
                    "no job was accepted under this key",
                )),
            },
            Query::Jobs { team, state, limit } => self.list_jobs(team.as_ref(), *state, *limit),
            Query::Entry(pattern) => {
                let catalogue = self.catalogue();
                match catalogue.last_change(pattern) {
                    Some(change) => QueryAnswer::Entries {
                        entries: vec![(pattern.clone(), change.revision, cloned_entry(change))],
                        revision: catalogue.revision(),
                    },
                    None => QueryAnswer::Failed(Failure::new(
                        Code::NoEntry,
                        format!("no entry for '{pattern}'"),
                    )),
                }
            }
            Query::EntriesSince(revision) => {
                let catalogue = self.catalogue();
                let entries = catalogue
                    .changes_since(*revision)
                    .map(|(pattern, change)| {
                        (pattern.clone(), change.revision, cloned_entry(change))
                    })
                    .collect();
                QueryAnswer::Entries {
                    entries,
                    revision: catalogue.revision(),
                }
            }
            Query::History(pattern) => {
                let catalogue = self.catalogue();
                let entries = catalogue
                    .history(pattern)
                    .iter()
                    .map(|change| (pattern.clone(), change.revision, cloned_entry(change)))
                    .collect();
                QueryAnswer::Entries {
                    entries,
                    revision: catalogue.revision(),
                }
            }
            Query::Quota(team) => {
                let registry = self.registry.lock();
                let found = registry.quotas.get(team).cloned();
                let (quota, revision) = found.unwrap_or((crate::Quota::default(), Revision(0)));
                QueryAnswer::Quota(quota, revision)
            }
        }
    }

    fn find_job(&self, job: JobId) -> QueryAnswer {
        match self.with_job(job, |record| record.view(true)) {
            Some(view) => QueryAnswer::Job(Box::new(view)),
            None => QueryAnswer::Failed(Failure::new(Code::NoSuchJob, format!("no job {job}"))),
        }
    }

    fn list_jobs(
        &self,
        team: Option<&TeamName>,
        state: Option<JobState>,
        limit: u32,
    ) -> QueryAnswer {
        let limit = (limit as usize).min(MAX_JOBS_PER_QUERY);
        let mut found = Vec::new();
        self.jobs.for_each(|jobs| {
            let matching = jobs
                .values()
                .rev()
                .filter(|job| team.is_none_or(|team| job.team == *team))
                .filter(|job| state.is_none_or(|state| job.state() == state))
                .take(limit);
            found.extend(matching.map(|job| job.view(false)));
        });
        found.sort_unstable_by_key(|view| std::cmp::Reverse(view.job));
        found.truncate(limit);
        QueryAnswer::Jobs(found)
    }
}

fn cloned_entry(change: &EntryChange) -> Option<tarragon_catalogue::CatalogueEntry> {
    change.entry.as_deref().cloned()
}
