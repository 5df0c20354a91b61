//! Replacement of the configuration, and the queues and teams that remain of earlier ones.

use std::{collections::BTreeSet, sync::Arc};

use crate::{Answer, Configuration, WorkflowState};

/// Size of the removed queues above which those without jobs are dropped, in bytes. Dropping them
/// reads every job, so small ones stay until there are enough of them.
const MAX_REMOVED_QUEUE_BYTES: usize = 256 << 10;

/// Size of the removed teams above which those without jobs are dropped, in bytes. Dropping them reads
/// every job, so small ones stay until there are enough of them.
const MAX_REMOVED_TEAM_BYTES: usize = 256 << 10;

impl WorkflowState {
    pub(crate) fn put_configuration(&self, configuration: &Configuration) -> Answer {
        let mut current = self.configuration.write();
        if configuration.version == current.version && current.text != configuration.text {
            return Answer::Conflict;
        }
        if configuration.version <= current.version {
            return Answer::NotNewer;
        }
        let mut queues = self.queues.write();
        for queue in &configuration.queues {
            queues.insert(queue.name.clone(), Arc::new(queue.clone()));
        }
        *current = Arc::new(configuration.clone());
        let mut teams = self.teams.write();
        for team in configuration.teams.iter() {
            teams.insert(team.name.clone(), Arc::new(team.clone()));
        }
        drop(teams);
        drop(queues);
        drop(current);
        self.drop_unused_queues(configuration);
        self.drop_unused_teams(configuration);
        Answer::Done
    }

    /// Drops the teams that neither the configuration in force names nor any job belongs to, if the
    /// removed ones are large together.
    fn drop_unused_teams(&self, configuration: &Configuration) {
        let configured = &configuration.teams;
        let mut removed = self.teams();
        removed.retain(|team| configured.get(&team.name).is_none());
        let removed_bytes = removed.iter().map(|team| team.state_bytes()).sum::<usize>();
        if removed_bytes <= MAX_REMOVED_TEAM_BYTES {
            return;
        }
        let mut used = BTreeSet::new();
        self.for_each_job(|job| {
            if let Some(team) = &job.team
                && !used.contains(team)
            {
                used.insert(team.clone());
            }
        });
        let mut teams = self.teams.write();
        teams.retain(|name, _| configured.get(name).is_some() || used.contains(name));
    }

    /// Drops the queues that neither the configuration in force names nor any job belongs to, if the
    /// removed ones are large together.
    fn drop_unused_queues(&self, configuration: &Configuration) {
        let configured = configuration.queues.iter().map(|queue| &queue.name);
        let configured: BTreeSet<_> = configured.collect();
        let queues = self.queues.read().clone();
        let removed = queues
            .values()
            .filter(|queue| !configured.contains(&queue.name));
        let removed_bytes = removed.map(|queue| queue.state_bytes()).sum::<usize>();
        if removed_bytes <= MAX_REMOVED_QUEUE_BYTES {
            return;
        }
        let mut used = BTreeSet::new();
        self.for_each_job(|job| {
            if !used.contains(&job.queue) {
                used.insert(job.queue.clone());
            }
        });
        let mut queues = self.queues.write();
        queues.retain(|name, _| configured.contains(name) || used.contains(name));
    }
}
