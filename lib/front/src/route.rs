use hyper::Method;
use tarragon_catalogue::Pattern;
use tarragon_cell::JobState;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{
    ExecutorName, IdempotencyKey, JobId, JobName, Revision, TeamName, WorkerName,
};

use crate::{access::Access, percent, query_params::QueryParams};

/// Maximum number of jobs in a list.
const MAX_LISTED_JOBS: u32 = 1_000;

/// Number of jobs in a list if the query sets no limit.
const DEFAULT_LISTED_JOBS: u32 = 100;

/// A call of the HTTP interface with the arguments from its path and query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Route {
    SubmitJob,
    Job(JobId),
    JobByKey(IdempotencyKey),
    Jobs {
        team: Option<TeamName>,
        state: Option<JobState>,
        limit: u32,
    },
    ExplainJob(JobId),
    CancelJob(JobId),
    Request(JobName),
    Entries,
    Entry(Pattern),
    PutEntry(Pattern),
    DeleteEntry(Pattern),
    History(Pattern),
    InForce(Revision),
    Quota(TeamName),
    PutQuota(TeamName),
    Workers,
    DrainWorker(WorkerName, bool),
    Executors,
    DrainExecutor(ExecutorName, bool),
    Announce,
    Hosts,
    ReplaceMember,
    Metrics,
    Live,
    Ready,
    LogLevel,
}

impl Route {
    /// Determines the call from method, path and query of a request.
    pub(crate) fn parse(method: &Method, path: &str, query: &str) -> Outcome<Self> {
        let params = QueryParams::parse(query)?;
        let segments = path
            .strip_prefix('/')
            .unwrap_or(path)
            .split('/')
            .collect::<Vec<_>>();
        let get = method == Method::GET;
        let put = method == Method::PUT;
        let post = method == Method::POST;
        let delete = method == Method::DELETE;
        let route = match segments.as_slice() {
            ["v1", "jobs"] if post => Self::SubmitJob,
            ["v1", "jobs"] if get => Self::parse_job_list(&params)?,
            ["v1", "jobs", id] if get => Self::Job(parse_job_id(id)?),
            ["v1", "jobs", id] if delete => Self::CancelJob(parse_job_id(id)?),
            ["v1", "jobs", id, "explain"] if get => Self::ExplainJob(parse_job_id(id)?),
            ["v1", "requests", name @ ..] if post && !name.is_empty() => {
                Self::Request(decode_name(&name.join("/"))?.as_str().into())
            }
            ["v1", "catalogue"] if get => Self::Entries,
            ["v1", "catalogue", "in-force"] if get => {
                Self::InForce(Revision(params.number("revision")?.ok_or_else(|| {
                    Failure::new(Code::Malformed, "the query lacks revision=<number>")
                })?))
            }
            ["v1", "catalogue", pattern, "history"] if get => {
                Self::History(decode_name(pattern)?.into())
            }
            ["v1", "catalogue", pattern] if get => Self::Entry(decode_name(pattern)?.into()),
            ["v1", "catalogue", pattern] if put => Self::PutEntry(decode_name(pattern)?.into()),
            ["v1", "catalogue", pattern] if delete => {
                Self::DeleteEntry(decode_name(pattern)?.into())
            }
            ["v1", "teams", team] if get => Self::Quota(decode_name(team)?.as_str().into()),
            ["v1", "teams", team] if put => Self::PutQuota(decode_name(team)?.as_str().into()),
            ["v1", "workers"] if get => Self::Workers,
            ["v1", "workers", name, "drain"] if post => {
                Self::DrainWorker(decode_name(name)?.as_str().into(), true)
            }
            ["v1", "workers", name, "take-back"] if post => {
                Self::DrainWorker(decode_name(name)?.as_str().into(), false)
            }
            ["v1", "executors"] if get => Self::Executors,
            ["v1", "executors"] if post => Self::Announce,
            ["v1", "executors", name, "drain"] if post => {
                Self::DrainExecutor(decode_name(name)?.as_str().into(), true)
            }
            ["v1", "executors", name, "take-back"] if post => {
                Self::DrainExecutor(decode_name(name)?.as_str().into(), false)
            }
            ["v1", "hosts"] if get => Self::Hosts,
            ["v1", "members"] if post => Self::ReplaceMember,
            ["v1", "log-level"] if put => Self::LogLevel,
            ["metrics"] if get => Self::Metrics,
            ["live"] if get => Self::Live,
            ["ready"] if get => Self::Ready,
            _ => {
                return Err(Failure::new(
                    Code::NoSuchCall,
                    format!("there is no call {method} {path}"),
                ));
            }
        };
        Ok(route)
    }

    /// Access that the call needs.
    pub(crate) fn access(&self) -> Access {
        match self {
            Self::SubmitJob
            | Self::Job(_)
            | Self::JobByKey(_)
            | Self::ExplainJob(_)
            | Self::CancelJob(_)
            | Self::Request(_)
            | Self::Metrics
            | Self::Live
            | Self::Ready => Access::Anyone,
            Self::Announce => Access::Executor,
            Self::Jobs { .. }
            | Self::Entries
            | Self::Entry(_)
            | Self::PutEntry(_)
            | Self::DeleteEntry(_)
            | Self::History(_)
            | Self::InForce(_)
            | Self::Quota(_)
            | Self::PutQuota(_)
            | Self::Workers
            | Self::DrainWorker(..)
            | Self::Executors
            | Self::DrainExecutor(..)
            | Self::Hosts
            | Self::ReplaceMember
            | Self::LogLevel => Access::Operator,
        }
    }

    fn parse_job_list(params: &QueryParams) -> Outcome<Self> {
        if let Some(key) = params.get("key") {
            return Ok(Self::JobByKey(decode_name(key)?.as_str().into()));
        }
        let state = params
            .get("state")
            .map(|text| {
                serde_json::from_value(text.into())
                    .map_err(|e| Failure::new(Code::Malformed, format!("state: {e}")))
            })
            .transpose()?;
        let limit = params
            .number("limit")?
            .unwrap_or(u64::from(DEFAULT_LISTED_JOBS));
        Ok(Self::Jobs {
            team: params.get("team").map(Into::into),
            state,
            limit: limit.clamp(1, u64::from(MAX_LISTED_JOBS)) as u32,
        })
    }
}

fn parse_job_id(text: &str) -> Outcome<JobId> {
    text.parse()
        .map_err(|e| Failure::new(Code::Malformed, format!("job id {text:.40}: {e}")))
}

/// Decodes a name, which must not be empty.
fn decode_name(text: &str) -> Outcome<String> {
    let name = percent::decode(text)?;
    if name.is_empty() {
        return Err(Failure::new(
            Code::Malformed,
            "name in path or query: must not be empty",
        ));
    }
    Ok(name)
}
