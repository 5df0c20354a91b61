use std::{sync::Arc, time::Duration};

use futures::FutureExt;
use tarragon_cell::{Answer, Command};
use tarragon_codes::Outcome;
use tarragon_front::BoxOutcome;
use tarragon_proxy::{KeyClaim, KeyLog};

use crate::HostCore;

/// Keys in the replicated log, for the request path.
#[derive(Debug)]
pub struct LogKeys(pub Arc<HostCore>);

impl LogKeys {
    async fn write(&self, command: Command, limit: Duration) -> Outcome<()> {
        match self.0.propose(command, limit).await? {
            Answer::Failed(failure) => Err(failure),
            _ => Ok(()),
        }
    }
}

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
        async move { self.write(claim.completion(status, body), limit).await }.boxed()
    }
}
