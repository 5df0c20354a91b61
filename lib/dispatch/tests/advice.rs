//! Workers named in requests for advice.

mod common;

use std::collections::BTreeSet;

use common::{HOST_CAPACITY, Harness, step, worker};
use tarragon_dispatch::Input;
use tarragon_names::{DomainName, HostName, Millis};
use tarragon_workflow::{AdviceTerms, StepSpec};
use yare::parameterized;

const SHORT: AdviceTerms = AdviceTerms {
    decide_us: 10_000,
    per_worker_us: 100,
    valid: Millis(1_500),
};

/// Terms with which a request names no more workers than the step needs.
const COSTLY: AdviceTerms = AdviceTerms {
    decide_us: 10_000,
    per_worker_us: 1_250,
    valid: Millis(1_500),
};

const LONG: AdviceTerms = AdviceTerms {
    decide_us: 400_000,
    per_worker_us: 5_000,
    valid: Millis(1_500),
};

/// A harness with this number of workers of 8 cores, and 40 hosts that relay requests.
fn harness(workers: usize, terms: AdviceTerms) -> Harness {
    let workers = (0..workers).map(|i| worker(&format!("w{i:04}"), 8));
    let mut harness = Harness::with_advice(&workers.collect::<Vec<_>>(), Some(terms));
    for host in 0..40 {
        harness.input(Input::HostSeen {
            host: HostName::from(format!("10.0.1.{host}:1")),
            domain: DomainName::from("zilina"),
            is_large: false,
            capacity: HOST_CAPACITY,
        });
    }
    harness
}

/// Replays many steps that ask at the same moment. Guards against requests that all name the workers
/// with the most free capacity: all but the first would find that capacity taken and ask again.
#[parameterized(
    two = { 2 },
    eight = { 8 },
)]
fn steps_that_ask_at_the_same_time_name_different_workers(steps: u64) {
    let mut harness = harness(200, COSTLY);
    for job in 0..steps {
        harness.submit(job, vec![step(4, 8)]);
    }
    let named = harness
        .advice_requests
        .iter()
        .flat_map(|call| &call.workers);
    let named = named.collect::<Vec<_>>();
    let different = named.iter().collect::<BTreeSet<_>>().len();
    assert_eq!(harness.advice_requests.len(), steps as usize);
    assert_eq!(different, named.len(), "a worker is named twice");
}

/// Guards against a gang that asks about too few workers because it counts on empty ones: with half
/// of each worker in use, twice as many are needed.
#[parameterized(
    empty_workers = { 0, 8 },
    half_used_workers = { 4, 16 },
)]
fn named_workers_have_room_for_the_whole_step(used_cores: u64, least: usize) {
    let mut harness = harness(64, LONG);
    if used_cores > 0 {
        harness.submit(
            1,
            vec![StepSpec {
                max_per_worker: Some(1),
                ..step(64, used_cores)
            }],
        );
        let names = (0..64).map(|i| format!("w{i:04}")).collect::<Vec<_>>();
        let names = names.iter().map(String::as_str).collect::<Vec<_>>();
        harness.answer_advice_requests(&names);
        assert_eq!(harness.starts.len(), 64);
    }
    harness.submit(
        2,
        vec![StepSpec {
            gang: true,
            ..step(16, 4)
        }],
    );
    let request = harness.advice_requests.last().expect("the gang asks");
    assert!(
        request.workers.len() >= least,
        "{} named",
        request.workers.len()
    );
}

/// Guards against capacity that stays asked for after the answer: a later step must be able to name
/// the same workers.
#[test]
fn answered_request_no_longer_claims_its_workers() {
    let mut harness = harness(4, SHORT);
    harness.submit(1, vec![step(4, 8)]);
    let first = harness.advice_requests[0].workers.len();
    harness.answer_advice_requests(&[]);
    harness.submit(2, vec![step(4, 8)]);
    assert_eq!(harness.advice_requests.last().unwrap().workers.len(), first);
}

/// Guards against a step that does not ask at all because others have asked about every worker: part
/// of them will not be approved for the others.
#[test]
fn step_asks_for_capacity_that_others_have_asked_for() {
    let mut harness = harness(40, SHORT);
    for job in 0..6 {
        harness.submit(job, vec![step(4, 8)]);
    }
    assert_eq!(harness.advice_requests.len(), 6);
    assert!(harness.advice_requests.iter().all(|r| r.workers.len() >= 4));
}
