//! Start orders in virtual time over the hosts that `DeliveryRoutes` chooses. Each host is a queue in
//! front of its processor and of its link.

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash, Hasher},
};

use tarragon_delivery::{DeliveryLimits, DeliveryRoutes};
use tarragon_names::{DomainName, HostCapacity, HostName, Millis, WorkerName};
use yare::parameterized;

const DOMAINS: u64 = 4;
const WORKERS: u64 = 350;

/// Hosts of one failure domain: thousandths of a core and link in kbit/s.
const HOSTS: [(u64, u64); 9] = [
    (400, 200_000),
    (400, 200_000),
    (300, 5_000),
    (90, 1_500),
    (90, 1_500),
    (90, 1_500),
    (90, 1_500),
    (90, 1_500),
    (90, 1_500),
];

/// Processor time of a start order and of the poll that reports the end of its run, in milliseconds of a
/// whole core.
const ORDER_CORE_MS: f64 = 2.0;

/// Size of a start order on the link, in kbit.
const ORDER_KBIT: f64 = 20.0;

/// Interval between two passes of the placement, each of which gives its orders at once.
const PASS_MS: f64 = 20.0;

/// Time within which the first order of a run has to be answered.
const ANSWER_LIMIT_MS: f64 = 200.0;

/// Share of the orders that may be answered later. A check of three tasks is then on time in 97 of 100
/// cases as far as its orders are concerned.
const MAX_LATE_SHARE: f64 = 0.01;

/// One host as the load sees it.
struct ModelHost {
    cores: f64,
    link_kbit_per_ms: f64,
    processor_free_at: f64,
    link_free_at: f64,
}

impl ModelHost {
    /// Takes an order that arrives at `now` and returns when its answer is there.
    fn deliver(&mut self, now: f64) -> f64 {
        let received_at = self.link_free_at.max(now) + ORDER_KBIT / self.link_kbit_per_ms;
        self.link_free_at = received_at;
        let answered_at = self.processor_free_at.max(received_at) + ORDER_CORE_MS / self.cores;
        self.processor_free_at = answered_at;
        answered_at
    }
}

fn host_name(domain: u64, index: usize) -> HostName {
    HostName::from(format!("10.{domain}.0.{index}:1"))
}

fn domain_name(domain: u64) -> DomainName {
    DomainName::from(format!("d{domain}"))
}

fn worker_name(number: u64) -> WorkerName {
    WorkerName::from(format!("w{number}"))
}

fn routes() -> DeliveryRoutes {
    let mut routes = DeliveryRoutes::new(DeliveryLimits::default(), host_name(0, 0));
    for domain in 0..DOMAINS {
        for (index, (processor_milli, link_kbps)) in HOSTS.into_iter().enumerate() {
            let name = host_name(domain, index);
            let capacity = HostCapacity {
                processor_milli,
                link_kbps,
            };
            routes.host_seen(&name, &domain_name(domain), capacity, Millis(0));
        }
    }
    let workers = (0..WORKERS).map(|number| (worker_name(number), domain_name(number % DOMAINS)));
    routes.assign(&workers.collect::<Vec<_>>(), Millis(0));
    routes
}

fn model_hosts(processor_share: f64) -> BTreeMap<HostName, ModelHost> {
    let hosts = (0..DOMAINS).flat_map(|domain| {
        HOSTS.iter().enumerate().map(move |(index, host)| {
            let (processor_milli, link_kbps) = *host;
            let model = ModelHost {
                cores: processor_milli as f64 / 1_000.0 * processor_share,
                link_kbit_per_ms: link_kbps as f64 / 1_000.0,
                processor_free_at: 0.0,
                link_free_at: 0.0,
            };
            (host_name(domain, index), model)
        })
    });
    hosts.collect()
}

/// Worker that gets the order with this number.
fn worker_of(order: u64) -> WorkerName {
    let mut hasher = DefaultHasher::new();
    order.hash(&mut hasher);
    worker_name(hasher.finish() % WORKERS)
}

/// Guards against hosts that get more orders than they can carry: their answers come after the timeout
/// while other hosts of the domain are idle.
#[parameterized(
    usual_load = { 500.0, 5_000.0, 1.0 },
    usual_load_on_half_of_the_processor = { 500.0, 5_000.0, 0.5 },
    everything_was_restarted = { 870.0, 500.0, 1.0 },
    everything_was_restarted_on_half_of_the_processor = { 870.0, 500.0, 0.5 },
)]
fn orders_are_answered_in_time(orders_per_s: f64, duration_ms: f64, processor_share: f64) {
    let routes = routes();
    let mut hosts = model_hosts(processor_share);
    let (mut orders, mut late) = (0_u32, 0_u32);
    let mut now = 0.0;
    while now < duration_ms {
        now += PASS_MS;
        while f64::from(orders) < now / 1_000.0 * orders_per_s {
            orders += 1;
            let host = routes.host_of(&worker_of(u64::from(orders)));
            let host = host.expect("every worker has a delivering host");
            let host = hosts.get_mut(host).expect("the host is one of the model");
            late += u32::from(host.deliver(now) - now > ANSWER_LIMIT_MS);
        }
    }
    let late_share = f64::from(late) / f64::from(orders);
    assert!(late_share <= MAX_LATE_SHARE, "{late} of {orders} are late");
}
