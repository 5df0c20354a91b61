//! Starts entry hosts on loopback addresses and checks that they find one another and the leader.

mod common;

use common::{Cell, wait_until};
use yare::parameterized;

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
    cell.stop_host(3);
    cell.damage_log(3);
    cell.start(3, true, false, &[1, 2, 3]).await;
    wait_until("the damaged host is ready", || cell.all_ready()).await;
    wait_until("three voters, all on running hosts", || cell.has_voters(3)).await;
    cell.stop();
}
