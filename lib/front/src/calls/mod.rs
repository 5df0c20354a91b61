//! The calls of the HTTP interface, one file a group.

mod catalogue;
mod jobs;
mod nodes;
mod platform;
mod requests;
mod teams;

use serde_json::json;
use tarragon_cell::{Answer, Command, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};

use crate::{Backend, FrontConfig, reply::Reply, request::Request, route::Route};

/// Most bytes of a name that a caller or an executor may introduce.
const NAME_BYTES: usize = 256;

/// Carries out a call.
pub(crate) async fn answer(
    route: Route,
    req: Request,
    backend: &dyn Backend,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    match route {
        Route::SubmitJob => jobs::submit(&req, backend, cfg).await,
        Route::Job(id) => jobs::one(id, backend).await,
        Route::JobByKey(key) => jobs::by_key(key, backend).await,
        Route::Jobs { team, state, limit } => jobs::list(team, state, limit, backend).await,
        Route::ExplainJob(id) => jobs::explain(id, backend).await,
        Route::CancelJob(id) => jobs::cancel(id, backend, cfg).await,
        Route::Request(name) => requests::serve(name, &req, backend).await,
        Route::Entries => catalogue::list(backend).await,
        Route::Entry(pattern) => catalogue::one(pattern, backend).await,
        Route::PutEntry(pattern) => catalogue::put(pattern, &req, backend, cfg).await,
        Route::DeleteEntry(pattern) => catalogue::delete(pattern, &req, backend, cfg).await,
        Route::History(pattern) => catalogue::history(pattern, backend).await,
        Route::InForce(revision) => catalogue::in_force(revision, backend).await,
        Route::Quota(team) => teams::quota(team, backend).await,
        Route::PutQuota(team) => teams::put(team, &req, backend, cfg).await,
        Route::Workers => nodes::workers(backend).await,
        Route::DrainWorker(name, draining) => {
            nodes::drain_worker(name, draining, backend, cfg).await
        }
        Route::Executors => nodes::executors(backend).await,
        Route::DrainExecutor(name, draining) => {
            nodes::drain_executor(name, draining, backend).await
        }
        Route::Announce => nodes::announce(&req, backend),
        Route::Hosts => nodes::hosts(backend).await,
        Route::ReplaceMember => nodes::replace_member(&req, backend).await,
        Route::Metrics => Ok(platform::metrics(cfg)),
        Route::Live => Ok(platform::live()),
        Route::Ready => platform::ready(backend),
        Route::LogLevel => platform::log_level(&req, cfg),
    }
}

/// Writes a command; an answer that only reports a failure becomes that failure.
async fn write(command: Command, backend: &dyn Backend, cfg: &FrontConfig) -> Outcome<Answer> {
    match backend.propose(command, cfg.propose_timeout()).await? {
        Answer::Failed(failure) => Err(failure),
        answer => Ok(answer),
    }
}

/// The answer to a failed write; one that isn't confirmed has the state `unknown`.
fn unconfirmed(failure: Failure, ask_again: &serde_json::Value) -> Reply {
    if failure.code != Code::NotConfirmed {
        return failure.into();
    }
    let mut fields = json!({"state": "unknown"});
    if let (Some(fields), Some(more)) = (fields.as_object_mut(), ask_again.as_object()) {
        fields.extend(more.clone());
    }
    Reply::failure_with(&failure, &fields)
}

fn unexpected_answer(answer: &Answer) -> Failure {
    Failure::new(Code::Internal, format!("unexpected answer {answer:.80?}"))
}

fn unexpected_read(answer: QueryAnswer) -> Failure {
    match answer {
        QueryAnswer::Failed(failure) => failure,
        _ => Failure::new(Code::Internal, "unexpected answer to a read"),
    }
}
