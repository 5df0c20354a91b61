//! Guards against a timeline in which an effect precedes its cause.

use serde_json::json;
use tarragon_timeline::{Filter, LogMerger, TimelineEvent, json, svg, text};
use yare::parameterized;

/// Events of one job on three processes. `skew` is added to their clocks in milliseconds; the numbers
/// in the event names give the true order.
fn job_events(skew: [i64; 3]) -> Vec<TimelineEvent> {
    let line = |process: usize, seq: u64, time: i64, event: &str, after: Option<&str>| {
        let ts = 1_000_000 + time + skew[process];
        json!({
            "host": format!("h{process}"), "process": format!("h{process}/1/1"), "seq": seq,
            "ts": ts, "mono": 500 + time, "event": event, "after": after, "job": "j1",
        })
        .to_string()
    };
    let logs = [
        [
            line(0, 4, 60, "6_told", Some("h1/1/1:3")),
            line(0, 1, 0, "1_received", None),
        ],
        [
            line(1, 1, 10, "2_accepted", Some("h0/1/1:1")),
            // The cause is an event below the log level, so the last logged event before it is used.
            line(1, 3, 50, "5_ended", Some("h2/1/1:9")),
        ],
        [
            line(2, 1, 20, "3_began", Some("h1/1/1:2")),
            line(2, 8, 40, "4_ran", None),
        ],
    ];
    let mut merger = LogMerger::default();
    for (process, lines) in logs.iter().enumerate() {
        merger.add_log(&format!("h{process}.jsonl"), &lines.join("\n"));
    }
    assert!(merger.unreadable_lines().is_empty());
    merger.into_causal_order()
}

#[parameterized(
    equal = { [0, 0, 0] },
    middle_ahead = { [0, 3_000, 0] },
    middle_behind = { [0, -3_000, 0] },
    first_ahead = { [7_000, 0, 0] },
    first_behind = { [-7_000, 0, 0] },
    last_ahead = { [0, 0, 5_000] },
    all_differ = { [4_000, -2_000, 9_000] },
)]
fn cause_precedes_effect(skew: [i64; 3]) {
    let events = job_events(skew);
    let names: Vec<_> = events.iter().map(|e| e.record.event.as_str()).collect();
    assert_eq!(
        names,
        [
            "1_received",
            "2_accepted",
            "3_began",
            "4_ran",
            "5_ended",
            "6_told"
        ]
    );
}

/// Guards against sorting by uncorrected time, which places all unrelated events of a host with a
/// skewed clock first or last.
#[test]
fn unrelated_events_follow_corrected_time() {
    let mut merger = LogMerger::default();
    let line = |process: &str, seq: u64, ts: u64, event: &str, after: Option<&str>| {
        json!({"process": process, "host": process, "seq": seq, "ts": ts, "event": event,
               "after": after})
        .to_string()
    };
    merger.add_log(
        "a",
        &[
            line("a", 1, 10_000, "sent", None),
            line("a", 2, 10_500, "later_here", None),
        ]
        .join("\n"),
    );
    merger.add_log(
        "b",
        &[
            line("b", 1, 2_000, "got", Some("a:1")),
            line("b", 2, 2_900, "later_there", None),
        ]
        .join("\n"),
    );
    let names: Vec<_> = merger
        .into_causal_order()
        .iter()
        .map(|e| e.record.event.to_string())
        .collect();
    assert_eq!(names, ["sent", "got", "later_here", "later_there"]);
}

#[test]
fn log_entries_follow_their_proposal_and_election() {
    let line = |process: &str, ts: u64, event: &str, epoch: u64, index: Option<u64>| {
        json!({"process": process, "host": process, "seq": 1 + ts % 10, "ts": ts, "event": event,
               "epoch": epoch, "index": index})
        .to_string()
    };
    let mut merger = LogMerger::default();
    merger.add_log("follower", &line("f", 1, "applied", 2, Some(9)));
    merger.add_log(
        "leader",
        &[
            line("l", 9_001, "became_leader", 2, None),
            line("l", 9_002, "proposed", 2, Some(9)),
        ]
        .join("\n"),
    );
    let names: Vec<_> = merger
        .into_causal_order()
        .iter()
        .map(|e| e.record.event.to_string())
        .collect();
    assert_eq!(names, ["became_leader", "proposed", "applied"]);
}

/// Guards against attempts out of order: orders to workers carry no event id, so only the task and
/// the attempt number relate the events.
#[test]
fn attempt_events_follow_the_start_order_and_precede_the_leaders_record() {
    let line = |process: &str, seq: u64, ts: u64, event: &str| {
        json!({"process": process, "host": process, "seq": seq, "ts": ts, "event": event,
               "task": "j1.0", "attempt": 1})
        .to_string()
    };
    let mut merger = LogMerger::default();
    merger.add_log(
        "leader",
        &[
            line("l", 1, 9_001, "start_sent"),
            line("l", 2, 9_400, "attempt_ended"),
        ]
        .join("\n"),
    );
    merger.add_log(
        "worker",
        &[
            line("w", 1, 100, "task_began"),
            line("w", 2, 300, "task_ended"),
        ]
        .join("\n"),
    );
    let names: Vec<_> = merger
        .into_causal_order()
        .iter()
        .map(|e| e.record.event.to_string())
        .collect();
    assert_eq!(
        names,
        ["start_sent", "task_began", "task_ended", "attempt_ended"]
    );
}

#[test]
fn contradiction_and_truncated_line_lose_no_event() {
    let mut merger = LogMerger::default();
    merger.add_log(
        "a",
        "{\"process\":\"a\",\"seq\":1,\"ts\":1,\"event\":\"x\",\"after\":\"b:1\"}\n{\"pro",
    );
    merger.add_log(
        "b",
        "{\"process\":\"b\",\"seq\":1,\"ts\":2,\"event\":\"y\",\"after\":\"a:1\"}\n",
    );
    assert_eq!(merger.unreadable_lines().len(), 1);
    assert_eq!(merger.into_causal_order().len(), 2);
}

#[parameterized(
    everything = { Filter::default(), 6 },
    job = { Filter { job: Some("j1".into()), ..Filter::default() }, 6 },
    other_job = { Filter { job: Some("j2".into()), ..Filter::default() }, 0 },
    epoch = { Filter { epoch: Some(3), ..Filter::default() }, 0 },
)]
fn filter_shows_matching_events(filter: Filter, expected_count: usize) {
    let events = job_events([0, 0, 0]);
    assert_eq!(
        events.iter().filter(|e| filter.matches(&e.record)).count(),
        expected_count
    );
}

#[test]
fn rendered_timelines_contain_every_event() {
    let events = job_events([0, 3_000, 0]);
    assert_eq!(text(&events).lines().count(), 6);
    assert_eq!(json(&events).lines().count(), 6);
    let image = svg(&events);
    assert_eq!(image.matches("<circle").count(), 6);
    assert_eq!(image.matches("marker-end").count(), 2);
}

/// Guards against logs that cannot be merged because a collector prefixed each line with columns.
#[parameterized(
    no_prefix = { "" },
    time_and_host = { "  19.4553 lugang-dock-1 " },
)]
fn prefix_of_a_log_collector_is_ignored(prefix: &str) {
    let line = r#"{"process":"a","host":"a","seq":1,"ts":5,"event":"x","request":"r1"}"#;
    let mut merger = LogMerger::default();
    merger.add_log("log", &format!("{prefix}{line}"));
    assert!(merger.unreadable_lines().is_empty());
    let events = merger.into_causal_order();
    assert_eq!(events[0].record.field("request").as_deref(), Some("r1"));
}
