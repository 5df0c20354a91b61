use std::{sync::Arc, time::Duration};

use futures::FutureExt;
use tarragon_cell::{Answer, Command};
use tarragon_codes::Outcome;
use tarragon_front::BoxOutcome;
use tarragon_proxy::{KeyClaim, KeyLog};

use crate::HostCore;

/// Claims idempotency keys in the replicated log for the request path.
#[derive(Debug)]
pub struct ReplicatedKeyLog(pub Arc<HostCore>);

impl ReplicatedKeyLog {
    async fn write(&self, command: Command, timeout: Duration) -> Outcome<()> {
        match self.0.propose(command, timeout).await? {
            Answer::Failed(failure) => Err(failure),
            _ => Ok(()),
        }
    }
}

impl KeyLog for ReplicatedKeyLog {
    fn claim(&self, claim: KeyClaim) -> BoxOutcome<'_, Answer> {
        // The timeout of the request runs during the claim, so a longer wait is of no use.
        let timeout = Duration::from_millis(claim.timeout_ms);
        async move { self.0.propose(claim.into(), timeout).await }.boxed()
    }

    fn complete(
        &self,
        claim: KeyClaim,
        status: u16,
        body: Option<Arc<[u8]>>,
    ) -> BoxOutcome<'_, ()> {
        let timeout = Duration::from_millis(self.0.cfg.timing.propose_timeout.0);
        async move { self.write(claim.completion(status, body), timeout).await }.boxed()
    }
}
