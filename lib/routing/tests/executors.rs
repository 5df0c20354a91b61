//! Leases, slots and choice of executors with a moved clock.

mod common;

use common::{announcement, ids};
use tarragon_codes::Code;
use tarragon_names::Millis;
use tarragon_routing::{
    Announcement, Choice, ExecutorTable, Grant, LoadSummary, PoolLoad, RequestEnd, Router,
    RoutingConfig, Target,
};
use yare::parameterized;

/// Offset of the readings of the table under test.
const OFFSET: u64 = 1 << 40;

fn table() -> ExecutorTable {
    ExecutorTable::new(RoutingConfig::default(), OFFSET, ids())
}

fn echo(at: u64) -> u64 {
    OFFSET + at
}

fn announce(table: &ExecutorTable, at: u64, announced: Announcement) -> u64 {
    table.announce(announced, Millis(at)).unwrap().clock
}

fn take(table: &ExecutorTable, at: u64) -> Option<Grant> {
    table.take(&"reels".into(), Millis(at))
}

/// Joins an executor at 0 and reports `busy` at 2,000, from which on it serves until 3,400.
fn joined(table: &ExecutorTable, name: &str, busy: u32) {
    announce(table, 0, announcement(name, busy, None));
    announce(table, 2_000, announcement(name, busy, Some(echo(1_900))));
}

/// Guards against sending to an executor whose former home may still send to it.
#[parameterized(
    first_announcement = { None, 5_000 },
    report_made_too_early = { Some(1_700), 1_750 },
    reading_of_another_process = { Some(u64::MAX / 2 - OFFSET), 2_000 },
    reading_from_the_future = { Some(9_000), 2_000 },
)]
fn newcomer_gets_nothing(reading: Option<u64>, at: u64) {
    let table = table();
    announce(&table, 0, announcement("e1", 0, None));
    if let Some(reading) = reading {
        announce(&table, at, announcement("e1", 0, Some(echo(reading))));
    }
    assert_eq!(take(&table, at), None);
}

/// Guards against requests to an executor that fell silent or left (P6), and against a delayed
/// announcement that extends its lease or undoes its leave.
#[parameterized(
    within_the_lease = { vec![], 3_399, true },
    lease_ended = { vec![], 3_400, false },
    delayed_announcement = { vec![(3_300, announcement("e1", 0, Some(echo(1_000))))], 3_400, false },
    renewed = { vec![(3_300, announcement("e1", 0, Some(echo(2_500))))], 3_400, true },
    leaving = { vec![(2_100, leave(2_050))], 2_101, false },
    reordered_behind_leave = {
        vec![(2_100, leave(2_050)), (2_200, announcement("e1", 0, Some(echo(2_050))))],
        2_300,
        false
    },
)]
fn lease_bounds_new_work(then: Vec<(u64, Announcement)>, at: u64, expected: bool) {
    let table = table();
    joined(&table, "e1", 0);
    for (arrival, announced) in then {
        announce(&table, arrival, announced);
    }
    assert_eq!(take(&table, at).is_some(), expected);
}

fn leave(reading: u64) -> Announcement {
    Announcement {
        leaving: true,
        ..announcement("e1", 0, Some(echo(reading)))
    }
}

/// Guards against a slot that was granted before a leave being used after it.
#[test]
fn grant_does_not_outlive_leave_drain_or_restart() {
    let table = table();
    joined(&table, "e1", 0);
    let grant = take(&table, 2_000).unwrap();
    assert!(table.may_send(&grant, Millis(2_100)));
    assert!(!table.may_send(&grant, Millis(3_400)));
    table.set_draining(&"e1".into(), true);
    assert!(!table.may_send(&grant, Millis(2_100)));
    assert_eq!(take(&table, 2_100), None);
    table.set_draining(&"e1".into(), false);
    announce(&table, 2_200, leave(2_050));
    assert!(!table.may_send(&grant, Millis(2_200)));
    let restarted = Announcement {
        epoch: 2,
        ..announcement("e1", 0, None)
    };
    announce(&table, 2_300, restarted);
    assert!(!table.may_send(&grant, Millis(2_300)));
    let late = table.announce(announcement("e1", 0, Some(echo(2_200))), Millis(2_400));
    assert_eq!(late.unwrap_err().code, Code::Malformed);
}

