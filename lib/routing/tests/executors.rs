//! Leases, slots and choice of executors under a simulated clock.

mod common;

use common::{announcement, ids};
use tarragon_codes::Code;
use tarragon_names::Millis;
use tarragon_routing::{
    Announcement, ExecutorTable, Grant, LoadSummary, PoolLoad, RequestEnd, Router, RoutingConfig,
    RoutingDecision, Target,
};
use yare::parameterized;

/// Offset of the clock readings of the table under test.
const CLOCK_OFFSET: u64 = 1 << 40;

fn table() -> ExecutorTable {
    ExecutorTable::new(RoutingConfig::default(), CLOCK_OFFSET, ids())
}

fn echoed(at: u64) -> u64 {
    CLOCK_OFFSET + at
}

fn announce(table: &ExecutorTable, at: u64, announcement: Announcement) -> u64 {
    table.announce(announcement, Millis(at)).unwrap().clock
}

fn acquire_slot(table: &ExecutorTable, at: u64) -> Option<Grant> {
    table.acquire_slot(&"reels".into(), Millis(at))
}

/// Registers an executor at 0 ms. Its report of `busy` slots at 2,000 ms ends the join and renews the
/// lease until 3,400 ms.
fn register(table: &ExecutorTable, name: &str, busy: u32) {
    announce(table, 0, announcement(name, busy, None));
    announce(table, 2_000, announcement(name, busy, Some(echoed(1_900))));
}

/// Guards against sending requests to an executor while its former home host may still do so.
#[parameterized(
    first_announcement = { None, 5_000 },
    report_before_the_join_ends = { Some(1_700), 1_750 },
    clock_reading_of_another_process = { Some(u64::MAX / 2 - CLOCK_OFFSET), 2_000 },
    clock_reading_in_the_future = { Some(9_000), 2_000 },
)]
fn joining_executor_gets_no_requests(reading: Option<u64>, at: u64) {
    let table = table();
    announce(&table, 0, announcement("e1", 0, None));
    if let Some(reading) = reading {
        announce(&table, at, announcement("e1", 0, Some(echoed(reading))));
    }
    assert_eq!(acquire_slot(&table, at), None);
}

/// Guards against requests to an executor that stopped announcing itself or is leaving (P6), and
/// against a delayed announcement that extends the lease or undoes the leave.
#[parameterized(
    within_the_lease = { vec![], 3_399, true },
    lease_ended = { vec![], 3_400, false },
    delayed_announcement = { vec![(3_300, announcement("e1", 0, Some(echoed(1_000))))], 3_400, false },
    lease_renewed = { vec![(3_300, announcement("e1", 0, Some(echoed(2_500))))], 3_400, true },
    leaving = { vec![(2_100, leave_announcement(2_050))], 2_101, false },
    overtaken_by_the_leave = {
        vec![(2_100, leave_announcement(2_050)), (2_200, announcement("e1", 0, Some(echoed(2_050))))],
        2_300,
        false
    },
)]
fn requests_need_a_lease_and_no_leave(later: Vec<(u64, Announcement)>, at: u64, expected: bool) {
    let table = table();
    register(&table, "e1", 0);
    for (arrival, announcement) in later {
        announce(&table, arrival, announcement);
    }
    assert_eq!(acquire_slot(&table, at).is_some(), expected);
}

fn leave_announcement(reading: u64) -> Announcement {
    Announcement {
        leaving: true,
        ..announcement("e1", 0, Some(echoed(reading)))
    }
}

/// Guards against sending a request whose slot was granted before the executor's lease ended, or before
/// the executor began to leave, was drained or restarted.
#[test]
fn grant_is_void_after_leave_drain_or_restart() {
    let table = table();
    register(&table, "e1", 0);
    let grant = acquire_slot(&table, 2_000).unwrap();
    assert!(table.may_send(&grant, Millis(2_100)));
    assert!(!table.may_send(&grant, Millis(3_400)));
    table.set_draining(&"e1".into(), true);
    assert!(!table.may_send(&grant, Millis(2_100)));
    assert_eq!(acquire_slot(&table, 2_100), None);
    table.set_draining(&"e1".into(), false);
    announce(&table, 2_200, leave_announcement(2_050));
    assert!(!table.may_send(&grant, Millis(2_200)));
    let restarted = Announcement {
        epoch: 2,
        ..announcement("e1", 0, None)
    };
    announce(&table, 2_300, restarted);
    assert!(!table.may_send(&grant, Millis(2_300)));
    let late = table.announce(announcement("e1", 0, Some(echoed(2_200))), Millis(2_400));
    assert_eq!(late.unwrap_err().code, Code::Malformed);
}

