use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder, core::Collector,
};
use tarragon_names::{Class, DomainName};

use crate::LinkCounters;

/// Buckets for single steps of a request or of a decision.
const STEP_BUCKETS_S: [f64; 10] = [0.0001, 0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0];

/// Buckets for queue waits. 3.3, 5 and 9 s are bounds that the design guarantees, so each of them is
/// the bound of a bucket.
const WAIT_BUCKETS_S: [f64; 10] = [0.1, 0.5, 1.0, 2.0, 3.3, 5.0, 9.0, 30.0, 300.0, 3_600.0];

macro_rules! metrics {
    ($($(#[doc = $help:literal])* $field:ident: $type:ty = $constructor:ident($name:literal $(, $arg:expr)*);)*) => {
        /// Metrics of a host. They cover each guarantee and each measure of the design. The doc comment
        /// of a field is also its help text in the rendered output.
        #[derive(Debug)]
        pub struct Metrics {
            registry: Registry,
            $($(#[doc = $help])* pub $field: $type,)*
        }

        impl Metrics {
            /// Creates and registers all metrics, at zero.
            pub fn new() -> Self {
                let registry = Registry::new();
                $(let $field = $constructor($name, concat!($($help),*).trim() $(, &$arg)*);)*
                $(register(&registry, &$field);)*
                Self { registry, $($field,)* }
            }
        }
    };
}

metrics! {
    /// Time from acceptance to the first start of a job's tasks, by class.
    job_wait: HistogramVec = histogram_vec("tarragon_job_wait_seconds", WAIT_BUCKETS_S, ["class"]);
    /// Jobs that wait.
    queued_jobs: IntGauge = gauge("tarragon_queued_jobs");
    /// Tasks placed on workers.
    placements: IntCounter = counter("tarragon_placements_total");
    /// Attempts that ended, by end.
    task_ends: IntCounterVec = counter_vec("tarragon_task_ends_total", ["end"]);
    /// Amounts that the workers offer, by resource.
    capacity: IntGaugeVec = gauge_vec("tarragon_capacity", ["resource"]);
    /// Amounts that are reserved on the workers, by resource.
    reserved: IntGaugeVec = gauge_vec("tarragon_reserved", ["resource"]);
    /// Workers, by state.
    workers: IntGaugeVec = gauge_vec("tarragon_workers", ["state"]);
    /// Times that the use of a worker's tasks went above its capacity.
    overcommitted: IntCounter = counter("tarragon_overcommitted_total");
    /// Worker leases that ended without a renewal.
    leases_ended: IntCounter = counter("tarragon_worker_leases_ended_total");
    /// Sessions granted to workers.
    sessions: IntCounter = counter("tarragon_worker_sessions_total");
    /// Slots of the executors at home on this host, by state.
    executor_slots: IntGaugeVec = gauge_vec("tarragon_executor_slots", ["state"]);
    /// Executors at home on this host, by state.
    executors: IntGaugeVec = gauge_vec("tarragon_executors", ["state"]);
    /// Service requests answered, by outcome.
    requests: IntCounterVec = counter_vec("tarragon_requests_total", ["outcome"]);
    /// Time of a service request on this host.
    request_time: Histogram = histogram("tarragon_request_seconds", STEP_BUCKETS_S);
    /// Answers "not known", to requests and to writes.
    unknown_outcomes: IntCounter = counter("tarragon_unknown_outcomes_total");
    /// Refusals, by number of the result code.
    refused: IntCounterVec = counter_vec("tarragon_refused_total", ["code"]);
    /// Control messages sent, by failure domain of both ends.
    control_messages: IntCounterVec = counter_vec("tarragon_control_messages_total", ["from", "to"]);
    /// Bytes of control messages sent, by failure domain of both ends.
    control_bytes: IntCounterVec = counter_vec("tarragon_control_bytes_total", ["from", "to"]);
    /// Bytes of control messages on connections that other hosts opened.
    control_inbound_bytes: IntCounter = counter("tarragon_control_inbound_bytes_total");
    /// Connections between processes that were closed after silence.
    silent_links: IntCounter = counter("tarragon_silent_links_total");
    /// Revision of the catalogue that this host decides by.
    catalogue_revision: IntGauge = gauge("tarragon_catalogue_revision");
    /// Whether the freshness lease of the catalogue holds.
    catalogue_fresh: IntGauge = gauge("tarragon_catalogue_fresh");
    /// Elections that this replica won.
    elections: IntCounter = counter("tarragon_elections_total");
    /// Whether this replica leads.
    leading: IntGauge = gauge("tarragon_leading");
    /// Term of this replica.
    term: IntGauge = gauge("tarragon_term");
    /// Entries of the replicated log that this replica committed.
    commits: IntCounter = counter("tarragon_commits_total");
    /// Time from a proposal to its commit.
    commit_time: Histogram = histogram("tarragon_commit_seconds", STEP_BUCKETS_S);
    /// Time of a sync to disk.
    sync_time: Histogram = histogram("tarragon_sync_seconds", STEP_BUCKETS_S);
    /// Bytes of the replicated log on the disk of this replica.
    log_bytes: IntGauge = gauge("tarragon_log_bytes");
    /// Bytes of the latest snapshot on the disk of this replica.
    snapshot_bytes: IntGauge = gauge("tarragon_snapshot_bytes");
    /// Whether the disk of this replica refuses writes, so that it neither votes nor leads.
    disk_full: IntGauge = gauge("tarragon_disk_full");
    /// Members that answer this leader but acknowledge no entries.
    lagging_members: IntGauge = gauge("tarragon_lagging_members");
    /// Limit of log and snapshot together, in bytes.
    state_limit_bytes: IntGauge = gauge("tarragon_state_limit_bytes");
    /// Time of making and saving a snapshot.
    snapshot_time: Histogram = histogram("tarragon_snapshot_seconds", STEP_BUCKETS_S);
}

impl Metrics {
    /// Counts a refusal with the result code `code`.
    pub fn count_refusal(&self, code: u16) {
        self.refused.with_label_values(&[&code.to_string()]).inc();
    }

    /// Counters of the control messages sent from one failure domain to another.
    pub fn link_counters(&self, from: &DomainName, to: &DomainName) -> LinkCounters {
        let labels = [from.as_str(), to.as_str()];
        LinkCounters {
            messages: self.control_messages.with_label_values(&labels),
            bytes: self.control_bytes.with_label_values(&labels),
        }
    }

    /// Records the seconds that a job waited for the first start of its tasks.
    pub fn observe_job_wait(&self, class: Class, seconds: f64) {
        self.job_wait
            .with_label_values(&[&class.to_string()])
            .observe(seconds);
    }

    /// All metrics in the Prometheus text format; empty if they cannot be encoded.
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        if TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .is_err()
        {
            buf.clear();
        }
        String::from_utf8(buf).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

/// Panic message for a metric that cannot be created or registered.
const INVALID_METRIC: &str = "metric names must be valid and unique";

fn register<C>(registry: &Registry, collector: &C)
where
    C: Clone + Collector + 'static,
{
    registry
        .register(Box::new(collector.clone()))
        .expect(INVALID_METRIC);
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect(INVALID_METRIC)
}

fn counter_vec(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect(INVALID_METRIC)
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect(INVALID_METRIC)
}

fn gauge_vec(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), labels).expect(INVALID_METRIC)
}

fn histogram(name: &str, help: &str, buckets: &[f64]) -> Histogram {
    Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets.to_vec()))
        .expect(INVALID_METRIC)
}

fn histogram_vec(name: &str, help: &str, buckets: &[f64], labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    HistogramVec::new(opts, labels).expect(INVALID_METRIC)
}
