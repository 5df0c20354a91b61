//! What operators and callers are told.

use tarragon_cell::JobState;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{JobId, Millis, Resources, WorkerName};

use crate::{
    Explanation, Scheduler, WorkerView,
    hold::{JobBrief, Stage},
    lead::Lead,
    worker_state::WorkerState,
};

impl Scheduler {
    /// Number of jobs that wait; 0 if this host does not lead.
    pub fn waiting_jobs(&self) -> usize {
        self.lead.as_ref().map_or(0, |lead| lead.queue.len())
    }

    /// Workers that this leader knows, by name; empty if this host does not lead.
    pub fn workers(&self) -> Vec<WorkerView> {
        let Some(lead) = &self.lead else {
            return Vec::new();
        };
        lead.workers
            .iter()
            .map(|(name, state)| self.worker_view(lead, name, state))
            .collect()
    }

    fn worker_view(&self, lead: &Lead, name: &WorkerName, worker: &WorkerState) -> WorkerView {
        let holds = worker.tasks.iter().filter_map(|task| lead.holds.get(task));
        let state = if !worker.placed {
            "silent"
        } else if worker.leaving || self.cell.is_draining(name) {
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
            reserved: holds.map(|hold| hold.reserved).sum::<Resources>(),
            tasks: worker.tasks.len() as u32,
            session: worker.session,
            state: state.to_owned(),
        }
    }

    /// Why a job is in its state.
    pub fn explain(&self, now: Millis, job: JobId) -> Outcome<Explanation> {
        let no_job = || Failure::new(Code::NoSuchJob, format!("no job {job}"));
        let view = self
            .cell
            .with_job(job, |record| record.view(false))
            .ok_or_else(no_job)?;
        let mut reasons = vec![format!("state: {}", view.state)];
        reasons.extend(view.reason.map(|reason| reason.to_string()));
        let mut position = None;
        match &self.lead {
            None => reasons.push("this host does not lead, so it cannot say more".to_owned()),
            Some(lead) => {
                position = self.explain_waiting(lead, now, job, &mut reasons);
                explain_holds(lead, job, &mut reasons);
                if view.state == JobState::Queued && lead.workers.values().all(|w| !w.placed) {
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
        lead: &Lead,
        now: Millis,
        job: JobId,
        reasons: &mut Vec<String>,
    ) -> Option<u32> {
        if let Some(backoff) = lead.backoffs.get(&job).filter(|b| b.until > now) {
            reasons.push(format!(
                "it failed {} times within a short run and waits {} before the next attempt",
                backoff.failures,
                backoff.until.since(now)
            ));
        }
        let place = lead.queue.position(job)?;
        reasons.push(format!(
            "it waits as {}: {} jobs of more urgent classes, {} of its class, {} of its team ahead",
            place.class, place.classes_ahead, place.in_class, place.team_ahead
        ));
        if place.at_ceiling {
            reasons.push("its team is at the ceiling of its quota".to_owned());
        }
        if let Some((waiting, brief)) = self.cell.with_job(job, |record| {
            let waiting = record.waiting_tasks().count() as u32;
            (waiting, JobBrief::of(record))
        }) {
            let needs = self.reservation(lead, &brief, waiting);
            let kind = brief.spec.kind;
            reasons.push(format!(
                "waiting {kind} tasks: {waiting}, each needs {needs}"
            ));
        }
        let largest = self.placer.largest_free();
        reasons.push(format!(
            "the largest free amounts on one worker are {largest}"
        ));
        if let Some(head) = lead.head.as_ref().filter(|head| head.job == job) {
            reasons.push(format!(
                "workers are reserved for it from {} on",
                head.at.since(now)
            ));
        }
        Some((place.classes_ahead + place.team_ahead + 1) as u32)
    }
}

/// Says how many tasks of a job are in each stage.
fn explain_holds(lead: &Lead, job: JobId, reasons: &mut Vec<String>) {
    let mut counts = [0; 3];
    for (_, hold) in lead.holds_of(job) {
        counts[match hold.stage {
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
