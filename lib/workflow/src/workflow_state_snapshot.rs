//! Copies of the whole state, and their return.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
};

use tarragon_names::WorkerName;

use crate::{
    Configuration, Job, TaskKey, Team, TeamRecords, TeamTable, WorkflowSnapshot, WorkflowState,
    job_table::JobTable, unanswered_start::UnansweredStart, worker_records::WorkerRecords,
};

impl WorkflowState {
    /// Copies the whole state.
    ///
    /// Must be called on the thread that applies commands, because the parts are copied one after
    /// the other.
    pub fn snapshot(&self) -> WorkflowSnapshot {
        let mut jobs = Vec::new();
        self.for_each_job(|job| jobs.push(job.clone()));
        let teams = self.team_records(&jobs);
        let done_occurrences = jobs
            .iter_mut()
            .filter_map(|job| Some((job.key, job.list_done()?)))
            .collect();
        let queues = self.queues.read();
        let (workers, removed_workers, successions) = {
            let workers = self.workers.lock();
            let removed = workers.removed().cloned().collect();
            let successions = workers.successions().cloned().collect();
            (workers.by_name().clone(), removed, successions)
        };
        let (unanswered_starts, unanswered_workers) = self.unanswered_records();
        WorkflowSnapshot {
            configuration: (**self.configuration.read()).clone(),
            queues: queues
                .iter()
                .map(|(name, queue)| (name.clone(), (**queue).clone()))
                .collect(),
            jobs,
            workers,
            waves: self.waves.lock().clone(),
            now_ms: self.now_ms.load(Ordering::Relaxed),
            removed_workers,
            successions,
            teams,
            unanswered_starts,
            done_occurrences,
            unanswered_workers,
        }
    }

    /// Times of the records of start orders without an answer, and their workers, by task.
    fn unanswered_records(&self) -> (BTreeMap<TaskKey, u64>, BTreeMap<TaskKey, WorkerName>) {
        let recorded = self.unanswered_starts.lock();
        let times = recorded
            .iter()
            .map(|(task, start)| (*task, start.recorded_ms));
        let workers = recorded
            .iter()
            .filter_map(|(task, start)| Some((*task, start.worker.clone()?)));
        (times.collect(), workers.collect())
    }

    fn team_records(&self, jobs: &[Job]) -> TeamRecords {
        let teams = self.teams();
        let positions = teams.iter().map(|team| &team.name).zip(0..);
        let positions = positions.collect::<BTreeMap<_, _>>();
        let jobs = jobs.iter().filter_map(|job| {
            let position = positions.get(job.team.as_ref()?)?;
            Some((job.key, *position))
        });
        TeamRecords {
            configured: TeamTable::clone(&self.configuration.read().teams),
            jobs: jobs.collect(),
            teams: teams.iter().map(|team| Team::clone(team)).collect(),
        }
    }

    fn restore_teams(&self, records: TeamRecords) {
        let teams = records.teams.into_iter().map(Arc::new).collect::<Vec<_>>();
        for (key, position) in records.jobs {
            let team = teams.get(position as usize).map(|team| team.name.clone());
            self.jobs
                .with(&key, |jobs| jobs.update(key, |job| job.team = team));
        }
        let teams = teams.into_iter().map(|team| (team.name.clone(), team));
        *self.teams.write() = teams.collect();
    }

    /// Replaces the whole state. Must be called on the thread that applies commands.
    pub fn restore(&self, snapshot: WorkflowSnapshot) {
        *self.configuration.write() = Arc::new(Configuration {
            teams: Arc::new(snapshot.teams.configured.clone()),
            ..snapshot.configuration
        });
        *self.queues.write() = snapshot
            .queues
            .into_iter()
            .map(|(name, queue)| (name, Arc::new(queue)))
            .collect();
        self.jobs.for_each(JobTable::clear);
        for mut job in snapshot.jobs {
            let key = job.key;
            job.unlist_done();
            self.jobs.with(&key, |jobs| jobs.insert(job));
        }
        for (key, done) in snapshot.done_occurrences {
            self.jobs
                .with(&key, |jobs| jobs.update(key, |job| job.done = done));
        }
        self.restore_teams(snapshot.teams);
        *self.workers.lock() = WorkerRecords::new(
            snapshot.workers,
            snapshot.removed_workers,
            snapshot.successions,
        );
        *self.waves.lock() = snapshot.waves;
        let mut workers = snapshot.unanswered_workers;
        let unanswered_starts = snapshot.unanswered_starts.into_iter();
        let unanswered_starts = unanswered_starts.map(|(task, recorded_ms)| {
            let worker = workers.remove(&task);
            let start = UnansweredStart {
                recorded_ms,
                worker,
            };
            (task, start)
        });
        *self.unanswered_starts.lock() = unanswered_starts.collect();
        self.update_going_down();
        self.now_ms.store(snapshot.now_ms, Ordering::Relaxed);
    }
}
