//! Choice of the hosts that deliver to the workers.

use std::collections::BTreeMap;

use tarragon_delivery::{DeliveryLimits, DeliveryRoutes, OrderRoute};
use tarragon_names::{DomainName, HostCapacity, HostName, Millis, WorkerName};
use yare::parameterized;

const DOMAINS: u64 = 5;

const LARGE: HostCapacity = HostCapacity {
    processor_milli: 400,
    link_kbps: 200_000,
};

const SMALL: HostCapacity = HostCapacity {
    processor_milli: 100,
    link_kbps: 200_000,
};

/// The first host of each failure domain is large.
fn capacity(number: u64) -> HostCapacity {
    if number < DOMAINS { LARGE } else { SMALL }
}

fn host(number: u64) -> HostName {
    HostName::from(format!("10.0.0.{number}:1"))
}

fn domain(number: u64) -> DomainName {
    DomainName::from(format!("d{}", number % DOMAINS))
}

fn workers(count: u64) -> Vec<(WorkerName, DomainName)> {
    let worker = |number| (WorkerName::from(format!("w{number}")), domain(number));
    (0..count).map(worker).collect()
}

/// Routes of a leader outside these hosts, with all workers assigned.
fn routes(hosts: u64, worker_count: u64) -> DeliveryRoutes {
    let mut routes = DeliveryRoutes::new(DeliveryLimits::default(), HostName::from("leader"));
    for number in 0..hosts {
        routes.host_seen(&host(number), &domain(number), capacity(number), Millis(0));
    }
    routes.assign(&workers(worker_count), Millis(0));
    routes
}

fn assignment(routes: &DeliveryRoutes, count: u64) -> BTreeMap<WorkerName, HostName> {
    let hosts = workers(count).into_iter().filter_map(|(worker, _)| {
        let host = routes.host_of(&worker)?.clone();
        Some((worker, host))
    });
    hosts.collect()
}

/// Guards against a small system that pays for a detour, and against a leader that opens connections
/// to a thousand workers.
#[parameterized(
    few_workers = { 48, 9, 0 },
    at_the_limit = { 100, 9, 0 },
    grown = { 350, 45, 350 },
    large = { 1_100, 150, 1_100 },
    no_other_host = { 1_100, 0, 0 },
)]
fn hosts_deliver_to_the_workers_of_large_systems(workers: u64, hosts: u64, delivered: usize) {
    assert_eq!(routes(hosts, workers).delivered_workers(), delivered);
}

/// Guards against orders that cross failure domains twice, and against hosts that get more workers than
/// their part of the capacity.
#[test]
fn workers_are_divided_in_their_domain_by_capacity() {
    let routes = routes(150, 1_100);
    let mut loads = BTreeMap::<u64, u64>::new();
    for (worker, host_name) in assignment(&routes, 1_100) {
        let worker_number = worker.as_str()[1..].parse::<u64>().unwrap();
        let host_number = (0..150).find(|n| host(*n) == host_name).unwrap();
        assert_eq!(domain(worker_number), domain(host_number));
        *loads.entry(host_number).or_default() += 1;
    }
    // A domain has one large host and 29 small ones for 220 workers.
    let small_share = 220 * 100 / (400 + 29 * 100);
    for number in 0..150 {
        let load = loads.get(&number).copied().unwrap_or(0);
        let share = if number < DOMAINS {
            4 * small_share
        } else {
            small_share
        };
        assert!(
            load <= share * 5 / 4 + 1,
            "host {number} has {load} workers"
        );
    }
}

/// Guards against a leader that also delivers while other hosts can.
#[test]
fn leader_delivers_only_where_no_other_host_can() {
    let mut routes = DeliveryRoutes::new(DeliveryLimits::default(), host(0));
    routes.host_seen(&host(0), &domain(0), LARGE, Millis(0));
    routes.assign(&workers(350), Millis(0));
    assert_eq!(routes.delivered_workers(), 0);
    routes.host_seen(&host(5), &domain(0), SMALL, Millis(0));
    routes.assign(&workers(350), Millis(0));
    assert!(
        assignment(&routes, 350)
            .values()
            .all(|name| *name == host(5))
    );
    assert_eq!(routes.delivered_workers(), 350);
}

/// Guards against repeats that go to the host that did not get an answer.
#[test]
fn orders_are_repeated_through_another_host() {
    let routes = routes(45, 350);
    for (worker, host) in assignment(&routes, 350) {
        assert_ne!(routes.repeat_host_of(&worker), Some(&host));
    }
}

