//! Starts entry hosts on loopback addresses and checks that they find one another and the leader.

mod common;

use std::{fs, time::Duration};

use common::{Cell, wait_until};
use tarragon_codes::Code;
use tarragon_entry::{Reply, Request, open_store};
use tarragon_names::MemberId;
use tarragon_storage::LocalDisk;
use tarragon_telemetry::NullSink;
use tokio::time::sleep;
use yare::parameterized;

/// Number of attempts of the operator; far more than needed on an idle machine.
const MAX_ATTEMPTS: usize = 200;

/// Guards against bootstrap members that elect no leader, and against hosts that do not find it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_hosts_find_the_leader_of_a_new_cell() {
    let mut cell = Cell::new(1);
    for host in 1..=4 {
        cell.start(host, host <= 3, true, &[1, 2, 3]).await;
    }
    wait_until("all hosts find the leader", || cell.all_ready()).await;
    cell.stop();
}

/// Guards against hosts that find no leader after a restart of the whole cell: seeds without a
/// replica know no member of the group after their own restart.
#[parameterized(
    seeds_without_disk = { &[4, 5] },
    one_seed_with_disk = { &[1, 4] },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn restarted_hosts_find_the_leader_through_their_seeds(seeds: &[u8]) {
    let cell_number = seeds[0] * 10;
    let mut cell = Cell::new(cell_number);
    for host in 1..=5 {
        cell.start(host, host <= 3, true, &[1, 2, 3]).await;
    }
    wait_until("all hosts find the leader", || cell.all_ready()).await;
    cell.stop();
    for host in 1..=5 {
        cell.start(host, host <= 3, false, seeds).await;
    }
    wait_until("all hosts find the leader again", || cell.all_ready()).await;
    cell.stop();
}

/// Sends a request of the operator, who repeats it while it is refused with a time to come back.
async fn call_until_answered(cell: &Cell, host: u8, request: &Request) -> Reply {
    for _ in 0..MAX_ATTEMPTS {
        if let Some(reply) = cell.try_call(host, request.clone()).await {
            return reply;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("no answer to {request:?}");
}

/// Guards against a cell that never elects a leader because most of the seeds, or all, have no disk, and
/// against one that accepts a configuration which the loss of its first voter takes away.
#[parameterized(
    one_seed_with_disk = { 140, &[1, 5, 6] },
    no_seed_with_disk = { 150, &[5, 6, 7] },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn cell_forms_although_seeds_have_no_disk(cell_number: u8, seeds: &[u8]) {
    let mut cell = Cell::new(cell_number);
    for host in 1..=7 {
        cell.start(host, host <= 4, true, seeds).await;
    }
    let configuration = Cell::configuration(1, "{}");
    let accepted = call_until_answered(&cell, 7, &configuration).await;
    assert_eq!(accepted, Reply::Done);
    wait_until("all hosts find the leader", || cell.all_ready()).await;
    let leader = cell.leader().expect("a leader");
    cell.stop_host(leader);
    cell.wipe(leader);
    let configuration = call_until_answered(&cell, 6, &Request::ReadConfiguration).await;
    assert_eq!(configuration, Reply::Configuration("{}".into()));
    cell.stop();
}

/// Guards against a host that does not become a voter again after the loss of its disk: it has to
/// join with a new identity and replace its old one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_with_a_lost_disk_becomes_a_voter_again() {
    let mut cell = Cell::new(80);
    for host in 1..=3 {
        cell.start(host, true, true, &[1, 2, 3]).await;
    }
    wait_until("all hosts find the leader", || cell.all_ready()).await;
    cell.stop_host(2);
    cell.wipe(2);
    cell.start(2, true, false, &[1, 2, 3]).await;
    wait_until("the wiped host is ready", || cell.all_ready()).await;
    wait_until("three voters, all on running hosts", || cell.has_voters(3)).await;
    // With three voters, the group tolerates the loss of another host.
    cell.stop_host(1);
    wait_until("the other hosts are ready", || {
        cell.is_ready(2) && cell.is_ready(3)
    })
    .await;
    cell.stop();
}

/// Guards against a host that fails every start because its log is damaged, and against votes
/// under its old identity, whose earlier votes are lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_with_a_damaged_log_becomes_a_voter_again() {
    let mut cell = Cell::new(90);
    for host in 1..=3 {
        cell.start(host, true, true, &[1, 2, 3]).await;
    }
    wait_until("all hosts find the leader", || cell.all_ready()).await;
    // A host is ready once a leader answers it, which may be before its first entry.
    wait_until("the log holds an entry", || cell.has_log_record(3)).await;
    cell.stop_host(3);
    cell.damage_log(3);
    cell.start(3, true, false, &[1, 2, 3]).await;
    wait_until("the damaged host is ready", || cell.all_ready()).await;
    wait_until("three voters, all on running hosts", || cell.has_voters(3)).await;
    cell.stop();
}

/// Why a data folder cannot be opened although its data is sound.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Obstacle {
    OtherProcess,
    UnusableLock,
}

/// Guards against a process that sets a sound data folder aside, and so loses its identity and its
/// state: a folder that another process has open, or whose lock cannot be opened, is not damaged.
#[parameterized(
    other_process_has_it_open = { Obstacle::OtherProcess, Code::FolderInUse },
    lock_cannot_be_opened = { Obstacle::UnusableLock, Code::DiskFull },
)]
fn folder_that_cannot_be_opened_is_left_alone(obstacle: Obstacle, expected: Code) {
    let disk = tempfile::tempdir().expect("creates a folder for the disk");
    let cell = Cell::new(1);
    let cfg = cell.config(1, Some(disk.path().to_owned()), true, &[1]);
    let open = || open_store(&cfg, disk.path(), MemberId(7), &LocalDisk, &NullSink);
    let (store, recovered) = open().expect("creates the store");
    let lock = disk.path().join("replica").join("lock");
    if obstacle == Obstacle::UnusableLock {
        drop(store);
        fs::remove_file(&lock).expect("the lock exists");
        fs::create_dir(&lock).expect("creates a folder in its place");
        assert_eq!(open().expect_err("cannot be opened").code, expected);
        fs::remove_dir(&lock).expect("removes the folder");
    } else {
        assert_eq!(open().expect_err("cannot be opened").code, expected);
        drop(store);
    }
    let (_store, reopened) = open().expect("opens the store");
    assert_eq!(reopened.id, recovered.id);
    assert!(!disk.path().join("aside").exists());
}
