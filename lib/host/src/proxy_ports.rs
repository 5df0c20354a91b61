use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::{FutureExt, future::BoxFuture};
use tarragon_catalogue::CatalogueEntry;
use tarragon_cell::{Answer, Command};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::{BoxOutcome, ServiceCall, ServiceReply};
use tarragon_names::{HostName, JobName};
use tarragon_proxy::{EntrySource, ForwardError, ForwardReply, KeyClaim, KeyLog, Peers};
use tarragon_wire::control::{ForwardedCall, ForwardedReply};

use crate::{CallFailure, CatalogueView, Clock, ControlClients, HostCore};

/// Wait told to callers while the catalogue is not fresh, in milliseconds.
const STALE_RETRY_MS: u64 = 1_000;

impl HostCore {
    async fn complete(&self, command: Command, limit: Duration) -> Outcome<()> {
        match self.propose(command, limit).await? {
            Answer::Failed(failure) => Err(failure),
            _ => Ok(()),
        }
    }
}

/// Keys in the replicated log, for the request path.
#[derive(Debug)]
pub struct LogKeys(pub Arc<HostCore>);

impl KeyLog for LogKeys {
    fn claim(&self, claim: KeyClaim) -> BoxOutcome<'_, Answer> {
        // The claimant's own time limit runs meanwhile, so a longer wait would be of no use.
        let limit = Duration::from_millis(claim.timeout_ms);
        async move { self.0.propose(claim.into(), limit).await }.boxed()
    }

    fn complete(
        &self,
        claim: KeyClaim,
        status: u16,
        body: Option<Arc<[u8]>>,
    ) -> BoxOutcome<'_, ()> {
        let limit = Duration::from_millis(self.0.cfg.timing.propose_timeout.0);
        async move { self.0.complete(claim.completion(status, body), limit).await }.boxed()
    }
}

/// The host's copy of the catalogue, for the request path.
#[derive(Debug)]
pub struct FreshEntries {
    /// The copy.
    pub view: Arc<CatalogueView>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
}

impl EntrySource for FreshEntries {
    fn resolve(&self, name: &JobName) -> Outcome<Arc<CatalogueEntry>> {
        let Some(catalogue) = self.view.fresh(self.clock.now()) else {
            return Err(Failure::of(Code::CatalogueNotFresh).retry_after(STALE_RETRY_MS));
        };
        catalogue.resolve(name).cloned().ok_or_else(|| {
            Failure::new(
                Code::NoEntry,
                format!("no catalogue entry covers the name {name}"),
            )
        })
    }
}

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
            sent: matches!(e, CallFailure::Ambiguous(_)),
            failure: e.into_failure(),
        })?;
        Ok(match reply {
            ForwardedReply::Answered {
                request: answered,
                status,
                content_type,
                body,
            } if answered == request => {
                let body = bytes::Bytes::copy_from_slice(&body);
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
