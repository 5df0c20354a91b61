use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use tarragon_codes::{Code, Failure};
use tarragon_front::{ServiceCall, ServiceReply};
use tarragon_names::HostName;
use tarragon_proxy::{ForwardError, ForwardReply, Peers};
use tarragon_wire::control::{ForwardedCall, ForwardedReply};

use crate::{CallFailure, ControlClients};

/// Forwards service requests to other hosts through calls of `Control`.
#[derive(Debug)]
pub struct ControlPeers {
    own_host: HostName,
    clients: Arc<ControlClients>,
    next_request_number: AtomicU64,
}

impl ControlPeers {
    /// Creates a forwarder of requests that reached `own_host`.
    pub fn new(own_host: HostName, clients: Arc<ControlClients>) -> Self {
        Self {
            own_host,
            clients,
            next_request_number: AtomicU64::new(1),
        }
    }

    async fn forward_once(
        &self,
        host: HostName,
        call: ServiceCall,
        timeout: Duration,
    ) -> Result<ForwardReply, ForwardError> {
        let request = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let forwarded = ForwardedCall {
            from: self.own_host.clone(),
            request,
            name: call.name,
            key: call.key,
            timeout_ms: timeout.as_millis() as u64,
            body: Arc::from(&*call.body),
        };
        let pending_reply = self.clients.call(&host, timeout, |client, cx| async move {
            client.forward(cx, forwarded).await
        });
        let reply = pending_reply.await.map_err(|e| ForwardError {
            may_have_been_sent: matches!(e, CallFailure::Ambiguous(_)),
            failure: e.into_failure(),
        })?;
        Ok(match reply {
            ForwardedReply::Answered {
                request: answered,
                status,
                content_type,
                body,
            } if answered == request => {
                let body = Bytes::copy_from_slice(&body);
                ForwardReply::Answered(ServiceReply {
                    status,
                    content_type,
                    body,
                    stored: false,
                })
            }
            ForwardedReply::Answered { .. } => ForwardReply::Lost(Failure::new(
                Code::OutcomeUnknown,
                format!("{host} answered a different request"),
            )),
            ForwardedReply::NotSent(failure) => ForwardReply::NotSent(failure),
            ForwardedReply::Unknown(failure) => ForwardReply::Lost(failure),
        })
    }
}

impl Peers for ControlPeers {
    fn forward(
        &self,
        host: HostName,
        call: ServiceCall,
        limit: Duration,
    ) -> BoxFuture<'_, Result<ForwardReply, ForwardError>> {
        self.forward_once(host, call, limit).boxed()
    }
}
