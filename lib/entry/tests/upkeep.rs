//! Waves of upkeep beside changes of the leader and workers that start or end.

mod common;

use std::time::Duration;

use common::{Cell, ReceivedOrder, wait_until};
use tarragon_entry::MachineOutcome;
use tarragon_workflow::WaveKey;
use tokio::time::sleep;

const WAVE: WaveKey = WaveKey(1);

/// Pause of the leader's process that is longer than the time to an election.
const LONG_PAUSE: Duration = Duration::from_secs(4);

/// Starts the hosts 1 to 3 with disks and 4 without, and waits until all know the leader.
async fn ready_cell(number: u8) -> Cell {
    let mut cell = Cell::new(number);
    for host in 1..=4 {
        cell.start(host, host <= 3, true, &[1, 2, 3]).await;
    }
    wait_until("all hosts find the leader", || {
        cell.all_ready() && cell.leader().is_some()
    })
    .await;
    cell
}

async fn wait_for_completion(cell: &Cell) {
    while !cell.is_wave_completed(4, WAVE).await {
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against more machines down than the cap allows: a leader that stood still in the middle of
/// a round goes on with its orders beside the next leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leader_that_stood_still_sends_no_further_order() {
    let mut cell = ready_cell(31).await;
    let machines = ["m-1", "m-2", "m-3", "m-4"];
    for machine in machines {
        cell.platform.add_machine(machine, None);
    }
    let leader = cell.leader().expect("a host leads");
    cell.platform.hold_answers();
    cell.start_wave(4, WAVE, &machines, 2).await;
    wait_until("the first order arrives", || {
        !cell.platform.orders().is_empty()
    })
    .await;
    cell.clock(leader).jump(LONG_PAUSE);
    wait_until("the lease lapses", || cell.leader() != Some(leader)).await;
    let first = cell.platform.orders().remove(0);
    cell.platform.release_answers();
    wait_for_completion(&cell).await;
    let orders = cell.platform.orders();
    let others = orders.iter().filter(|order| order.machine != first.machine);
    let mut others = others.inspect(|order| assert!(order.others_down < 2, "{orders:?}"));
    assert!(others.all(|order| order.fence > first.fence), "{orders:?}");
    cell.stop();
}

/// Guards against a machine beyond the cap while an order of an earlier leader has no answer: the
/// next leader knows of the order only from the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn next_leader_repeats_an_order_before_it_sends_another() {
    let mut cell = ready_cell(32).await;
    for machine in ["m-1", "m-2"] {
        cell.platform.add_machine(machine, None);
    }
    let leader = cell.leader().expect("a host leads");
    cell.platform.hold_answers();
    cell.start_wave(4, WAVE, &["m-1", "m-2"], 1).await;
    wait_until("the first order arrives", || {
        !cell.platform.orders().is_empty()
    })
    .await;
    cell.stop_host(leader);
    cell.platform.release_answers();
    wait_for_completion(&cell).await;
    let orders = cell.platform.orders();
    assert!(
        orders
            .iter()
            .all(|order| order.outcome == MachineOutcome::Done)
    );
    let (first, last) = (&orders[0], &orders[orders.len() - 1]);
    let repeated = &orders[1..orders.len() - 1];
    assert_ne!(first.machine, last.machine);
    assert!(repeated.iter().all(|order| order.machine == first.machine));
    let is_fenced = |order: &ReceivedOrder| order.fence > first.fence;
    assert!(repeated.iter().any(is_fenced), "{orders:?}");
    cell.stop();
}
