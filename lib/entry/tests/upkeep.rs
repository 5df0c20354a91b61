//! Waves of upkeep beside changes of the leader and workers that start or end.

mod common;

use std::time::Duration;

use common::{Cell, MACHINE_DOWN_TIME, ReceivedOrder, wait_until};
use tarragon_entry::MachineOutcome;
use tarragon_names::{Millis, Name, Resources};
use tarragon_workflow::{StepSpec, WaveKey};
use tokio::time::sleep;

const WAVE: WaveKey = WaveKey(1);

/// Pause of the leader's process that is longer than the time to an election.
const LONG_PAUSE: Duration = Duration::from_secs(4);

/// Time in which a leader checks the open waves several times.
const SEVERAL_CHECKS: Duration = Duration::from_secs(3);

async fn wait_for_completion(cell: &Cell) {
    while !cell.is_wave_completed(4, WAVE).await {
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against more machines down than the cap allows: a leader that stood still in the middle of
/// a round goes on with its orders beside the next leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leader_that_stood_still_sends_no_further_order() {
    let mut cell = Cell::ready(31).await;
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
    let mut cell = Cell::ready(32).await;
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

/// Guards against an upkeep that ends the last task of a step: the task that the upkeep before has
/// ended still counted as available, since its worker had started shortly before the wave.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn upkeep_waits_for_the_task_that_the_upkeep_before_ended() {
    let mut cell = Cell::ready(33).await;
    cell.configure(4).await;
    cell.start_worker(4, "m-1", "w-1", "here").await;
    cell.start_worker(4, "m-2", "w-2", "here").await;
    let step = StepSpec {
        count: 2,
        resources: Resources::new(1_000, 1_000, 0),
        estimate: Millis(1_000),
        long_running: true,
        max_per_worker: Some(1),
        max_unavailable: Some(1),
        label: Some(Name::from("here")),
        ..StepSpec::default()
    };
    cell.submit(4, "00000000000000d1", step).await;
    wait_until("both tasks run", || cell.platform.workers.run_count() == 2).await;
    cell.start_wave(4, WAVE, &["m-1", "m-2"], 2).await;
    wait_until("the first order arrives", || {
        !cell.platform.orders().is_empty()
    })
    .await;
    sleep(SEVERAL_CHECKS).await;
    let orders = cell.platform.orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
    let down_time = Duration::from_millis(MACHINE_DOWN_TIME.0);
    assert!(SEVERAL_CHECKS > down_time, "the machine is up again");
    cell.start_worker(4, &orders[0].machine, "w-3", "here")
        .await;
    wait_for_completion(&cell).await;
    let runs = cell
        .platform
        .orders()
        .iter()
        .map(|order| order.runs)
        .collect::<Vec<_>>();
    assert_eq!(runs, [2, 2], "number of runs before each upkeep");
    cell.stop();
}

/// Guards against a worker that is taken for ended although it started after the upkeep: the order is
/// confirmed a second time while another incarnation runs under the worker's name.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeated_order_leaves_the_next_incarnation_of_the_worker_alone() {
    let mut cell = Cell::ready(34).await;
    cell.configure(4).await;
    cell.start_worker(4, "m-1", "w-1", "here").await;
    cell.platform.hold_answers();
    cell.start_wave(4, WAVE, &["m-1"], 1).await;
    wait_until("the order arrives", || !cell.platform.orders().is_empty()).await;
    cell.start_worker(4, "m-1", "w-1", "here").await;
    let step = StepSpec {
        count: 1,
        resources: Resources::new(1_000, 1_000, 0),
        long_running: true,
        label: Some(Name::from("here")),
        ..StepSpec::default()
    };
    cell.submit(4, "00000000000000d2", step).await;
    wait_until("the task runs", || cell.platform.workers.run_count() == 1).await;
    cell.platform.release_answers();
    wait_for_completion(&cell).await;
    sleep(SEVERAL_CHECKS).await;
    assert_eq!(cell.platform.workers.start_count(), 1);
    cell.stop();
}

/// Guards against a wave that is reported as completed although a machine had no upkeep: the platform's
/// list had an entry that could not be read, so the machine was taken for removed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn wave_waits_for_a_machine_whose_entry_cannot_be_read() {
    let mut cell = Cell::ready(35).await;
    cell.platform.add_machine("m-1", None);
    cell.platform.set_readable("m-1", false);
    cell.start_wave(4, WAVE, &["m-1"], 1).await;
    sleep(SEVERAL_CHECKS).await;
    assert!(!cell.is_wave_completed(4, WAVE).await);
    cell.platform.set_readable("m-1", true);
    wait_for_completion(&cell).await;
    assert!(cell.platform.orders().iter().any(|order| order.has_begun));
    cell.stop();
}