/// Guards against repeats that fill the hosts of a deployment in which no order is answered.
#[test]
fn repeats_stay_within_the_budget_of_their_host() {
    let mut routes = routes(45, 350);
    let mut repeats = BTreeMap::<HostName, usize>::new();
    for (worker, _) in workers(350).iter().cycle().take(10_000) {
        if let OrderRoute::Host(host) = routes.route(worker, true) {
            *repeats.entry(host).or_default() += 1;
        }
    }
    assert!(repeats.values().all(|count| *count <= 20), "{repeats:?}");
    let (worker, _) = &workers(1)[0];
    assert_eq!(routes.route(worker, true), OrderRoute::OverBudget);
    let host = routes.host_of(worker).cloned().unwrap();
    assert_eq!(routes.route(worker, false), OrderRoute::Host(host));
}

/// Guards against a host that is slower than it announces and keeps its share, or never gets it back.
#[test]
fn slow_host_has_fewer_workers_until_it_is_fast_again() {
    let mut routes = routes(45, 350);
    let load = |routes: &DeliveryRoutes| {
        let hosts = assignment(routes, 350).into_values();
        hosts.filter(|name| *name == host(0)).count()
    };
    let before = load(&routes);
    let periods = |routes: &mut DeliveryRoutes, count: u64, answer_time: u64| {
        for _ in 0..count {
            for _ in 0..20 {
                routes.order_answered(&host(0), Millis(answer_time));
            }
            routes.end_period();
        }
        routes.assign(&workers(350), Millis(0));
    };
    periods(&mut routes, 10, 150);
    assert!(load(&routes) <= before / 2, "{} of {before}", load(&routes));
    assert!(load(&routes) > 0, "it would never be judged again");
    periods(&mut routes, 20, 20);
    assert_eq!(load(&routes), before);
}

/// Guards against a leader that moves all workers whenever a host comes or goes.
#[parameterized(
    stops = { |routes: &mut DeliveryRoutes, gone: &HostName| routes.host_stopped(gone) },
    fails = { |routes: &mut DeliveryRoutes, gone: &HostName| { routes.host_failed(gone, Millis(1)); } },
)]
fn few_workers_move_when_a_host_goes(lose: fn(&mut DeliveryRoutes, &HostName)) {
    let mut routes = routes(150, 1_100);
    let before = assignment(&routes, 1_100);
    let gone = before.values().next().unwrap().clone();
    lose(&mut routes, &gone);
    assert!(routes.is_changed());
    routes.assign(&workers(1_100), Millis(1));
    let after = assignment(&routes, 1_100);
    assert_eq!(after.len(), 1_100);
    assert!(after.values().all(|host| *host != gone));
    let moved = before
        .iter()
        .filter(|(w, host)| after[*w] != **host)
        .count();
    assert!(moved < 100, "{moved} of 1100 workers moved");
}

/// Guards against a failed host that never delivers again.
#[test]
fn failed_host_delivers_again_after_a_pause() {
    let mut routes = routes(150, 1_100);
    let before = assignment(&routes, 1_100);
    let failed = before.values().next().unwrap().clone();
    assert!(routes.host_failed(&failed, Millis(1)));
    assert!(!routes.host_failed(&failed, Millis(2)), "known already");
    routes.assign(&workers(1_100), Millis(2));
    for number in 0..150 {
        routes.host_seen(
            &host(number),
            &domain(number),
            capacity(number),
            Millis(2_500),
        );
    }
    assert!(routes.is_changed());
    routes.assign(&workers(1_100), Millis(2_500));
    assert_eq!(assignment(&routes, 1_100), before);
}

/// Guards against workers that no host reaches: a domain whose small hosts are gone is served by its
/// large ones, and then by hosts of other domains; a silent host serves none.
#[test]
fn workers_of_a_domain_without_small_hosts_are_delivered_to() {
    let mut routes = routes(150, 1_100);
    for number in (DOMAINS..150).filter(|number| number % DOMAINS == 0) {
        routes.host_stopped(&host(number));
    }
    routes.assign(&workers(1_100), Millis(1));
    let of_domain = |routes: &DeliveryRoutes| {
        let all = assignment(routes, 1_100).into_iter();
        let first_domain = all.filter(|(w, _)| w.as_str()[1..].parse::<u64>().unwrap() % 5 == 0);
        first_domain.map(|(_, host)| host).collect::<Vec<_>>()
    };
    assert!(of_domain(&routes).iter().all(|name| *name == host(0)));
    routes.host_stopped(&host(0));
    routes.assign(&workers(1_100), Millis(2));
    assert_eq!(of_domain(&routes).len(), 220);
    routes.assign(&workers(1_100), Millis(4_000));
    assert_eq!(routes.delivered_workers(), 0, "no host was seen for long");
}
