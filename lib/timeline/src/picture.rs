//! Rendering of a timeline as SVG: a row for each host, a dot for each event, an arrow for each
//! message.

use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::Name;

use crate::TimelineEvent;

/// Height of the row of a host.
const ROW_HEIGHT_PX: usize = 70;

/// Horizontal distance between two events. All distances are equal, because gaps of a few
/// milliseconds and of a few minutes would not both be legible on one time scale.
const EVENT_SPACING_PX: usize = 110;

/// Width of the column of host names.
const HOST_COLUMN_PX: usize = 150;

/// Renders the timeline as an SVG image.
pub fn svg(events: &[TimelineEvent]) -> String {
    let hosts: BTreeSet<&Name> = events.iter().map(|event| &event.record.host).collect();
    let rows: BTreeMap<&Name, usize> = hosts.into_iter().zip(0..).collect();
    let x = |position: usize| HOST_COLUMN_PX + 40 + position * EVENT_SPACING_PX;
    let y = |event: &TimelineEvent| 50 + rows[&event.record.host] * ROW_HEIGHT_PX;
    let start = events
        .iter()
        .map(|event| event.corrected_ms)
        .min()
        .unwrap_or(0);
    let (width, height) = (x(events.len()), 50 + rows.len() * ROW_HEIGHT_PX);

    let mut parts = vec![format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<defs><marker id=\"tip\" refX=\"9\" refY=\"4\" \
         markerWidth=\"9\" markerHeight=\"8\" orient=\"auto\"><path d=\"M0,0 L9,4 L0,8 z\"/>\
         </marker></defs>"
    )];
    for (host, row) in &rows {
        let y = 50 + row * ROW_HEIGHT_PX;
        parts.push(format!(
            "<text x=\"8\" y=\"{}\">{}</text><line x1=\"{HOST_COLUMN_PX}\" x2=\"{width}\" y1=\"{y}\" \
             y2=\"{y}\" stroke=\"#bbb\"/>",
            y + 4,
            escaped(host),
        ));
    }
    let positions: BTreeMap<_, _> = events.iter().map(|e| &e.record.id).zip(0..).collect();
    for (position, event) in events.iter().enumerate() {
        let after = event.record.after.as_ref();
        if let Some(&cause) = after.and_then(|after| positions.get(after)) {
            parts.push(format!(
                "<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"#357\" \
                 marker-end=\"url(#tip)\"/>",
                x(cause),
                y(&events[cause]),
                x(position),
                y(event),
            ));
        }
    }
    for (position, event) in events.iter().enumerate() {
        let (x, y) = (x(position), y(event));
        parts.push(format!(
            "<g><title>{}</title><circle cx=\"{x}\" cy=\"{y}\" r=\"5\" fill=\"#357\"/>\
             <text x=\"{x}\" y=\"{}\" text-anchor=\"middle\">{}</text>\
             <text x=\"{x}\" y=\"{}\" text-anchor=\"middle\" fill=\"#777\">+{} ms</text></g>",
            escaped(&serde_json::Value::Object(event.record.fields.clone()).to_string()),
            y - 10,
            escaped(&event.record.event),
            y + 20,
            event.corrected_ms - start,
        ));
    }
    parts.push("</svg>\n".to_owned());
    parts.join("\n")
}

/// Renders the timeline as an HTML page that contains the SVG image.
pub fn html(title: &str, events: &[TimelineEvent]) -> String {
    let title = escaped(title);
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         </head>\n<body><h1>{title}</h1>\n{}</body></html>\n",
        svg(events)
    )
}

/// Escapes text for XML and HTML.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
