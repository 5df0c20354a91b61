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

/// Forwards over the calls between hosts.
#[derive(Debug)]
pub struct ControlPeers {
    own: HostName,
    clients: Arc<ControlClients>,
    next: AtomicU64,
}

impl ControlPeers {
    /// Forwards from the host `own`.
    pub fn new(own: HostName, clients: Arc<ControlClients>) -> Self {
        Self {
            own,
            clients,
            next: AtomicU64::new(1),
        }
    }

    async fn forward_once(
        &self,
        host: HostName,
        call: ServiceCall,
        limit: Duration,
    ) -> Result<ForwardReply, ForwardError> {
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        let forwarded = ForwardedCall {
            from: self.own.clone(),
            request,
            name: call.name,
            key: call.key,
            timeout_ms: limit.as_millis() as u64,
            body: Arc::from(&*call.body),
        };
        let made = self.clients.call(&host, limit, |client, cx| async move {
            client.forward(cx, forwarded).await
        });
        let reply = made.await.map_err(|e| ForwardError {
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
                Code::NotKnown,
                format!("{host} answered another request"),
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
