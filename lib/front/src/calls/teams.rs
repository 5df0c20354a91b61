//! Quotas of teams.

use serde_json::json;
use tarragon_cell::{Command, Query, QueryAnswer, Quota};
use tarragon_codes::Outcome;
use tarragon_names::TeamName;

use super::{catalogue::write_revision, unexpected_query_answer};
use crate::{FrontConfig, HostApi, reply::Reply, request::Request};

pub(super) async fn read_quota(team: TeamName, host_api: &dyn HostApi) -> Outcome<Reply> {
    match host_api.query(Query::Quota(team.clone())).await? {
        QueryAnswer::Quota(quota, revision) => Ok(Reply::ok(
            &json!({"team": team, "revision": revision, "quota": quota}),
        )),
        other => Err(unexpected_query_answer(other)),
    }
}

pub(super) async fn put_quota(
    team: TeamName,
    req: &Request,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    let command = Command::PutQuota {
        request_id: req.request_id()?.into(),
        expected: req.expected_revision()?,
        team,
        quota: req.json::<Quota>()?,
    };
    write_revision(command, host_api, cfg).await
}
