//! Submitting, reading and cancelling jobs.

use hyper::StatusCode;
use serde_json::json;
use tarragon_cell::{Answer, Command, JobSpec, JobState, Query, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{IdempotencyKey, JobId, TeamName, Workload};

use super::{MAX_NAME_BYTES, unexpected_answer, unexpected_query_answer, write, write_failure};
use crate::{FrontConfig, HostApi, reply::Reply, request::Request};

pub(super) async fn submit(
    req: &Request,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    let spec = req.json::<JobSpec>()?;
    validate(&spec)?;
    let key = req.idempotency_key()?;
    let command = Command::AcceptJob {
        key: key.clone(),
        spec,
    };
    match write(command, host_api, cfg).await {
        Ok(Answer::Accepted(job)) => Ok(Reply::json(
            StatusCode::ACCEPTED,
            &json!({"job": job.to_string(), "state": JobState::Queued}),
        )),
        Ok(other) => Err(unexpected_answer(&other)),
        Err(failure) => Ok(write_failure(failure, &json!({"key": key}))),
    }
}

pub(super) async fn read(id: JobId, host_api: &dyn HostApi) -> Outcome<Reply> {
    read_view(Query::Job(id), host_api).await
}

pub(super) async fn read_by_key(key: IdempotencyKey, host_api: &dyn HostApi) -> Outcome<Reply> {
    read_view(Query::JobByKey(key), host_api).await
}

pub(super) async fn list(
    team: Option<TeamName>,
    state: Option<JobState>,
    limit: u32,
    host_api: &dyn HostApi,
) -> Outcome<Reply> {
    match host_api.query(Query::Jobs { team, state, limit }).await? {
        QueryAnswer::Jobs(jobs) => Ok(Reply::ok(&jobs)),
        other => Err(unexpected_query_answer(other)),
    }
}

pub(super) async fn explain(id: JobId, host_api: &dyn HostApi) -> Outcome<Reply> {
    host_api
        .explain(id)
        .await
        .map(|explanation| Reply::ok(&explanation))
}

pub(super) async fn cancel(
    job: JobId,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    if let Err(failure) = write(Command::Cancel { job }, host_api, cfg).await {
        return Ok(write_failure(failure, &json!({"job": job.to_string()})));
    }
    // The command only prevents further starts, so the resulting state has to be read.
    match host_api.query(Query::Job(job)).await {
        Ok(QueryAnswer::Job(view)) => Ok(Reply::json(StatusCode::ACCEPTED, &view)),
        _ => Ok(Reply::json(
            StatusCode::ACCEPTED,
            &json!({"job": job, "state": JobState::Unknown}),
        )),
    }
}

async fn read_view(query: Query, host_api: &dyn HostApi) -> Outcome<Reply> {
    match host_api.query(query).await? {
        QueryAnswer::Job(view) => Ok(Reply::ok(&view)),
        other => Err(unexpected_query_answer(other)),
    }
}

/// Refuses a job that no catalogue entry could allow, before it reaches the replicated log.
fn validate(spec: &JobSpec) -> Outcome<()> {
    let cause = if spec.name.as_str().is_empty() {
        "name: must not be empty"
    } else if spec.name.as_str().len() > MAX_NAME_BYTES {
        "name: at most 256 bytes"
    } else if spec.name.as_str().chars().any(char::is_control) {
        "name: must not contain control characters"
    } else if spec.tasks == 0 {
        "tasks: must be above 0"
    } else if spec.kind == Workload::Request {
        "kind: must be batch, service or all_or_nothing"
    } else if spec.deadline_ms == Some(0) {
        "deadline_ms: must be above 0"
    } else {
        return Ok(());
    };
    Err(Failure::new(Code::Malformed, cause))
}
