use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder, core::Collector,
};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_dispatch::{OrderOutcome, PollOutcome};

use crate::{refused_calls::RefusedCalls, team_gauges::TeamGauges, worker_order::OrderResult};

/// Upper bounds of the buckets of all histograms in seconds; the latency objectives of the
/// requests lie between 0.25 s and 3 s.
const BUCKETS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 10.0,
];

/// Prometheus metrics of an entry host.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    registry: Registry,
    /// Requests answered, by kind and result code; the code of a success is 0.
    pub requests: IntCounterVec,
    /// Calls of callers that the leader refused for their team.
    pub refused_calls: RefusedCalls,
    /// What the teams use and wait for.
    pub team_gauges: TeamGauges,
    /// Seconds from the arrival of a request on this host to its answer, by kind.
    pub request_time: HistogramVec,
    /// Calls to workers and to the advice service, by kind and outcome.
    pub external_calls: IntCounterVec,
    /// Seconds that an order to a worker or a call to the advice service took, by kind.
    pub external_call_time: HistogramVec,
    /// Orders to workers without an answer, by the host that delivers them and by cause.
    pub unanswered_orders: IntCounterVec,
    /// Seconds that an order to a worker waited on this host for the end of other calls, by kind.
    pub order_wait: HistogramVec,
    /// Ends of runs in the answers to polls, by kind of end. A worker repeats an end until the end
    /// is committed, and each repetition counts.
    pub run_ends: IntCounterVec,
    /// Decisions of the dispatcher and changes in what it knows, and orders for upkeep that were not
    /// sent, by the name of their event. Unlike the lines of the log they are never left out.
    pub decisions: IntCounterVec,
    /// Seconds that one step of the dispatcher took.
    pub dispatch_step: Histogram,
    /// Pairs of images that are kept apart while this host leads.
    pub interfering_pairs: IntGauge,
    /// Messages on the links between hosts.
    pub link_messages: IntCounter,
    /// Bytes on the links between hosts.
    pub link_bytes: IntCounter,
    /// Messages dropped because the queue of their link was full.
    pub link_dropped: IntCounter,
    /// Links closed because the other host was silent.
    pub link_silent: IntCounter,
    /// Workers that other hosts deliver to while this host leads.
    pub delivered_workers: IntGauge,
    /// Orders whose result a delivering host has not reported yet.
    pub pending_orders: IntGauge,
    /// Calls to workers that are open on this host.
    pub open_worker_calls: IntGauge,
    /// Calls to workers that wait on this host until others end.
    pub waiting_worker_calls: IntGauge,
    /// Calls after which this host no longer knew a leader.
    pub leader_forgotten: IntCounter,
    /// Seconds for which this host had no answer of a leader, for silences after which it was not
    /// ready.
    pub leader_search_time: Histogram,
    /// 1 while this host reports itself ready, otherwise 0.
    pub ready: IntGauge,
    /// Log lines that were dropped because the writer did not keep up.
    pub log_dropped: IntGauge,
}

