use std::{fmt, sync::Arc, time::Duration};

use crate::FrontLimits;

/// Renders the metrics page; called for each request.
pub type MetricsRenderer = Arc<dyn Fn() -> String + Send + Sync>;

/// Sets the log level by its name; returns false if the name is unknown.
pub type LogLevelSetter = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// Tokens, limits and callbacks of the HTTP interface.
#[derive(Clone)]
pub struct FrontConfig {
    /// Operator token; without one, every operator call is refused.
    pub token: Option<Arc<str>>,
    /// Executor token; without one, announcements need no token.
    pub announce_token: Option<Arc<str>>,
    /// Limits on connections, sizes and times.
    pub limits: FrontLimits,
    /// Renders the page for `GET /metrics`.
    pub render_metrics: MetricsRenderer,
    /// Sets the log level for `PUT /v1/log-level`.
    pub set_log_level: LogLevelSetter,
}

impl Default for FrontConfig {
    fn default() -> Self {
        Self {
            token: None,
            announce_token: None,
            limits: FrontLimits::default(),
            render_metrics: Arc::new(String::new),
            set_log_level: Arc::new(|_| false),
        }
    }
}

impl FrontConfig {
    /// Time limit of a write to the replicated log.
    pub(crate) fn propose_timeout(&self) -> Duration {
        self.limits.propose_timeout
    }
}

impl fmt::Debug for FrontConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FrontConfig")
            .field("token", &self.token.is_some())
            .field("announce_token", &self.announce_token.is_some())
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}
