//! A voter whose disk stays full beside a spare host.

mod common;

use std::time::Duration;

use common::{Cell, wait_until};
use tokio::time::{Instant, sleep};

/// Size of each disk in bytes.
const DISK_BYTES: u64 = 4 << 20;

/// Host with a disk that is no voter at first.
const SPARE: u8 = 4;

/// Host without a disk, which takes the requests.
const DISKLESS: u8 = 5;

/// Time within which a job is accepted; far longer than expected.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(20);

async fn submit(cell: &Cell, number: u64) {
    let started_at = Instant::now();
    let job = format!("{number:016x}");
    while let Err(failure) = cell
        .call_once(DISKLESS, Cell::submission(&job, "work"))
        .await
    {
        let is_late = started_at.elapsed() > MAX_ANSWER_TIME;
        assert!(!is_late, "job {job} is not accepted: {failure:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a cell that loses its majority for writes with the next voter, because a voter with a
/// full disk answers and is therefore kept although a spare host holds the state.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn voter_with_a_full_disk_is_replaced_by_a_spare() {
    let mut cell = Cell::new(120);
    cell.disk_bytes = Some(DISK_BYTES);
    for host in 1..=DISKLESS {
        cell.start(host, host != DISKLESS, true, &[1, 2, 3]).await;
    }
    wait_until("the cell is ready", || {
        cell.all_ready() && cell.has_voters(3) && cell.leader().is_some()
    })
    .await;
    cell.configure(DISKLESS).await;
    submit(&cell, 1).await;
    let leader = cell.leader().expect("a host leads");
    let full = (1..SPARE).find(|host| *host != leader).expect("a follower");
    cell.fill_disk(full);
    submit(&cell, 2).await;
    wait_until("the full voter is replaced", || {
        cell.events()[&leader].count("voters_changed") > 0
    })
    .await;
    let other = (1..SPARE).find(|host| *host != leader && *host != full);
    cell.stop_host(other.expect("three voters"));
    submit(&cell, 3).await;
    cell.stop();
}
