//! Read access for operators and callers.

use tarragon_cell::JobState;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{JobId, Millis, Resources, WorkerName};

use crate::{
    Explanation, Scheduler, WorkerView,
    allocation::{JobSummary, Stage},
    leader_state::LeaderState,
    worker_state::WorkerState,
};

impl Scheduler {
    /// Number of jobs in the queue; 0 if this host does not lead.
    pub fn waiting_jobs(&self) -> usize {
        self.leader_state
            .as_ref()
            .map_or(0, |leader_state| leader_state.queue.len())
    }

    /// Known workers, sorted by name; empty if this host does not lead.
    pub fn workers(&self) -> Vec<WorkerView> {
        let Some(leader_state) = &self.leader_state else {
            return Vec::new();
        };
        leader_state
            .workers
            .iter()
            .map(|(name, state)| self.worker_view(leader_state, name, state))
            .collect()
    }

    fn worker_view(
        &self,
        leader_state: &LeaderState,
        name: &WorkerName,
        worker: &WorkerState,
    ) -> WorkerView {
        let allocations = worker
            .tasks
            .iter()
            .filter_map(|task| leader_state.allocations.get(task));
        let state = if !worker.is_in_placer {
            "silent"
        } else if worker.is_leaving || self.cell.is_draining(name) {
            "draining"
        } else if self.health.is_quarantined(name) {
            "quarantined"
        } else {
            "ready"
        };
        WorkerView {
            name: name.clone(),
            domain: worker.domain.clone(),
            rack: worker.rack.clone(),
            capacity: worker.capacity.unwrap_or_default(),
            reserved: allocations
                .map(|allocation| allocation.reserved)
                .sum::<Resources>(),
            tasks: worker.tasks.len() as u32,
            session: worker.session,
            state: state.to_owned(),
        }
    }

    /// Explains why a job is in its state.
    pub fn explain(&self, now: Millis, job: JobId) -> Outcome<Explanation> {
        let no_job = || Failure::new(Code::NoSuchJob, format!("no job {job}"));
        let view = self
            .cell
            .with_job(job, |record| record.view(false))
            .ok_or_else(no_job)?;
        let mut reasons = vec![format!("state: {}", view.state)];
        reasons.extend(view.reason.map(|reason| reason.to_string()));
        let mut position = None;
        match &self.leader_state {
            None => reasons.push("this host does not lead and knows no further reasons".to_owned()),
            Some(leader_state) => {
                position = self.explain_waiting(leader_state, now, job, &mut reasons);
                explain_allocations(leader_state, job, &mut reasons);
                if view.state == JobState::Queued
                    && leader_state.workers.values().all(|w| !w.is_in_placer)
                {
                    reasons.push("no worker has registered".to_owned());
                }
            }
        }
        Ok(Explanation {
            job,
            reasons,
            position,
        })
    }

    fn explain_waiting(
        &self,
        leader_state: &LeaderState,
        now: Millis,
        job: JobId,
        reasons: &mut Vec<String>,
    ) -> Option<u32> {
        if let Some(backoff) = leader_state.backoffs.get(&job).filter(|b| b.until > now) {
            reasons.push(format!(
                "it failed quickly {} times in a row; the next attempt is delayed by {}",
                backoff.failures,
                backoff.until.since(now)
            ));
        }
        let position = leader_state.queue.position(job)?;
        reasons.push(format!(
            "queued as {}: {} jobs of more urgent classes, {} of its class, {} of its team ahead",
            position.class,
            position.higher_class_jobs,
            position.same_class_jobs,
            position.team_jobs_ahead
        ));
        if position.at_ceiling {
            reasons.push("its team is at the ceiling of its quota".to_owned());
        }
        if let Some((waiting, summary)) = self.cell.with_job(job, |record| {
            let waiting = record.waiting_tasks().count() as u32;
            (waiting, JobSummary::of(record))
        }) {
            let needs = self.reservation(leader_state, &summary, waiting);
            let kind = summary.spec.kind;
            reasons.push(format!(
                "waiting {kind} tasks: {waiting}, each needs {needs}"
            ));
        }
        let largest = self.placer.largest_free();
        reasons.push(format!(
            "the largest free amount of each resource on any worker: {largest}"
        ));
        if let Some(head) = leader_state
            .head_reservation
            .as_ref()
            .filter(|head| head.job == job)
        {
            reasons.push(format!(
                "workers are reserved for it, available in {}",
                head.at.since(now)
            ));
        }
        Some((position.higher_class_jobs + position.team_jobs_ahead + 1) as u32)
    }
}

/// Adds a reason with the number of tasks for each group of stages that occurs.
fn explain_allocations(leader_state: &LeaderState, job: JobId, reasons: &mut Vec<String>) {
    let mut counts = [0; 3];
    for (_, allocation) in leader_state.allocations_of(job) {
        counts[match allocation.stage {
            Stage::Proposed | Stage::Assigned | Stage::Starting => 0,
            Stage::Running => 1,
            Stage::Checkpointing(_) | Stage::Stopping => 2,
        }] += 1;
    }
    for (text, count) in ["being started", "running", "being stopped"]
        .into_iter()
        .zip(counts)
    {
        if count > 0 {
            reasons.push(format!("tasks {text}: {count}"));
        }
    }
}