/// Guards against assigning a slot again while its request may still run.
#[parameterized(
    answered = { RequestEnd::Answered, None, 2 },
    not_sent = { RequestEnd::NotSent, None, 2 },
    lost = { RequestEnd::Lost, None, 1 },
    lost_and_reported_earlier = { RequestEnd::Lost, Some((2_100, 0)), 1 },
    lost_and_reported_at_the_same_time = { RequestEnd::Lost, Some((2_200, 0)), 1 },
    lost_and_reported_busy = { RequestEnd::Lost, Some((2_201, 1)), 1 },
    lost_and_reported_free = { RequestEnd::Lost, Some((2_201, 0)), 2 },
)]
fn slot_is_free_once_its_request_has_ended(end: RequestEnd, report: Option<(u64, u32)>, free: u32) {
    let table = table();
    register(&table, "e1", 0);
    let grant = acquire_slot(&table, 2_000).unwrap();
    table.release_slot(&grant, end, Millis(2_200));
    if let Some((reading, busy)) = report {
        announce(
            &table,
            2_300,
            announcement("e1", busy, Some(echoed(reading))),
        );
    }
    assert_eq!(table.pool_loads(Millis(2_400))[0].free, free);
}

/// Guards against a lost request that has ended but keeps its slot while others run, and against
/// freeing the slot while the lost request runs.
#[parameterized(
    lost_request_still_runs = { &["h1-1-1", "h1-1-2"], 0 },
    lost_request_has_ended = { &["h1-1-2"], 1 },
    no_request_runs = { &[], 1 },
    request_of_another_process = { &["h1-7-1", "h1-1-2"], 1 },
)]
fn lost_slot_is_free_once_its_request_is_not_listed(running: &[&str], free: u32) {
    let table = table();
    register(&table, "e1", 0);
    let lost = acquire_slot(&table, 2_000).unwrap();
    let _still_runs = acquire_slot(&table, 2_000).unwrap();
    table.release_slot(&lost, RequestEnd::Lost, Millis(2_200));
    let listed = Announcement {
        running: Some(running.iter().map(|id| (*id).into()).collect()),
        ..announcement("e1", running.len() as u32, Some(echoed(2_201)))
    };
    announce(&table, 2_300, listed);
    assert_eq!(table.pool_loads(Millis(2_400))[0].free, free);
}

/// Guards against freeing the slot of a lost request that still runs when the executor joins again
/// after it was registered elsewhere and lists no requests of another home host.
#[test]
fn lost_request_keeps_its_slot_when_the_executor_rejoins() {
    let table = table();
    register(&table, "e1", 0);
    let lost = acquire_slot(&table, 2_000).unwrap();
    table.release_slot(&lost, RequestEnd::Lost, Millis(2_200));
    let listed = |reading: Option<u64>| Announcement {
        running: Some(vec!["h1-1-1".into()]),
        ..announcement("e1", 1, reading.map(echoed))
    };
    announce(&table, 2_300, listed(None));
    for at in [4_100, 4_200, 4_300] {
        announce(&table, at, listed(Some(at - 10)));
    }
    assert_eq!(table.pool_loads(Millis(4_400))[0].free, 1);
}

/// Guards against counting only requests of this home host while requests of a former home host still
/// run.
#[test]
fn slots_of_a_former_home_host_count_until_reported_free() {
    let table = table();
    register(&table, "e1", 2);
    assert_eq!(acquire_slot(&table, 2_000), None);
    announce(&table, 2_500, announcement("e1", 1, Some(echoed(2_000))));
    let grant = acquire_slot(&table, 2_500).unwrap();
    assert_eq!(acquire_slot(&table, 2_500), None);
    // `busy` counts requests of this home host too, which must not keep the slot of the former home
    // host in use for ever.
    table.release_slot(&grant, RequestEnd::Answered, Millis(2_600));
    announce(&table, 3_000, announcement("e1", 0, Some(echoed(2_700))));
    assert_eq!(table.pool_loads(Millis(3_000))[0].free, 2);
}

