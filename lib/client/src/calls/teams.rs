use hyper::{Method, header::IF_MATCH};
use tarragon_cell::Quota;
use tarragon_codes::Outcome;
use tarragon_front::percent::encode;
use tarragon_names::{Revision, TeamName};

use super::catalogue::{REQUEST_ID, WriteReply};
use crate::{Client, QuotaView, call::Call};

impl Client {
    /// Reads the quota of a team.
    pub async fn quota(&self, team: &TeamName) -> Outcome<QuotaView> {
        self.json(Call::get(format!("/v1/teams/{}", encode(team))))
            .await
    }

    /// Sets the quota of a team if its revision is `expected`, 0 for a new quota; returns the new
    /// revision. A repeat with the same `request_id` has no second effect.
    pub async fn put_quota(
        &self,
        team: &TeamName,
        quota: &Quota,
        expected: Revision,
        request_id: &str,
    ) -> Outcome<Revision> {
        let call = Call::new(Method::PUT, format!("/v1/teams/{}", encode(team)))
            .header(IF_MATCH, &expected)
            .header(REQUEST_ID, request_id)
            .json(quota)?;
        self.json::<WriteReply>(call)
            .await
            .map(|done| done.revision)
    }
}
