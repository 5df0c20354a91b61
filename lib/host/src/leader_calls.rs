use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use tarpc::{client::RpcError, context::Context};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{HostName, Term};
use tarragon_wire::control::ControlClient;
use tokio::time::{Instant, sleep};

use crate::{CallFailure, ControlClients};
use tarragon_replica::LeaderHint;

/// Longest time for one try, so that a leader that fell silent leaves time for its successor.
const TRY_LIMIT: Duration = Duration::from_millis(1_500);

/// Time between two tries.
const RETRY: Duration = Duration::from_millis(50);

/// Calls to whichever host leads, repeated until they succeed or their time is over.
///
/// Every call made here may be repeated: commands carry a key or a request id, or set a state.
#[derive(Debug)]
pub struct LeaderCalls {
    own: HostName,
    replicas: Vec<HostName>,
    hint: Arc<LeaderHint>,
    clients: Arc<ControlClients>,
}

impl LeaderCalls {
    /// Calls from the host `own`; `replicas` are asked for the leader while none is known.
    pub fn new(
        own: HostName,
        replicas: Vec<HostName>,
        hint: Arc<LeaderHint>,
        clients: Arc<ControlClients>,
    ) -> Self {
        Self {
            own,
            replicas,
            hint,
            clients,
        }
    }

    /// Makes a call at the leader: with `local` if this host leads, else with `remote`.
    pub async fn call<'a, T, L, R>(&self, limit: Duration, local: L, remote: R) -> Outcome<T>
    where
        L: Fn(Duration) -> BoxFuture<'a, Outcome<T>>,
        R: Fn(ControlClient, Context) -> BoxFuture<'static, Result<Outcome<T>, RpcError>>,
    {
        let deadline = Instant::now() + limit;
        let mut ambiguous = false;
        let mut turn = 0;
        let mut failed = None;
        loop {
            let left = deadline
                .saturating_duration_since(Instant::now())
                .min(TRY_LIMIT);
            if left.is_zero() {
                return Err(Failure::of(if ambiguous {
                    Code::NotConfirmed
                } else {
                    Code::NoLeader
                }));
            }
            let Some(host) = self.hint.get() else {
                self.find_leader(turn, left, failed.as_ref()).await;
                turn += 1;
                continue;
            };
            let result = if host == self.own {
                local(left).await
            } else {
                match self.clients.call(&host, left, &remote).await {
                    Ok(result) => result,
                    Err(CallFailure::NotSent(failure)) => Err(failure),
                    Err(CallFailure::Ambiguous(_)) => Err(Failure::of(Code::NotConfirmed)),
                }
            };
            match result {
                Err(failure) if is_about_leader(failure.code) => {
                    ambiguous |= failure.code == Code::NotConfirmed;
                    failed = self.hint.with_term().filter(|(_, leader)| *leader == host);
                    turn = 0;
                    self.hint.forget(&host);
                    sleep(RETRY.min(left)).await;
                }
                result => return result,
            }
        }
    }

    /// Asks one replica after the other who leads.
    ///
    /// A leader that just failed is taken again only after every replica was asked, because some
    /// learn of its successor later than others.
    async fn find_leader(&self, turn: usize, left: Duration, failed: Option<&(Term, HostName)>) {
        let Some(host) = self.replicas.get(turn % self.replicas.len().max(1)) else {
            sleep(left).await;
            return;
        };
        if *host != self.own {
            let asked =
                self.clients.call(
                    host,
                    left,
                    |client, cx| async move { client.leader(cx).await },
                );
            if let Ok(Some(found)) = asked.await
                && (failed != Some(&found) || turn >= self.replicas.len())
            {
                self.hint.set(found.0, &found.1);
                return;
            }
        }
        sleep(RETRY.min(left)).await;
    }
}

/// Tells whether the call may succeed at another host or later.
fn is_about_leader(code: Code) -> bool {
    matches!(
        code,
        Code::NoLeader
            | Code::NotLeader
            | Code::NotConfirmed
            | Code::HostUnreachable
            | Code::Stopping
    )
}
