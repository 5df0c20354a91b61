//! The calls of the HTTP interface, one file for each group.

mod catalogue;
mod jobs;
mod nodes;
mod platform;
mod requests;
mod teams;

use serde_json::json;
use tarragon_cell::{Answer, Command, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};

use crate::{FrontConfig, HostApi, reply::Reply, request::Request, route::Route};

/// Maximum size of a name sent by a caller or an executor.
const MAX_NAME_BYTES: usize = 256;

/// Executes a call.
pub(crate) async fn answer(
    route: Route,
    req: Request,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    match route {
        Route::SubmitJob => jobs::submit(&req, host_api, cfg).await,
        Route::Job(id) => jobs::read(id, host_api).await,
        Route::JobByKey(key) => jobs::read_by_key(key, host_api).await,
        Route::Jobs { team, state, limit } => jobs::list(team, state, limit, host_api).await,
        Route::ExplainJob(id) => jobs::explain(id, host_api).await,
        Route::CancelJob(id) => jobs::cancel(id, host_api, cfg).await,
        Route::Request(name) => requests::run(name, &req, host_api).await,
        Route::Entries => catalogue::list(host_api).await,
        Route::Entry(pattern) => catalogue::read(pattern, host_api).await,
        Route::PutEntry(pattern) => catalogue::put(pattern, &req, host_api, cfg).await,
        Route::DeleteEntry(pattern) => catalogue::delete(pattern, &req, host_api, cfg).await,
        Route::History(pattern) => catalogue::history(pattern, host_api).await,
        Route::InForce(revision) => catalogue::in_force(revision, host_api).await,
        Route::Quota(team) => teams::read_quota(team, host_api).await,
        Route::PutQuota(team) => teams::put_quota(team, &req, host_api, cfg).await,
        Route::Workers => nodes::workers(host_api).await,
        Route::DrainWorker(name, draining) => {
            nodes::drain_worker(name, draining, host_api, cfg).await
        }
        Route::Executors => nodes::executors(host_api).await,
        Route::DrainExecutor(name, draining) => {
            nodes::drain_executor(name, draining, host_api).await
        }
        Route::Announce => nodes::announce(&req, host_api),
        Route::Hosts => nodes::hosts(host_api).await,
        Route::ReplaceMember => nodes::replace_member(&req, host_api).await,
        Route::Metrics => Ok(platform::metrics(cfg)),
        Route::Live => Ok(platform::live()),
        Route::Ready => platform::ready(host_api),
        Route::LogLevel => platform::log_level(&req, cfg),
    }
}

/// Writes a command; `Answer::Failed` is returned as an error.
async fn write(command: Command, host_api: &dyn HostApi, cfg: &FrontConfig) -> Outcome<Answer> {
    match host_api.propose(command, cfg.propose_timeout()).await? {
        Answer::Failed(failure) => Err(failure),
        answer => Ok(answer),
    }
}

/// The answer to a failed write.
///
/// For a write that was not confirmed in time, the answer has the state `unknown` and the fields by
/// which the caller can look up the outcome.
fn write_failure(failure: Failure, lookup_fields: &serde_json::Value) -> Reply {
    if failure.code != Code::NotConfirmed {
        return failure.into();
    }
    let mut fields = json!({"state": "unknown"});
    if let (Some(fields), Some(more)) = (fields.as_object_mut(), lookup_fields.as_object()) {
        fields.extend(more.clone());
    }
    Reply::failure_with_fields(&failure, &fields)
}

fn unexpected_answer(answer: &Answer) -> Failure {
    Failure::new(Code::Internal, format!("unexpected answer {answer:.80?}"))
}

fn unexpected_query_answer(answer: QueryAnswer) -> Failure {
    match answer {
        QueryAnswer::Failed(failure) => failure,
        _ => Failure::new(Code::Internal, "unexpected answer to a read"),
    }
}
