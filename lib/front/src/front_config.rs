use std::{fmt, sync::Arc, time::Duration};

use crate::FrontLimits;

/// Text of the metrics page, made anew for each reader.
pub type MetricsRenderer = Arc<dyn Fn() -> String + Send + Sync>;

/// Sets the log level by its name; false if the name is unknown.
pub type LogLevelSetter = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// What the HTTP interface needs besides the host's [`HostApi`](crate::HostApi).
#[derive(Clone)]
pub struct FrontConfig {
    /// Token of operators; without one every operator call is refused.
    pub token: Option<Arc<str>>,
    /// Token of executors; without one announcements need no token.
    pub announce_token: Option<Arc<str>>,
    /// Limits on connections, sizes and times.
    pub limits: FrontLimits,
    /// Text of the metrics page.
    pub render_metrics: MetricsRenderer,
    /// Sets the log level.
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
