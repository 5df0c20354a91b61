//! Hosts as real runtimes on loopback: how they find one another and the leader.

mod common;

use common::{Cell, until};
use yare::parameterized;

/// Guards against a cell that does not form, and against hosts that do not find it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cell_forms_from_its_seeds() {
    let mut cell = Cell::new(1);
    for host in 1..=4 {
        cell.start(host, host <= 3, true, &[1, 2, 3]).await;
    }
    until("all hosts find the leader", || cell.all_ready()).await;
    cell.stop();
}

/// Guards against hosts that find nobody after a restart, because the seeds in their settings are
/// hosts without a replica that were restarted too.
#[parameterized(
    seeds_without_disk = { &[4, 5] },
    one_seed_with_disk = { &[1, 4] },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn restarted_cell_is_found_through_its_seeds(seeds: &[u8]) {
    let first = seeds[0] * 10;
    let mut cell = Cell::new(first);
    for host in 1..=5 {
        cell.start(host, host <= 3, true, &[1, 2, 3]).await;
    }
    until("all hosts find the leader", || cell.all_ready()).await;
    cell.stop();
    for host in 1..=5 {
        cell.start(host, host <= 3, false, seeds).await;
    }
    until("all hosts find the leader again", || cell.all_ready()).await;
    cell.stop();
}

/// Guards against a lost disk that stays lost: the host has to vote again under another identity.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_with_a_lost_disk_votes_again() {
    let mut cell = Cell::new(80);
    for host in 1..=3 {
        cell.start(host, true, true, &[1, 2, 3]).await;
    }
    until("all hosts find the leader", || cell.all_ready()).await;
    cell.stop_host(2);
    cell.wipe(2);
    cell.start(2, true, false, &[1, 2, 3]).await;
    until("the wiped host is ready", || cell.all_ready()).await;
    until("three voters, none of them lost", || cell.has_voters(3)).await;
    // The group bears the next loss.
    cell.stop_host(1);
    until("the others go on", || cell.is_ready(2) && cell.is_ready(3)).await;
    cell.stop();
}

/// Guards against a process that ends for ever on a damaged disk, and against a vote under an
/// identity whose promises are not known any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_with_a_damaged_log_comes_back_as_a_learner() {
    let mut cell = Cell::new(90);
    for host in 1..=3 {
        cell.start(host, true, true, &[1, 2, 3]).await;
    }
    until("all hosts find the leader", || cell.all_ready()).await;
    cell.stop_host(3);
    cell.damage_log(3);
    cell.start(3, true, false, &[1, 2, 3]).await;
    until("the damaged host is ready", || cell.all_ready()).await;
    until("three voters, none of them lost", || cell.has_voters(3)).await;
    cell.stop();
}
