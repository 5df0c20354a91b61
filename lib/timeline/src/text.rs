//! Text and JSON forms of a timeline.

use serde_json::json;

use crate::TimelineEvent;

/// Fields that a text line shows after the event, in this order.
const SHOWN: [&str; 12] = [
    "job", "task", "attempt", "request", "worker", "executor", "epoch", "index", "revision",
    "peer", "code", "detail",
];

/// One line for each event: seconds since the first, host, event, identifiers, cause.
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
        let shown = SHOWN
            .iter()
            .filter_map(|key| Some((*key, record.field(key)?)));
        let after = record
            .after
            .as_ref()
            .map(|after| ("after", after.to_string()));
        let fields = shown
            .chain(after)
            .map(|(key, value)| format!(" {key}={value}"));
        format!("{head}{}\n", fields.collect::<String>())
    });
    lines.collect()
}

/// One JSON object a line: the fields of the event with its place and corrected time.
pub fn json(events: &[TimelineEvent]) -> String {
    let lines = (1..).zip(events).map(|(place, event)| {
        let mut fields = event.record.fields.clone();
        fields.insert("place".to_owned(), json!(place));
        fields.insert("at".to_owned(), json!(event.corrected_ms));
        format!("{}\n", json!(fields))
    });
    lines.collect()
}
