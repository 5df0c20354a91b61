//! Guards against a trial that misses a wrong outcome, and against one that reports a false
//! violation. Each case changes one thing in a correct history.

use std::time::Duration;

use serde_json::{Value, json};
use tarragon_cell::{AttemptEnd, JobState, JobView, TaskState, TaskView};
use tarragon_cli::trial::{
    ReportedJob, ReportedOutcomes, ReportedRequest, RequestHistory, TaskHistory, wrong_outcomes,
};
use tarragon_codes::{Code, Failure};
use tarragon_names::{Attempt, Class, JobId, Workload};
use yare::parameterized;

fn start(task: &str, attempt: u32, worker: &str, ms: u64, cpu_milli: u64) -> Value {
    json!({"event": "start", "task": task, "attempt": attempt, "worker": worker, "ms": ms,
           "reserved": {"cpu_milli": cpu_milli, "memory_mb": 10}})
}

fn end(task: &str, attempt: u32, worker: &str, ms: u64, end: &str) -> Value {
    json!({"event": "end", "task": task, "attempt": attempt, "worker": worker, "ms": ms, "end": end})
}

/// Job 1 has two tasks, one of which ran twice because its first worker was lost.
fn valid_tasks() -> Vec<Value> {
    let capacity = json!({"cpu_milli": 1000, "memory_mb": 100});
    vec![
        json!({"event": "worker", "worker": "a", "capacity": capacity}),
        json!({"event": "worker", "worker": "b", "capacity": capacity}),
        start("j1.0", 1, "a", 100, 600),
        start("j1.1", 1, "b", 100, 1_000),
        end("j1.0", 1, "a", 200, "stopped"),
        end("j1.1", 1, "b", 200, "exited 0"),
        start("j1.0", 2, "b", 200, 600),
        end("j1.0", 2, "b", 300, "exited 0"),
    ]
}

fn view(job: u64, state: JobState, success: Option<bool>) -> JobView {
    let task = |index| TaskView {
        index,
        attempt: Attempt(1),
        state: TaskState::Ended(AttemptEnd::Exited(0)),
    };
    JobView {
        job: JobId(job),
        name: "reel".into(),
        team: "reels".into(),
        class: Class::Urgent,
        kind: Workload::Batch,
        state,
        success,
        reason: None,
        tasks: vec![task(0), task(1)],
    }
}

fn reported(job: u64, state: JobState, success: Option<bool>) -> ReportedJob {
    ReportedJob {
        name: "reel".into(),
        key: "key".into(),
        submitted: 50,
        accepted: Ok(JobId(job)),
        last: Ok(view(job, state, success)),
    }
}

fn request(answer: Result<(u16, bool), Code>) -> ReportedRequest {
    ReportedRequest {
        id: "r1;".to_owned(),
        repeatable: false,
        answer: answer.map_err(Failure::of),
        took: Duration::ZERO,
    }
}

fn wrong(
    tasks: &[Value],
    jobs: Vec<ReportedJob>,
    requests: Vec<ReportedRequest>,
    ran: usize,
) -> Vec<String> {
    let lines: Vec<_> = tasks.iter().map(Value::to_string).collect();
    let tasks = TaskHistory::parse(&lines.join("\n")).unwrap();
    let record = json!({"request": "x", "path": "/", "body": "r1;....", "key": null, "at_ms": 1,
                        "after_leave_ms": null});
    let line = json!({"event": "request", "record": record}).to_string();
    let requests_log = RequestHistory::parse(&vec![line; ran].join("\n")).unwrap();
    wrong_outcomes(&ReportedOutcomes { jobs, requests }, &tasks, &requests_log)
}

#[test]
fn valid_history_has_no_wrong_outcome() {
    let jobs = vec![
        reported(1, JobState::Ran, Some(true)),
        reported(2, JobState::NotRun, Some(false)),
    ];
    let found = wrong(&valid_tasks(), jobs, vec![request(Ok((200, true)))], 1);
    assert_eq!(found, Vec::<String>::new());
}

/// Guards against a reservation that stays counted when a worker is killed in the millisecond in
/// which its task started.
#[test]
fn killed_worker_restarts_with_nothing_reserved() {
    let worker = valid_tasks()[0].clone();
    let tasks = [
        worker.clone(),
        start("j1.0", 1, "a", 100, 600),
        worker,
        start("j1.0", 2, "a", 300, 600),
        end("j1.0", 2, "a", 400, "exited 0"),
        start("j1.1", 1, "a", 400, 600),
        end("j1.1", 1, "a", 500, "exited 0"),
    ];
    let found = wrong(
        &tasks,
        vec![reported(1, JobState::Ran, Some(true))],
        Vec::new(),
        0,
    );
    assert_eq!(found, Vec::<String>::new());
}

