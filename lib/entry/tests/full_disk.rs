//! Hosts whose disks are full when they start.

mod common;

use common::{Cell, wait_until};
use yare::parameterized;

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
