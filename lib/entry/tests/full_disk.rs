//! Hosts whose disks are full when they start or while they run.

mod common;

use std::time::Duration;

use common::{Cell, wait_until};
use tarragon_codes::Code;
use tarragon_entry::{Reply, Request};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// Size of each disk in bytes.
const DISK_BYTES: u64 = 4 << 20;

/// Host without a disk, which takes the requests.
const DISKLESS: u8 = 4;

/// Time within which a request is answered once the cell can answer it; far longer than expected.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(20);

/// Number of submissions to a cell that can commit none.
const REFUSED_SUBMISSIONS: usize = 3;

/// Guards against a cell without a leader while one disk is full and another voter restarts, and
/// against a host that does not return once its disk has room.
#[parameterized(
    leader_restarts = { 40, false },
    leader_loses_its_disk = { 41, true },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn cell_bears_a_full_disk(cell_number: u8, is_wiped: bool) {
    let mut cell = Cell::new(cell_number);
    for host in 1..=5 {
        cell.start(host, host <= 4, true, &[1, 2, 3]).await;
    }
    wait_until("the cell is ready", || {
        cell.all_ready() && cell.has_voters(3) && cell.leader().is_some()
    })
    .await;
    let leader = cell.leader().expect("a host leads");
    let full = (1..=3).find(|host| *host != leader).expect("another voter");
    cell.stop_host(full);
    cell.stop_host(leader);
    let starting = cell.start_on_full_disk(full, &[1, 2, 3]);
    if is_wiped {
        cell.wipe(leader);
    }
    cell.start(leader, true, false, &[1, 2, 3]).await;
    if !is_wiped {
        wait_until("the others go on", || {
            cell.all_ready() && cell.leader().is_some()
        })
        .await;
    }
    cell.free_disk(full, starting).await;
    wait_until("all hosts are back", || {
        cell.all_ready() && cell.has_voters(3) && cell.leader().is_some()
    })
    .await;
    cell.stop();
}

/// Cell of three voters, with the jobs that it accepted.
struct Accepting {
    cell: Cell,
    accepted: Vec<String>,
    sent: usize,
}

impl Accepting {
    async fn start(cell_number: u8) -> Self {
        let mut cell = Cell::new(cell_number);
        cell.disk_bytes = Some(DISK_BYTES);
        let mut run = Self {
            cell,
            accepted: Vec::new(),
            sent: 0,
        };
        run.start_hosts(true).await;
        run.cell.configure(DISKLESS).await;
        run.submit_until_accepted().await;
        run
    }

    async fn start_hosts(&mut self, is_first_start: bool) {
        for host in 1..=DISKLESS {
            let starting = self
                .cell
                .start(host, host != DISKLESS, is_first_start, &[1, 2, 3]);
            starting.await;
        }
        wait_until("the cell is ready", || {
            self.cell.all_ready() && self.cell.leader().is_some()
        })
        .await;
    }

    /// Submits one job; returns why it is not known to be accepted.
    async fn submit(&mut self) -> Result<(), Code> {
        self.sent += 1;
        let job = format!("{:016x}", self.sent);
        let request = Cell::submission(&job, "work");
        let outcome = self.cell.call_once(DISKLESS, request).await;
        outcome.map_err(|failure| failure.code)?;
        self.accepted.push(job);
        Ok(())
    }

    async fn submit_until_accepted(&mut self) {
        let started_at = Instant::now();
        while let Err(code) = self.submit().await {
            let is_late = started_at.elapsed() > MAX_ANSWER_TIME;
            assert!(!is_late, "no job is accepted, last refused with {code:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Checks that all accepted jobs are known.
    async fn check(&self) {
        for job in &self.accepted {
            let reply = self.cell.call(DISKLESS, Cell::status(job)).await;
            assert!(matches!(reply, Reply::Phase(_)), "job {job}: {reply:?}");
        }
        let read = self.cell.call(DISKLESS, Request::ReadConfiguration).await;
        assert_eq!(read, Reply::Configuration("{}".into()));
    }
}

/// Guards against a running voter whose process ends because its disk is full, against a cell that then
/// answers nothing, and against an accepted job that is on too few disks.
#[parameterized(
    follower = { 110, false, 1 },
    leader = { 111, true, 0 },
    both_followers = { 112, false, 2 },
    leader_and_follower = { 113, true, 1 },
    all = { 114, true, 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn running_voters_bear_full_disks(
    cell_number: u8,
    is_leader_full: bool,
    full_followers: usize,
) {
    let mut run = Accepting::start(cell_number).await;
    let leader = run.cell.leader().expect("a host leads");
    let followers = (1..=3).filter(|host| *host != leader);
    let mut full = followers.take(full_followers).collect::<Vec<_>>();
    full.extend(is_leader_full.then_some(leader));
    for host in &full {
        run.cell.fill_disk(*host);
    }
    let mut is_refused_at_once = false;
    if full.len() == 1 {
        for _ in 0..REFUSED_SUBMISSIONS {
            run.submit_until_accepted().await;
        }
    } else {
        for _ in 0..REFUSED_SUBMISSIONS {
            let code = run.submit().await.expect_err("no majority can write");
            // The first one may have been written before the leader's disk was known to be full.
            is_refused_at_once = code == Code::StateFull;
        }
    }
    assert_eq!(is_refused_at_once, is_leader_full && full.len() > 1);
    run.check().await;
    for host in &full {
        let events = &run.cell.events()[host];
        wait_until("the full disk is reported", || {
            events.count("disk_full") > 0
        })
        .await;
        run.cell.make_room(*host);
        wait_until("the voter goes on", || events.count("disk_writable") > 0).await;
    }
    run.submit_until_accepted().await;
    run.check().await;
    run.cell.stop();
    run.start_hosts(false).await;
    run.check().await;
    run.cell.stop();
}
