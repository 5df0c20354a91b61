use tarragon_dispatch::DecisionEvent;
use tarragon_names::Name;
use tarragon_telemetry::Event;

/// The log event of a note of the dispatcher.
pub(crate) fn event_of(note: &DecisionEvent) -> Event {
    let mut event = if note.is_warning {
        Event::warning(note.name)
    } else {
        Event::info(note.name)
    };
    if let Some(job) = note.job {
        event = event.request(Name::from(job.to_string()));
    }
    if let Some(worker) = &note.worker {
        event = event.worker(worker.clone());
    }
    let detail = match &note.task {
        Some((task, run)) if note.detail.is_empty() => format!("task {task}, run {run}"),
        Some((task, run)) => format!("task {task}, run {run}: {}", note.detail),
        None => note.detail.clone(),
    };
    event.detail(detail)
}
