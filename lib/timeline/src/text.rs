//! Rendering of a timeline as text and as JSON.

use serde_json::json;

use crate::TimelineEvent;

/// Fields that a line of text shows after the event name, in this order.
const TEXT_FIELDS: [&str; 12] = [
    "job", "task", "attempt", "request", "worker", "executor", "epoch", "index", "revision",
    "peer", "code", "detail",
];

/// Renders one line per event: seconds since the earliest event, host, event, identifiers, cause.
pub fn text(events: &[TimelineEvent]) -> String {
    let start = events
        .iter()
        .map(|event| event.corrected_ms)
        .min()
        .unwrap_or(0);
    let lines = events.iter().map(|event| {
        let record = &event.record;
        let seconds = (event.corrected_ms - start) as f64 / 1_000.0;
        let head = format!("{seconds:9.3} {:16} {:24}", record.host, record.event);
        let text_fields = TEXT_FIELDS
            .iter()
            .filter_map(|key| Some((*key, record.field(key)?)));
        let after = record
            .after
            .as_ref()
            .map(|after| ("after", after.to_string()));
        let fields = text_fields
            .chain(after)
            .map(|(key, value)| format!(" {key}={value}"));
        format!("{head}{}\n", fields.collect::<String>())
    });
    lines.collect()
}

/// Renders one JSON object per line: the fields of the event, its position from 1 as `place` and its
/// corrected time in milliseconds as `at`.
pub fn json(events: &[TimelineEvent]) -> String {
    let lines = (1..).zip(events).map(|(position, event)| {
        let mut fields = event.record.fields.clone();
        fields.insert("place".to_owned(), json!(position));
        fields.insert("at".to_owned(), json!(event.corrected_ms));
        format!("{}\n", json!(fields))
    });
    lines.collect()
}
