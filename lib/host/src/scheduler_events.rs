//! Conversion of the scheduler's decisions to events and metrics.

use tarragon_cell::{AttemptEnd, Cell};
use tarragon_names::Attempt;
use tarragon_scheduler::SchedLog;
use tarragon_telemetry::{Event, Metrics};

const FIRST_ATTEMPT: Attempt = Attempt(1);

/// Updates the metrics for a decision.
pub(crate) fn record_metrics(metrics: &Metrics, cell: &Cell, cell_ms: u64, log: &SchedLog) {
    match log {
        SchedLog::SessionConfirmed { .. } => metrics.sessions.inc(),
        SchedLog::LeaseEnded { .. } => metrics.leases_ended.inc(),
        SchedLog::StartSent {
            resent: false,
            task,
            attempt,
            ..
        } => {
            metrics.placements.inc();
            // The wait is measured once per job, at its first task, which is among the first to
            // start.
            if *attempt == FIRST_ATTEMPT && task.index == 0 {
                let accepted = cell.with_job(task.job, |job| (job.class, job.accepted_ms));
                if let Some((class, at_ms)) = accepted {
                    let wait = cell_ms.saturating_sub(at_ms);
                    metrics.observe_job_wait(class, wait as f64 / 1_000.0);
                }
            }
        }
        SchedLog::Overcommitted { .. } => metrics.overcommitted.inc(),
        SchedLog::Ended { ended, .. } => {
            metrics
                .task_ends
                .with_label_values(&[end_label(*ended)])
                .inc();
        }
        SchedLog::Refused { reason, .. } => metrics.count_refusal(reason.code.number()),
        _ => {}
    }
}

/// Converts a decision to the event that the timeline tool shows.
pub(crate) fn to_event(log: SchedLog) -> Event {
    match log {
        SchedLog::TookOver {
            term,
            jobs,
            assigned,
        } => Event::info("scheduler_took_over")
            .term(term)
            .detail(format!("{jobs} unfinished jobs, {assigned} assigned tasks")),
        SchedLog::SessionConfirmed {
            worker,
            session,
            adopted,
            lost,
        } => Event::info("worker_session")
            .worker(worker)
            .term(session.term)
            .detail(format!(
                "session {session}, {adopted} adopted, {lost} not running"
            )),
        SchedLog::LeaseEnded { worker, tasks } => Event::warning("worker_lease_ended")
            .worker(worker)
            .detail(format!("{tasks} tasks released")),
        SchedLog::StartSent {
            worker,
            task,
            attempt,
            fence,
            resent,
        } => {
            let name = if resent { "start_resent" } else { "start_sent" };
            Event::debug(name)
                .task(task)
                .attempt(attempt)
                .worker(worker)
                .term(fence.term)
        }
        SchedLog::StopSent {
            worker,
            task,
            attempt,
            fence,
        } => Event::debug("stop_sent")
            .task(task)
            .attempt(attempt)
            .worker(worker)
            .term(fence.term),
        SchedLog::Ended {
            worker,
            task,
            attempt,
            ended,
        } => {
            let event = Event::debug("attempt_ended")
                .task(task)
                .attempt(attempt)
                .detail(format!("{ended:?}"));
            match worker {
                Some(worker) => event.worker(worker),
                None => event,
            }
        }
        SchedLog::Refused { job, reason } => Event::info("job_refused")
            .job(job)
            .code(reason.code.number())
            .detail(reason.cause),
        SchedLog::Quarantined { worker } => Event::warning("worker_quarantined").worker(worker),
        SchedLog::Restored { worker } => Event::info("worker_restored").worker(worker),
        SchedLog::Overcommitted { worker } => Event::warning("worker_overcommitted").worker(worker),
    }
}

fn end_label(ended: AttemptEnd) -> &'static str {
    match ended {
        AttemptEnd::Exited(0) => "succeeded",
        AttemptEnd::Exited(_) => "failed",
        AttemptEnd::Stopped => "stopped",
        AttemptEnd::Checkpointed => "checkpointed",
        AttemptEnd::NeverBegan => "never_began",
        AttemptEnd::LeaseEnded => "lease_ended",
    }
}
