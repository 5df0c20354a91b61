use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder, core::Collector,
};
use tarragon_codes::{Code, Failure, Outcome};

/// Buckets in seconds; the aims of the requests lie between 0.25 s and 3 s.
const BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 10.0,
];

/// Metrics of an entry host on the users' platform.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    registry: Registry,
    /// Requests answered, by kind and result code; 0 for success.
    pub requests: IntCounterVec,
    /// Time of a request on this host, by kind.
    pub request_time: HistogramVec,
    /// Calls to workers and to the advice service, by kind and outcome.
    pub external_calls: IntCounterVec,
    /// Time of such a call, by kind.
    pub external_call_time: HistogramVec,
    /// Runs that ended, by how.
    pub run_ends: IntCounterVec,
    /// Time of a decision step of the dispatcher.
    pub dispatch_step: Histogram,
    /// Messages on the links between hosts.
    pub link_messages: IntCounter,
    /// Bytes on the links between hosts.
    pub link_bytes: IntCounter,
    /// Messages that found the queue of a link full.
    pub link_dropped: IntCounter,
    /// Links closed after silence.
    pub link_silent: IntCounter,
    /// Whether this host reports itself ready.
    pub ready: IntGauge,
    /// Log lines that were dropped because the writer did not keep up.
    pub log_dropped: IntGauge,
}

impl EntryMetrics {
    /// All metrics at zero.
    pub fn new() -> Outcome<Self> {
        let registry = Registry::new();
        Ok(Self {
            requests: add(
                &registry,
                IntCounterVec::new(
                    Opts::new("tarragon_entry_requests_total", "Requests answered"),
                    &["kind", "code"],
                ),
            )?,
            request_time: add(
                &registry,
                histograms("tarragon_entry_request_seconds", "Time of a request"),
            )?,
            external_calls: add(
                &registry,
                IntCounterVec::new(
                    Opts::new(
                        "tarragon_entry_outside_total",
                        "Calls to workers and advice",
                    ),
                    &["kind", "outcome"],
                ),
            )?,
            external_call_time: add(
                &registry,
                histograms("tarragon_entry_outside_seconds", "Time of a call outside"),
            )?,
            run_ends: add(
                &registry,
                IntCounterVec::new(
                    Opts::new("tarragon_entry_run_ends_total", "Runs ended"),
                    &["end"],
                ),
            )?,
            dispatch_step: add(
                &registry,
                Histogram::with_opts(
                    HistogramOpts::new(
                        "tarragon_entry_dispatch_seconds",
                        "Time of a decision step",
                    )
                    .buckets(BUCKETS.to_vec()),
                ),
            )?,
            link_messages: counter(
                &registry,
                "tarragon_entry_link_messages_total",
                "Messages between hosts",
            )?,
            link_bytes: counter(
                &registry,
                "tarragon_entry_link_bytes_total",
                "Bytes between hosts",
            )?,
            link_dropped: counter(
                &registry,
                "tarragon_entry_link_dropped_total",
                "Messages dropped at a full link",
            )?,
            link_silent: counter(
                &registry,
                "tarragon_entry_link_silent_total",
                "Links closed after silence",
            )?,
            ready: add(
                &registry,
                IntGauge::new("tarragon_entry_ready", "Whether the host is ready"),
            )?,
            log_dropped: add(
                &registry,
                IntGauge::new("tarragon_entry_log_dropped", "Log lines dropped"),
            )?,
            registry,
        })
    }

    /// All metrics as text, with those of `more` after them.
    pub fn render(&self, more: &str) -> Outcome<String> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
        let mut text = String::from_utf8_lossy(&buf).into_owned();
        text.push_str(more);
        Ok(text)
    }
}

fn histograms(name: &str, help: &str) -> prometheus::Result<HistogramVec> {
    HistogramVec::new(
        HistogramOpts::new(name, help).buckets(BUCKETS.to_vec()),
        &["kind"],
    )
}

fn counter(registry: &Registry, name: &str, help: &str) -> Outcome<IntCounter> {
    add(registry, IntCounter::new(name, help))
}

fn add<C>(registry: &Registry, made: prometheus::Result<C>) -> Outcome<C>
where
    C: Collector + Clone + 'static,
{
    let internal = |e: prometheus::Error| Failure::new(Code::Internal, e.to_string());
    let metric = made.map_err(internal)?;
    registry
        .register(Box::new(metric.clone()))
        .map_err(internal)?;
    Ok(metric)
}