/// Guards against a slot being given out again while its request may still run.
#[parameterized(
    answered = { RequestEnd::Answered, None, 2 },
    not_sent = { RequestEnd::NotSent, None, 2 },
    lost = { RequestEnd::Lost, None, 1 },
    lost_report_made_before = { RequestEnd::Lost, Some((2_100, 0)), 1 },
    lost_report_of_the_same_time = { RequestEnd::Lost, Some((2_200, 0)), 1 },
    lost_still_busy = { RequestEnd::Lost, Some((2_201, 1)), 1 },
    lost_has_ended = { RequestEnd::Lost, Some((2_201, 0)), 2 },
)]
fn slots_after_an_end(end: RequestEnd, report: Option<(u64, u32)>, free: u32) {
    let table = table();
    joined(&table, "e1", 0);
    let grant = take(&table, 2_000).unwrap();
    table.finish(&grant, end, Millis(2_200));
    if let Some((reading, busy)) = report {
        announce(&table, 2_300, announcement("e1", busy, Some(echo(reading))));
    }
    assert_eq!(table.loads(Millis(2_400))[0].free, free);
}

/// Guards against a lost request that keeps its slot while others run, and against one that frees it
/// while it runs.
#[parameterized(
    lost_still_runs = { &["h1-1-1", "h1-1-2"], 0 },
    lost_has_ended = { &["h1-1-2"], 1 },
    none_runs = { &[], 1 },
    of_another_process = { &["h1-7-1", "h1-1-2"], 1 },
)]
fn listed_requests_free_slots(running: &[&str], free: u32) {
    let table = table();
    joined(&table, "e1", 0);
    let lost = take(&table, 2_000).unwrap();
    let _runs_on = take(&table, 2_000).unwrap();
    table.finish(&lost, RequestEnd::Lost, Millis(2_200));
    let listed = Announcement {
        running: Some(running.iter().map(|id| (*id).into()).collect()),
        ..announcement("e1", running.len() as u32, Some(echo(2_201)))
    };
    announce(&table, 2_300, listed);
    assert_eq!(table.loads(Millis(2_400))[0].free, free);
}

/// Guards against a lost request that is forgotten because its executor was at another home in
/// between and lists no request of that home.
#[test]
fn lost_request_is_kept_over_a_move() {
    let table = table();
    joined(&table, "e1", 0);
    let lost = take(&table, 2_000).unwrap();
    table.finish(&lost, RequestEnd::Lost, Millis(2_200));
    let listed = |reading: Option<u64>| Announcement {
        running: Some(vec!["h1-1-1".into()]),
        ..announcement("e1", 1, reading.map(echo))
    };
    announce(&table, 2_300, listed(None));
    for at in [4_100, 4_200, 4_300] {
        announce(&table, at, listed(Some(at - 10)));
    }
    assert_eq!(table.loads(Millis(4_400))[0].free, 1);
}

/// Guards against counting only this home's requests: a former home's run on.
#[test]
fn busy_slots_of_a_newcomer_count_until_its_reports_fall() {
    let table = table();
    joined(&table, "e1", 2);
    assert_eq!(take(&table, 2_000), None);
    announce(&table, 2_500, announcement("e1", 1, Some(echo(2_000))));
    let grant = take(&table, 2_500).unwrap();
    assert_eq!(take(&table, 2_500), None);
    // The report counts this home's own request, which must not keep the other slot taken for ever.
    table.finish(&grant, RequestEnd::Answered, Millis(2_600));
    announce(&table, 3_000, announcement("e1", 0, Some(echo(2_700))));
    assert_eq!(table.loads(Millis(3_000))[0].free, 2);
}

