//! Starts entry hosts on loopback addresses and checks that they keep to the leader that they know.

mod common;

use std::time::Duration;

use common::{Cell, wait_until};
use tarragon_entry::Request;
use tarragon_names::Millis;
use yare::parameterized;

/// Recovery time of a host that announces itself only every 7.5 s, so that its requests alone tell
/// whether it knows the leader.
const RARE_ANNOUNCEMENTS: Millis = Millis(60_000);

/// Guards against a host that forgets the leader because one call was not answered in time. After a
/// restart of the whole cell, no other host could then tell who leads. A call with little time says
/// nothing about the leader either.
#[parameterized(
    follower = { 151, true },
    host_without_a_replica = { 152, false },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn host_knows_the_leader_after_an_unanswered_call(cell_number: u8, has_disk: bool) {
    let mut cell = Cell::new(cell_number);
    cell.start(1, true, true, &[1, 2, 3]).await;
    cell.start(2, true, true, &[1, 2, 3]).await;
    wait_until("a leader is elected", || cell.leader().is_some()).await;
    cell.recovery_time = RARE_ANNOUNCEMENTS;
    cell.start(3, has_disk, true, &[1, 2, 3]).await;
    let read = |timeout| cell.call_within(3, Request::ReadConfiguration, timeout);
    while read(Duration::from_secs(1)).await.is_err() {}
    // An answer may still come before the timer fires.
    while read(Duration::ZERO).await.is_ok() {}
    let answered = read(Duration::from_secs(1)).await;
    assert!(answered.is_ok(), "{answered:?}");
    cell.stop();
}
