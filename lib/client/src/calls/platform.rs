use hyper::Method;
use serde_json::json;
use tarragon_codes::Outcome;

use crate::{Client, call::Call};

impl Client {
    /// Reads the metrics page of a host. Use a client of one host.
    pub async fn metrics(&self) -> Outcome<String> {
        let answer = self.call(Call::get("/metrics")).await?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Whether a host is ready for callers. Use a client of one host.
    pub async fn is_ready(&self) -> bool {
        self.call_ignoring_answer(Call::get("/ready")).await.is_ok()
    }

    /// Whether a host answers at all. Use a client of one host.
    pub async fn is_live(&self) -> bool {
        self.call_ignoring_answer(Call::get("/live")).await.is_ok()
    }

    /// Sets the log level of a host. Use a client of one host.
    pub async fn set_log_level(&self, level: &str) -> Outcome<()> {
        let call = Call::new(Method::PUT, "/v1/log-level").json(&json!({"level": level}))?;
        self.call_ignoring_answer(call).await
    }
}
