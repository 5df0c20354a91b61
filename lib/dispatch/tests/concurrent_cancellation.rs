//! Jobs that are cancelled by the thread that applies the log while the dispatcher plans them.

mod common;

use std::{sync::Arc, thread};

use common::{Harness, step, worker};
use tarragon_names::Name;
use tarragon_workflow::{Command, JobKey, JobSpec, StepSpec};
use yare::parameterized;

/// Number of jobs that are cancelled, each while it is planned.
const JOBS: u64 = 400;

/// Number of steps of each job. The dispatcher reads them one after the other.
const STEPS: usize = 100;

fn spec(steps: Vec<StepSpec>, repeat_count: u32) -> JobSpec {
    JobSpec {
        payload: Name::from("work"),
        steps,
        repeat_count,
        ..JobSpec::default()
    }
}

/// Guards against a leader that ends because a job which it plans loses its description meanwhile.
#[parameterized(
    many_steps = { spec(vec![step(1, 4); STEPS], 0) },
    many_occurrences = { spec(vec![step(1, 4)], 100) },
)]
fn cancelled_job_does_not_end_the_dispatcher(spec: JobSpec) {
    let mut harness = Harness::new(&[worker("w1", 8)]);
    for job in 1..=JOBS {
        let (job, queue) = (JobKey(job), Name::from(common::QUEUE));
        let submission = Command::Submit {
            job,
            queue,
            spec: spec.clone(),
        };
        let now_ms = harness.unix_ms();
        harness.workflow_state.apply(now_ms, &submission);
        let state = Arc::clone(&harness.workflow_state);
        let canceller = thread::spawn(move || {
            // The time until the cancellation differs from job to job.
            for _ in 0..job.0 * 4 {
                state.with_job(job, |job| job.phase);
            }
            state.apply(now_ms, &Command::Cancel { job })
        });
        harness.commit(submission);
        let answer = canceller.join().expect("the job is cancelled");
        harness.input(tarragon_dispatch::Input::Applied(
            Command::Cancel { job },
            answer,
        ));
    }
}