/// Guards against routing most requests to a backend server that fails at once and so looks idle.
#[parameterized(
    one_failed_connection = { RequestEnd::Unreachable, 1 },
    three_consecutive_failures = { RequestEnd::AnsweredFailure, 3 },
)]
fn failing_executor_is_avoided_temporarily(end: RequestEnd, times: u32) {
    let table = table();
    register(&table, "e1", 0);
    for _ in 0..times {
        let grant = acquire_slot(&table, 2_000).unwrap();
        table.release_slot(&grant, end, Millis(2_000));
    }
    assert_eq!(acquire_slot(&table, 2_199), None);
    assert!(table.has_executor(&"reels".into(), Millis(2_199)));
    let probe = acquire_slot(&table, 2_200).unwrap();
    table.release_slot(&probe, RequestEnd::Answered, Millis(2_200));
    assert!(acquire_slot(&table, 2_200).is_some());
}

/// Guards against announcements of many executors that fill the host's memory.
#[test]
fn number_of_registered_executors_is_bounded() {
    let table = table();
    let refused = (0..10_000)
        .filter_map(|n| {
            let announcement = announcement(&format!("e{n}"), 0, None);
            table.announce(announcement, Millis(0)).err()
        })
        .collect::<Vec<_>>();
    assert!(refused.len() > 5_000);
    assert!(
        refused
            .iter()
            .all(|failure| failure.code == Code::TooManyRequests)
    );
    table.remove_silent(Millis(60_001));
    announce(&table, 60_001, announcement("e1", 0, None));
}

/// Guards against one executor getting all requests while others are idle.
#[test]
fn least_loaded_executor_is_chosen() {
    let table = table();
    register(&table, "e1", 1);
    register(&table, "e2", 0);
    let names = (0..3).map(|_| acquire_slot(&table, 2_000).unwrap().executor.to_string());
    let names = names.collect::<Vec<_>>();
    assert_eq!(names[0], "e2");
    assert!(names.contains(&"e1".to_owned()));
    assert_eq!(acquire_slot(&table, 2_000), None);
}

fn load_summary(host: &str, sequence: u64, free: u32) -> LoadSummary {
    LoadSummary {
        host: host.into(),
        sequence,
        pools: vec![PoolLoad {
            pool: "reels".into(),
            free,
            slots: 8,
        }],
    }
}

/// Guards against forwarding requests to a host that is full or whose summary is outdated.
#[parameterized(
    host_with_most_free_slots = { vec![(0, load_summary("h2", 1, 1)), (0, load_summary("h3", 1, 5))], 500, Some("h3") },
    older_summary_is_ignored = { vec![(0, load_summary("h2", 2, 0)), (0, load_summary("h2", 1, 5))], 500, None },
    expired_summary_is_ignored = { vec![(0, load_summary("h2", 1, 5))], 1_001, None },
    restarted_host_replaces_its_expired_summary = { vec![(0, load_summary("h2", 9, 0)), (2_000, load_summary("h2", 1, 5))], 2_000, Some("h2") },
)]
fn remote_host_is_chosen_by_its_load_summary(
    summaries: Vec<(u64, LoadSummary)>,
    at: u64,
    expected: Option<&str>,
) {
    let router = Router::new(RoutingConfig::default(), 0, ids());
    for (arrival, summary) in summaries {
        router.remote_loads().update(summary, Millis(arrival));
    }
    let chosen = match router.choose(&"reels".into(), Millis(at)) {
        RoutingDecision::Send(Target::Remote(host)) => Some(host.to_string()),
        _ => None,
    };
    assert_eq!(chosen.as_deref(), expected);
    // A forwarded request is never forwarded again.
    let local = router.choose_local(&"reels".into(), Millis(at));
    assert_eq!(local, RoutingDecision::NoExecutor);
}

/// Guards against forwarding more requests between two summaries than the host has free slots.
#[test]
fn forwarded_requests_count_against_the_load_summary() {
    let router = Router::new(RoutingConfig::default(), 0, ids());
    router
        .remote_loads()
        .update(load_summary("h2", 1, 2), Millis(0));
    let pool = "reels".into();
    assert!(matches!(
        router.choose(&pool, Millis(1)),
        RoutingDecision::Send(_)
    ));
    assert!(matches!(
        router.choose(&pool, Millis(1)),
        RoutingDecision::Send(_)
    ));
    assert_eq!(router.choose(&pool, Millis(1)), RoutingDecision::Busy);
    router
        .remote_loads()
        .update(load_summary("h2", 2, 2), Millis(2));
    router.remote_loads().mark_full(&"h2".into(), &pool);
    assert_eq!(router.choose(&pool, Millis(2)), RoutingDecision::Busy);
}