/// Guards against a backend server that fails at once attracting every request.
#[parameterized(
    unreachable_at_once = { RequestEnd::Unreachable, 1 },
    failures_in_a_row = { RequestEnd::AnsweredFailure, 3 },
)]
fn failing_executor_is_avoided_for_a_while(end: RequestEnd, times: u32) {
    let table = table();
    joined(&table, "e1", 0);
    for _ in 0..times {
        let grant = take(&table, 2_000).unwrap();
        table.finish(&grant, end, Millis(2_000));
    }
    assert_eq!(take(&table, 2_199), None);
    assert!(table.has(&"reels".into(), Millis(2_199)));
    let probe = take(&table, 2_200).unwrap();
    table.finish(&probe, RequestEnd::Answered, Millis(2_200));
    assert!(take(&table, 2_200).is_some());
}

/// Guards against announcements that fill the host's memory.
#[test]
fn executors_of_a_home_are_bounded() {
    let table = table();
    let refused = (0..10_000)
        .filter_map(|n| {
            let announced = announcement(&format!("e{n}"), 0, None);
            table.announce(announced, Millis(0)).err()
        })
        .collect::<Vec<_>>();
    assert!(refused.len() > 5_000);
    assert!(refused.iter().all(|f| f.code == Code::TooManyRequests));
    table.sweep(Millis(60_001));
    announce(&table, 60_001, announcement("e1", 0, None));
}

/// Guards against one executor taking all requests while others idle.
#[test]
fn least_loaded_executor_is_chosen() {
    let table = table();
    joined(&table, "e1", 1);
    joined(&table, "e2", 0);
    let names = (0..3).map(|_| take(&table, 2_000).unwrap().executor.to_string());
    let names = names.collect::<Vec<_>>();
    assert_eq!(names[0], "e2");
    assert!(names.contains(&"e1".to_owned()));
    assert_eq!(take(&table, 2_000), None);
}

fn summary(host: &str, sequence: u64, free: u32) -> LoadSummary {
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

/// Guards against forwards to a host that is full, silent or known from an old summary.
#[parameterized(
    most_free = { vec![(0, summary("h2", 1, 1)), (0, summary("h3", 1, 5))], 500, Some("h3") },
    newer_summary = { vec![(0, summary("h2", 2, 0)), (0, summary("h2", 1, 5))], 500, None },
    aged_out = { vec![(0, summary("h2", 1, 5))], 1_001, None },
    restarted_host = { vec![(0, summary("h2", 9, 0)), (2_000, summary("h2", 1, 5))], 2_000, Some("h2") },
)]
fn remote_home_is_chosen_by_summary(
    summaries: Vec<(u64, LoadSummary)>,
    at: u64,
    expected: Option<&str>,
) {
    let router = Router::new(RoutingConfig::default(), 0, ids());
    for (arrival, summary) in summaries {
        router.loads().update(summary, Millis(arrival));
    }
    let chosen = match router.choose(&"reels".into(), Millis(at)) {
        Choice::Send(Target::Remote(host)) => Some(host.to_string()),
        _ => None,
    };
    assert_eq!(chosen.as_deref(), expected);
    // A forwarded request is never forwarded again.
    let own = router.choose_own(&"reels".into(), Millis(at));
    assert_eq!(own, Choice::NoExecutor);
}

/// Guards against more forwards between two summaries than the host has free slots.
#[test]
fn forwards_count_against_the_summary() {
    let router = Router::new(RoutingConfig::default(), 0, ids());
    router.loads().update(summary("h2", 1, 2), Millis(0));
    let pool = "reels".into();
    assert!(matches!(router.choose(&pool, Millis(1)), Choice::Send(_)));
    assert!(matches!(router.choose(&pool, Millis(1)), Choice::Send(_)));
    assert_eq!(router.choose(&pool, Millis(1)), Choice::Busy);
    router.loads().update(summary("h2", 2, 2), Millis(2));
    router.loads().exhausted(&"h2".into(), &pool);
    assert_eq!(router.choose(&pool, Millis(2)), Choice::Busy);
}