impl EntryMetrics {
    /// Registers all metrics with the value zero.
    pub fn new() -> Outcome<Self> {
        let registry = Registry::new();
        Ok(Self {
            requests: register(
                &registry,
                IntCounterVec::new(
                    Opts::new("tarragon_entry_requests_total", "Requests answered"),
                    &["kind", "code"],
                ),
            )?,
            refused_calls: RefusedCalls::new(register(
                &registry,
                IntCounterVec::new(
                    Opts::new(
                        "tarragon_entry_refused_calls_total",
                        "Calls refused for their key, for the team of their job or for a cap",
                    ),
                    &["team", "cause"],
                ),
            )?),
            team_gauges: TeamGauges::new(
                register(
                    &registry,
                    IntGaugeVec::new(
                        Opts::new(
                            "tarragon_entry_team_cpu_milli",
                            "Processor time of a team in thousandths of a core",
                        ),
                        &["team", "kind"],
                    ),
                )?,
                register(
                    &registry,
                    IntGaugeVec::new(
                        Opts::new(
                            "tarragon_entry_team_waiting_tasks",
                            "Tasks of a team that wait for a worker",
                        ),
                        &["team", "kind"],
                    ),
                )?,
            ),
            request_time: register(
                &registry,
                histogram_by_kind("tarragon_entry_request_seconds", "Time of a request"),
            )?,
            external_calls: register(
                &registry,
                IntCounterVec::new(
                    Opts::new(
                        "tarragon_entry_outside_total",
                        "Calls to workers and advice",
                    ),
                    &["kind", "outcome"],
                ),
            )?,
            external_call_time: register(
                &registry,
                histogram_by_kind("tarragon_entry_outside_seconds", "Time of a call outside"),
            )?,
            unanswered_orders: register(
                &registry,
                IntCounterVec::new(
                    Opts::new(
                        "tarragon_entry_unanswered_orders_total",
                        "Orders to workers without an answer",
                    ),
                    &["host", "cause"],
                ),
            )?,
            order_wait: register(
                &registry,
                histogram_by_kind(
                    "tarragon_entry_order_wait_seconds",
                    "Time that an order waited for other calls",
                ),
            )?,
            run_ends: register(
                &registry,
                IntCounterVec::new(
                    Opts::new("tarragon_entry_run_ends_total", "Runs ended"),
                    &["end"],
                ),
            )?,
            decisions: register(
                &registry,
                IntCounterVec::new(
                    Opts::new(
                        "tarragon_entry_decisions_total",
                        "Events of the dispatcher and of upkeep",
                    ),
                    &["event"],
                ),
            )?,
            dispatch_step: register(
                &registry,
                Histogram::with_opts(
                    HistogramOpts::new(
                        "tarragon_entry_dispatch_seconds",
                        "Time of a decision step",
                    )
                    .buckets(BUCKETS_S.to_vec()),
                ),
            )?,
            interfering_pairs: gauge(
                &registry,
                "tarragon_entry_interfering_pairs",
                "Pairs of images that are kept apart",
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
            leader_forgotten: counter(
                &registry,
                "tarragon_entry_leader_forgotten_total",
                "Calls after which no leader was known",
            )?,
            leader_search_time: register(
                &registry,
                Histogram::with_opts(
                    HistogramOpts::new(
                        "tarragon_entry_leader_search_seconds",
                        "Time without an answer of a leader",
                    )
                    .buckets(BUCKETS_S.to_vec()),
                ),
            )?,
            delivered_workers: gauge(
                &registry,
                "tarragon_entry_delivered_workers",
                "Workers that other hosts deliver to",
            )?,
            pending_orders: gauge(
                &registry,
                "tarragon_entry_pending_orders",
                "Orders without a result from their delivering host",
            )?,
            open_worker_calls: gauge(
                &registry,
                "tarragon_entry_open_worker_calls",
                "Open calls to workers",
            )?,
            waiting_worker_calls: gauge(
                &registry,
                "tarragon_entry_waiting_worker_calls",
                "Calls to workers that wait for others to end",
            )?,
            ready: register(
                &registry,
                IntGauge::new("tarragon_entry_ready", "Whether the host is ready"),
            )?,
            log_dropped: register(
                &registry,
                IntGauge::new("tarragon_entry_log_dropped", "Log lines dropped"),
            )?,
            registry,
        })
    }

    /// Counts the result of an order to a worker by its kind and outcome.
    pub(crate) fn count_result(&self, kind: &str, result: &OrderResult) {
        let label = match result {
            OrderResult::Poll(PollOutcome::Answered(answer)) => {
                for run in &answer.finished {
                    let end = run.end.to_string();
                    self.run_ends.with_label_values(&[&end]).inc();
                }
                "answered".to_owned()
            }
            OrderResult::Poll(PollOutcome::OtherIncarnation) => "other_life".to_owned(),
            OrderResult::Poll(PollOutcome::Fenced) => "fenced".to_owned(),
            OrderResult::Poll(PollOutcome::Unanswered) => "unanswered".to_owned(),
            OrderResult::Poll(PollOutcome::NotSent) => "not_sent".to_owned(),
            OrderResult::Order(OrderOutcome::Refused(refusal)) => refusal.to_string(),
            OrderResult::LateOrder(_) => "late".to_owned(),
            OrderResult::Order(outcome) => outcome.to_string(),
        };
        self.external_calls.with_label_values(&[kind, &label]).inc();
    }

    /// Returns all metrics in the text format of Prometheus, followed by `other_metrics`, which is
    /// in the same format.
    pub fn render(&self, other_metrics: &str) -> Outcome<String> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
        let mut text = String::from_utf8_lossy(&buf).into_owned();
        text.push_str(other_metrics);
        Ok(text)
    }
}

fn histogram_by_kind(name: &str, help: &str) -> prometheus::Result<HistogramVec> {
    HistogramVec::new(
        HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec()),
        &["kind"],
    )
}

fn counter(registry: &Registry, name: &str, help: &str) -> Outcome<IntCounter> {
    register(registry, IntCounter::new(name, help))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Outcome<IntGauge> {
    register(registry, IntGauge::new(name, help))
}

fn register<C>(registry: &Registry, created: prometheus::Result<C>) -> Outcome<C>
where
    C: Collector + Clone + 'static,
{
    let internal = |e: prometheus::Error| Failure::new(Code::Internal, e.to_string());
    let metric = created.map_err(internal)?;
    registry
        .register(Box::new(metric.clone()))
        .map_err(internal)?;
    Ok(metric)
}
