//! Rendering of the metrics page.

use std::fmt::Write;

use tarragon_proxy::Proxy;

use crate::HostCore;

/// Renders the metrics of the host and the counters that the links, the gateway and the proxy keep
/// themselves.
pub(crate) fn render(core: &HostCore, proxy: &Proxy) -> String {
    let metrics = &core.metrics;
    metrics
        .catalogue_revision
        .set(core.catalogue_view.revision().0 as i64);
    metrics.catalogue_fresh.set(i64::from(
        core.catalogue_view.fresh(core.clock.now()).is_some(),
    ));
    metrics.executors.reset();
    metrics.executor_slots.reset();
    for executor in proxy.executors() {
        metrics
            .executors
            .with_label_values(&[&executor.state])
            .inc();
        let slots = [("busy", executor.busy), ("all", executor.slots)];
        for (state, count) in slots {
            metrics
                .executor_slots
                .with_label_values(&[state])
                .add(i64::from(count));
        }
    }
    let mut text = metrics.render();
    let _infallible = writeln!(
        text,
        "tarragon_link_dropped_total {}",
        core.link_meter.dropped_messages()
    );
    let _infallible = writeln!(
        text,
        "tarragon_gateway_workers {}",
        core.gateway.connected_workers()
    );
    for (name, value) in proxy.stats().named() {
        let _infallible = writeln!(text, "tarragon_proxy_{name}_total {value}");
    }
    text
}
