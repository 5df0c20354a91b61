//! Guards against metrics missing from the rendered text, or named against Prometheus conventions.

use tarragon_names::Class;
use tarragon_telemetry::Metrics;
use yare::parameterized;

#[parameterized(
    wait = { "tarragon_job_wait_seconds_count{class=\"urgent\"} 1" },
    refusal = { "tarragon_refused_total{code=\"3101\"} 1" },
    messages = { "tarragon_control_messages_total{from=\"zilina\",to=\"martin\"} 2" },
    bytes = { "tarragon_control_bytes_total{from=\"zilina\",to=\"martin\"} 150" },
    never_incremented = { "tarragon_elections_total 0" },
)]
fn rendered_text_contains_line(line: &str) {
    let metrics = Metrics::new();
    metrics.observe_job_wait(Class::Urgent, 0.4);
    metrics.count_refusal(3101);
    metrics
        .link_counters(&"zilina".into(), &"martin".into())
        .count_message(100);
    metrics
        .link_counters(&"zilina".into(), &"martin".into())
        .count_message(50);
    let text = metrics.render();
    assert!(text.lines().any(|l| l == line), "{text}");
}

#[test]
fn counters_end_in_total() {
    for line in Metrics::new().render().lines() {
        if let Some((name, "counter")) = line
            .strip_prefix("# TYPE ")
            .and_then(|rest| rest.split_once(' '))
        {
            assert!(name.ends_with("_total"), "{name}");
        }
    }
}
