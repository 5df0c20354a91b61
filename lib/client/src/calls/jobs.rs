use hyper::{Method, header::HeaderName};
use tarragon_cell::{JobSpec, JobState, JobView};
use tarragon_codes::{Code, Outcome};
use tarragon_front::percent::encode;
use tarragon_names::{IdempotencyKey, JobId, TeamName};
use tarragon_scheduler::Explanation;

use crate::{Client, Submitted, call::Call};

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

impl Client {
    /// Submits a job. Without a key, a submission that may have arrived at one host is not sent to
    /// another.
    pub async fn submit(&self, spec: &JobSpec, key: Option<&IdempotencyKey>) -> Outcome<Submitted> {
        let call = Call::new(Method::POST, "/v1/jobs").json(spec)?;
        let call = match key {
            Some(key) => call.header(IDEMPOTENCY_KEY, key),
            None => call.forbid_resend(Code::NotConfirmed),
        };
        self.json(call).await
    }

    /// Reads a job.
    pub async fn job(&self, job: JobId) -> Outcome<JobView> {
        self.json(Call::get(format!("/v1/jobs/{job}"))).await
    }

    /// Reads the job that was accepted under a key.
    pub async fn job_by_key(&self, key: &IdempotencyKey) -> Outcome<JobView> {
        self.json(Call::get(format!("/v1/jobs?key={}", encode(key))))
            .await
    }

    /// Lists jobs, newest first.
    pub async fn jobs(
        &self,
        team: Option<&TeamName>,
        state: Option<JobState>,
        limit: u32,
    ) -> Outcome<Vec<JobView>> {
        let mut path = format!("/v1/jobs?limit={limit}");
        if let Some(team) = team {
            path.push_str("&team=");
            path.push_str(&encode(team));
        }
        if let Some(state) = state {
            path.push_str("&state=");
            path.push_str(&state.to_string());
        }
        self.json(Call::get(path)).await
    }

    /// Reads the reasons for the state of a job.
    pub async fn explain(&self, job: JobId) -> Outcome<Explanation> {
        self.json(Call::get(format!("/v1/jobs/{job}/explain")))
            .await
    }

    /// Cancels a job and returns its state right after.
    pub async fn cancel(&self, job: JobId) -> Outcome<JobState> {
        #[derive(serde::Deserialize)]
        struct StateField {
            state: JobState,
        }
        let call = Call::new(Method::DELETE, format!("/v1/jobs/{job}"));
        self.json::<StateField>(call).await.map(|view| view.state)
    }
}
