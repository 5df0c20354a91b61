//! Picture of a timeline: a lane for each host, a dot for each event, an arrow for each message.

use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::Name;

use crate::TimelineEvent;

/// Height of a lane and width of an event, in pixels. Events have equal widths, since a few
/// milliseconds and a few minutes would not both be legible on one scale of time.
const LANE: usize = 70;
const STEP: usize = 110;
const LEFT: usize = 150;

/// The picture as SVG.
pub fn svg(events: &[TimelineEvent]) -> String {
    let hosts: BTreeSet<&Name> = events.iter().map(|event| &event.record.host).collect();
    let lanes: BTreeMap<&Name, usize> = hosts.into_iter().zip(0..).collect();
    let x = |place: usize| LEFT + 40 + place * STEP;
    let y = |event: &TimelineEvent| 50 + lanes[&event.record.host] * LANE;
    let start = events
        .iter()
        .map(|event| event.corrected_ms)
        .min()
        .unwrap_or(0);
    let (width, height) = (x(events.len()), 50 + lanes.len() * LANE);

    let mut parts = vec![format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<defs><marker id=\"tip\" refX=\"9\" refY=\"4\" \
         markerWidth=\"9\" markerHeight=\"8\" orient=\"auto\"><path d=\"M0,0 L9,4 L0,8 z\"/>\
         </marker></defs>"
    )];
    for (host, lane) in &lanes {
        let y = 50 + lane * LANE;
        parts.push(format!(
            "<text x=\"8\" y=\"{}\">{}</text><line x1=\"{LEFT}\" x2=\"{width}\" y1=\"{y}\" \
             y2=\"{y}\" stroke=\"#bbb\"/>",
            y + 4,
            escaped(host),
        ));
    }
    let places: BTreeMap<_, _> = events.iter().map(|e| &e.record.id).zip(0..).collect();
    for (place, event) in events.iter().enumerate() {
        let after = event.record.after.as_ref();
        if let Some(&cause) = after.and_then(|after| places.get(after)) {
            parts.push(format!(
                "<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"#357\" \
                 marker-end=\"url(#tip)\"/>",
                x(cause),
                y(&events[cause]),
                x(place),
                y(event),
            ));
        }
    }
    for (place, event) in events.iter().enumerate() {
        let (x, y) = (x(place), y(event));
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

/// The picture within a page.
pub fn html(title: &str, events: &[TimelineEvent]) -> String {
    let title = escaped(title);
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         </head>\n<body><h1>{title}</h1>\n{}</body></html>\n",
        svg(events)
    )
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
