//! The term of a leader in its orders and answers after its lease lapsed for a while.

mod common;

use std::time::Duration;

use common::{Cell, wait_until};
use tarragon_names::Millis;
use tarragon_workflow::WaveKey;
use tokio::time::sleep;

/// Recovery time of the cell, from which its other times are derived: a leader's lease lasts 160 ms,
/// and a leader is replaced after 200 ms.
const RECOVERY_TIME: Millis = Millis(800);

/// Pause that lets the lease lapse but does not cost the leadership.
const PAUSE: Duration = Duration::from_millis(170);

/// Number of pauses, so that some of them fall together with announcements of the hosts.
const PAUSES: usize = 80;

/// Time between two pauses.
const PAUSE_INTERVAL: Duration = Duration::from_millis(50);

/// Guards against orders with the fencing token 0, which two leaders would share: the leader took
/// its term from a hint that it forgets while its lease has lapsed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leader_orders_with_its_term_after_its_lease_lapsed() {
    let mut cell = Cell::new(30);
    cell.recovery_time = RECOVERY_TIME;
    for host in 1..=4 {
        cell.start(host, host <= 3, true, &[1, 2, 3]).await;
    }
    cell.platform.add_machine("m-1", None);
    wait_until("all hosts find the leader", || cell.all_ready()).await;
    let leader = cell.leader().expect("a host leads");
    for _ in 0..PAUSES {
        cell.clock(leader).jump(PAUSE);
        sleep(PAUSE_INTERVAL).await;
    }
    wait_until("all hosts find the leader again", || {
        cell.all_ready() && cell.leader().is_some()
    })
    .await;

    cell.start_wave(4, WaveKey(1), &["m-1"], 1).await;
    wait_until("the upkeep is ordered", || {
        !cell.platform.orders().is_empty()
    })
    .await;
    let orders = cell.platform.orders();
    assert!(orders.iter().all(|order| order.fence > 0), "{orders:?}");
    cell.stop();
}
