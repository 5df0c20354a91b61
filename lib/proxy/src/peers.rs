use std::{fmt::Debug, time::Duration};

use futures::future::BoxFuture;
use tarragon_codes::Failure;
use tarragon_front::{ServiceCall, ServiceReply};
use tarragon_names::HostName;

/// What a home host says of a forwarded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardReply {
    /// The whole answer of an executor.
    Answered(ServiceReply),
    /// The request was certainly not sent to an executor.
    NotSent(Failure),
    /// The request may have run.
    Lost(Failure),
}

/// A forward without a reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ForwardError {
    /// Whether any byte of the request may have left this host.
    pub may_have_been_sent: bool,
    /// What went wrong.
    pub failure: Failure,
}

/// Links to the other entry hosts.
pub trait Peers: Debug + Send + Sync {
    /// Forwards a request to a home host, which has `limit` to answer.
    ///
    /// The receiver passes it to [`crate::Proxy::serve_forwarded`]. The reply must belong to this
    /// very request: an implementation matches request id and connection.
    fn forward(
        &self,
        host: HostName,
        call: ServiceCall,
        limit: Duration,
    ) -> BoxFuture<'_, Result<ForwardReply, ForwardError>>;
}
