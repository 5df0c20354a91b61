use tarragon_dispatch::DecisionEvent;
use tarragon_names::Name;
use tarragon_telemetry::Event;

/// Converts an event of the dispatcher into a log event.
pub(crate) fn event_of(decision: &DecisionEvent) -> Event {
    let mut event = if decision.is_warning {
        Event::warning(decision.name)
    } else {
        Event::info(decision.name)
    };
    if let Some(job) = decision.job {
        event = event.request(Name::from(job.to_string()));
    }
    if let Some(worker) = &decision.worker {
        event = event.worker(worker.clone());
    }
    let detail = match &decision.task {
        Some((task, run)) if decision.detail.is_empty() => format!("task {task}, run {run}"),
        Some((task, run)) => format!("task {task}, run {run}: {}", decision.detail),
        None => decision.detail.clone(),
    };
    event.detail(detail)
}
