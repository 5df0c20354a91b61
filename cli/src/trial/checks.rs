//! Compares the outcomes reported to callers with the runs recorded by workers and executors.

use std::collections::HashMap;

use tarragon_cell::{JobState, JobView};
use tarragon_codes::Code;
use tarragon_names::Resources;

use super::{
    ReportedJob, ReportedOutcomes, ReportedRequest, RequestHistory, TaskHistory, TaskRun,
    load::has_ended,
};

/// Describes each wrong outcome in one line.
pub fn wrong_outcomes(
    reported: &ReportedOutcomes,
    tasks: &TaskHistory,
    requests: &RequestHistory,
) -> Vec<String> {
    let mut wrong = double_runs(tasks);
    wrong.extend(over_commitments(tasks));
    wrong.extend(reported.jobs.iter().flat_map(|job| wrong_job(job, tasks)));
    let answers = reported.requests.iter();
    wrong.extend(answers.filter_map(|request| wrong_answer(request, requests.count(&request.id))));
    if requests.violations > 0 {
        wrong.push(format!(
            "executors were overrun {} times",
            requests.violations
        ));
    }
    wrong
}

/// Checks that no task runs on two workers at once and that no attempt runs twice.
fn double_runs(tasks: &TaskHistory) -> Vec<String> {
    let mut wrong = Vec::new();
    for (task, runs) in &tasks.runs {
        for pair in runs.windows(2) {
            let [first, second] = pair else { continue };
            let overlaps = first
                .ended
                .as_ref()
                .is_none_or(|(end, _)| *end > second.began);
            if overlaps {
                wrong.push(format!(
                    "{task} ran on {} and {} at once",
                    first.worker, second.worker
                ));
            }
            if first.attempt >= second.attempt {
                wrong.push(format!("{task} attempt {} began again", second.attempt));
            }
        }
    }
    wrong
}

/// Checks that the reservations on a worker never exceed its capacity.
fn over_commitments(tasks: &TaskHistory) -> Vec<String> {
    let mut held: HashMap<&str, Resources> = HashMap::new();
    let mut wrong = Vec::new();
    for (at, worker, reserved, starts) in tasks.changes() {
        let held = held.entry(worker).or_default();
        if !starts {
            *held = held.checked_sub(&reserved).unwrap_or_default();
            continue;
        }
        *held += reserved;
        let capacity = tasks.capacity.get(worker).copied().unwrap_or_default();
        if !held.fits(&capacity) {
            wrong.push(format!("{worker} held {held} of {capacity} at {at}"));
        }
    }
    wrong
}

fn wrong_job(job: &ReportedJob, tasks: &TaskHistory) -> Vec<String> {
    match (&job.accepted, &job.last) {
        (_, Ok(view)) => {
            let id = view.job.to_string();
            let runs: Vec<_> = tasks.of_job(&id).map(|(_, runs)| runs).collect();
            let causes = contradictions(view, has_ended(job), &runs);
            let mut wrong: Vec<_> = causes
                .into_iter()
                .map(|cause| {
                    format!(
                        "{id} ({}) is reported as {}, but {cause}",
                        job.name, view.state
                    )
                })
                .collect();
            if !has_ended(job) {
                wrong.push(format!("{id} ({}) has not ended: {}", job.name, view.state));
            }
            if let Err(refusal) = &job.accepted
                && !leaves_outcome_unknown(refusal.code)
            {
                wrong.push(format!("{id} exists although it was refused: {refusal}"));
            }
            wrong
        }
        (Ok(id), Err(failure)) => vec![format!("{id} was accepted and is not known: {failure}")],
        (Err(_), Err(failure)) if failure.code == Code::NoSuchJob => Vec::new(),
        (Err(_), Err(failure)) => vec![format!("{}: no answer: {failure}", job.key)],
    }
}

/// Describes how the recorded runs of a job's tasks contradict its reported state.
fn contradictions(view: &JobView, ended: bool, runs: &[&Vec<TaskRun>]) -> Vec<&'static str> {
    let began = runs.iter().any(|runs| !runs.is_empty());
    let runs_now = runs
        .iter()
        .any(|runs| runs.iter().any(|run| run.ended.is_none()));
    let last_ends = runs.iter().filter_map(|runs| runs.last()?.ended.as_ref());
    let ends: Vec<_> = last_ends.map(|(_, end)| end.as_str()).collect();
    let succeeded = ends.len() == view.tasks.len() && ends.iter().all(|end| *end == "exited 0");
    let mut causes = Vec::new();
    let mut add = |holds: bool, cause| causes.extend(holds.then_some(cause));
    match view.state {
        JobState::NotRun => add(began, "a task began"),
        JobState::Ran => {
            add(!began, "no task began");
            add(runs_now, "a task runs");
            add(
                view.success == Some(true) && !succeeded,
                "not every task succeeded",
            );
            add(
                view.success == Some(false) && succeeded,
                "every task succeeded",
            );
        }
        JobState::Stopped => {
            add(!began, "no task began");
            add(runs_now, "a task runs");
        }
        JobState::Queued => add(runs_now, "a task runs"),
        JobState::Unknown => add(ended && runs_now, "a task runs"),
        JobState::Running | JobState::Cancelling => {}
    }
    causes
}

fn wrong_answer(request: &ReportedRequest, ran: u32) -> Option<String> {
    let id = &request.id;
    if !request.repeatable && ran > 1 {
        return Some(format!("{id} may not be repeated and ran {ran} times"));
    }
    match &request.answer {
        Ok((200, false)) => Some(format!("{id} got an answer that is not its own")),
        Ok((200, true)) if ran == 0 => Some(format!("{id} was answered and did not run")),
        Err(refusal) if ran > 0 && !leaves_outcome_unknown(refusal.code) => {
            Some(format!("{id} ran although it was refused: {refusal}"))
        }
        _ => None,
    }
}

/// Returns whether a failure leaves the outcome unknown.
fn leaves_outcome_unknown(code: Code) -> bool {
    matches!(
        code,
        Code::OutcomeUnknown
            | Code::InProgress
            | Code::CutShort
            | Code::NotConfirmed
            | Code::HostUnreachable
            | Code::Internal
    )
}