#[parameterized(
    second_place = { 6, start("j1.0", 2, "b", 199, 300), "at once" },
    same_attempt = { 6, start("j1.0", 1, "b", 200, 600), "began again" },
    over_commitment = { 3, start("j1.1", 1, "b", 100, 1_001), "b held" },
    failed_task = { 7, end("j1.0", 2, "b", 300, "exited 1"), "not every task succeeded" },
    still_runs = { 7, start("j9.0", 1, "a", 300, 1), "a task runs" },
)]
fn wrong_run_is_found(line: usize, changed: Value, cause: &str) {
    let mut tasks = valid_tasks();
    tasks[line] = changed.clone();
    if changed["event"] == "start" && line == 6 {
        tasks[7]["attempt"] = changed["attempt"].clone();
    }
    let found = wrong(
        &tasks,
        vec![reported(1, JobState::Ran, Some(true))],
        Vec::new(),
        0,
    );
    assert!(found.iter().any(|text| text.contains(cause)), "{found:?}");
}

#[parameterized(
    reported_not_run = { reported(1, JobState::NotRun, Some(false)), "a task began" },
    reported_failed = { reported(1, JobState::Ran, Some(false)), "every task succeeded" },
    reported_ran = { reported(3, JobState::Ran, Some(true)), "no task began" },
    reported_stopped = { reported(3, JobState::Stopped, Some(false)), "no task began" },
    never_known = { reported(3, JobState::Unknown, None), "has not ended" },
    never_ended = { reported(3, JobState::Queued, None), "has not ended" },
    lost = {
        ReportedJob { last: Err(Code::NoSuchJob.into()), ..reported(3, JobState::Queued, None) },
        "is not known"
    },
    refused_but_ran = {
        ReportedJob { accepted: Err(Code::QueueFull.into()), ..reported(1, JobState::Ran, Some(true)) },
        "exists although it was refused"
    },
)]
fn contradicting_job_outcome_is_found(job: ReportedJob, cause: &str) {
    let found = wrong(&valid_tasks(), vec![job], Vec::new(), 0);
    assert!(found.iter().any(|text| text.contains(cause)), "{found:?}");
}

/// Only a lost worker may leave the outcome unknown, and its tasks must have stopped.
#[parameterized(
    lost_worker = { 3, None },
    lost_worker_runs_on = { 9, Some("a task runs") },
)]
fn unknown_outcome_is_right_only_after_a_lost_worker_stopped(job: u64, cause: Option<&str>) {
    let mut reported = reported(job, JobState::Unknown, None);
    if let Ok(view) = &mut reported.last {
        view.tasks[0].state = TaskState::Ended(AttemptEnd::LeaseEnded);
    }
    let mut tasks = valid_tasks();
    tasks.push(start("j9.0", 1, "a", 300, 1));
    let found = wrong(&tasks, vec![reported], Vec::new(), 0);
    assert_eq!(found.len(), usize::from(cause.is_some()), "{found:?}");
    assert!(
        cause.is_none_or(|cause| found[0].contains(cause)),
        "{found:?}"
    );
}

#[parameterized(
    ran_twice = { Ok((200, true)), 2, true },
    ran_twice_and_unknown = { Err(Code::OutcomeUnknown), 2, true },
    answer_of_another = { Ok((200, false)), 1, true },
    answered_without_a_run = { Ok((200, true)), 0, true },
    refused_but_ran = { Err(Code::NoSlot), 1, true },
    unknown_and_ran = { Err(Code::OutcomeUnknown), 1, false },
    unknown_and_did_not_run = { Err(Code::OutcomeUnknown), 0, false },
    refused_and_did_not_run = { Err(Code::NoSlot), 0, false },
)]
fn answer_that_contradicts_the_runs_is_found(
    answer: Result<(u16, bool), Code>,
    ran: usize,
    is_wrong: bool,
) {
    let found = wrong(&valid_tasks(), Vec::new(), vec![request(answer)], ran);
    assert_eq!(!found.is_empty(), is_wrong, "{found:?}");
}
