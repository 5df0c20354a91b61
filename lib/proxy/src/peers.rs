use std::{fmt::Debug, time::Duration};

use futures::future::BoxFuture;
use tarragon_codes::Failure;
use tarragon_front::{ServiceCall, ServiceReply};
use tarragon_names::HostName;

/// Reply of a home host to a forwarded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardReply {
    /// The complete response of an executor.
    Answered(ServiceReply),
    /// The request was certainly not sent to an executor.
    NotSent(Failure),
    /// The outcome is unknown: the request may have run.
    Lost(Failure),
}

/// Error of a forward that got no reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardError {
    /// Whether any byte of the request may have been sent.
    pub may_have_been_sent: bool,
    /// Cause of the error.
    pub failure: Failure,
}

/// Links to the other entry hosts.
pub trait Peers: Debug + Send + Sync {
    /// Forwards a request to a home host, which has to reply within `limit`.
    ///
    /// The receiving host passes the request to [`crate::Proxy::serve_forwarded`]. Implementations
    /// must match replies to requests by request id and connection.
    fn forward(
        &self,
        host: HostName,
        call: ServiceCall,
        limit: Duration,
    ) -> BoxFuture<'_, Result<ForwardReply, ForwardError>>;
}
