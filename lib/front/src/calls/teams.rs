//! Quotas of teams.

use serde_json::json;
use tarragon_cell::{Command, Query, QueryAnswer, Quota};
use tarragon_codes::Outcome;
use tarragon_names::TeamName;

use super::{catalogue::written, unexpected_read};
use crate::{FrontConfig, HostApi, reply::Reply, request::Request};

pub(super) async fn quota(team: TeamName, host_api: &dyn HostApi) -> Outcome<Reply> {
    match host_api.query(Query::Quota(team.clone())).await? {
        QueryAnswer::Quota(quota, revision) => Ok(Reply::ok(
            &json!({"team": team, "revision": revision, "quota": quota}),
        )),
        other => Err(unexpected_read(other)),
    }
}

pub(super) async fn put(
    team: TeamName,
    req: &Request,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    let command = Command::PutQuota {
        request_id: req.write_id()?.into(),
        expected: req.expected()?,
        team,
        quota: req.json::<Quota>()?,
    };
    written(command, host_api, cfg).await
}
