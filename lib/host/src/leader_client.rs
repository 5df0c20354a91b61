use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use tarpc::{client::RpcError, context::Context};
use tarragon_cell::Answer;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_discovery::{LeaderHint, RequestAttempts};
use tarragon_names::{HostName, Term};
use tarragon_wire::control::ControlClient;
use tokio::time::{Instant, sleep};

use crate::{CallFailure, ControlClients};

/// Timeout of one attempt, so that an unresponsive leader leaves time for a call to its successor.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Client for calls to whichever host leads, which repeats a call until it is answered or its
/// timeout ends.
///
/// Every call made here is safe to repeat: commands carry a key or a request id, or set a state.
#[derive(Debug)]
pub struct LeaderClient {
    own_host: HostName,
    replicas: Vec<HostName>,
    leader_hint: Arc<LeaderHint>,
    clients: Arc<ControlClients>,
}

impl LeaderClient {
    /// Creates a client for calls from `own_host`; while no leader is known, it asks `replicas`.
    pub fn new(
        own_host: HostName,
        replicas: Vec<HostName>,
        leader_hint: Arc<LeaderHint>,
        clients: Arc<ControlClients>,
    ) -> Self {
        Self {
            own_host,
            replicas,
            leader_hint,
            clients,
        }
    }

    /// Calls the leader: `local` if this host leads, otherwise `remote`.
    ///
    /// After `timeout` the call fails with `NotConfirmed` if an attempt may have taken effect, otherwise
    /// with `NoLeader`.
    pub async fn call<'a, T, L, R>(&self, timeout: Duration, local: L, remote: R) -> Outcome<T>
    where
        L: Fn(Duration) -> BoxFuture<'a, Outcome<T>>,
        R: Fn(ControlClient, Context) -> BoxFuture<'static, Result<Outcome<T>, RpcError>>,
    {
        let mut attempts = RequestAttempts::default();
        self.repeat(&mut attempts, timeout, local, remote).await
    }

    /// Submits a job to the leader like [`call`](Self::call). A refusal promises that the job never
    /// runs, so it is passed on only if no earlier attempt may be accepted.
    pub async fn submit<'a, L, R>(&self, timeout: Duration, local: L, remote: R) -> Outcome<Answer>
    where
        L: Fn(Duration) -> BoxFuture<'a, Outcome<Answer>>,
        R: Fn(ControlClient, Context) -> BoxFuture<'static, Result<Outcome<Answer>, RpcError>>,
    {
        let mut attempts = RequestAttempts::default();
        let answer = self.repeat(&mut attempts, timeout, local, remote).await;
        match answer {
            Ok(Answer::Failed(refusal)) => Ok(Answer::Failed(attempts.refused(refusal))),
            Err(refusal) => Err(attempts.refused(refusal)),
            accepted => accepted,
        }
    }

    /// Repeats a call until it is answered or its timeout ends.
    async fn repeat<'a, T, L, R>(
        &self,
        attempts: &mut RequestAttempts,
        timeout: Duration,
        local: L,
        remote: R,
    ) -> Outcome<T>
    where
        L: Fn(Duration) -> BoxFuture<'a, Outcome<T>>,
        R: Fn(ControlClient, Context) -> BoxFuture<'static, Result<Outcome<T>, RpcError>>,
    {
        let deadline = Instant::now() + timeout;
        let mut lookups = 0;
        let mut failed_leader = None;
        loop {
            let remaining = deadline
                .saturating_duration_since(Instant::now())
                .min(ATTEMPT_TIMEOUT);
            if remaining.is_zero() {
                return Err(Failure::of(attempts.unanswered()));
            }
            let Some(host) = self.leader_hint.get() else {
                self.find_leader(lookups, remaining, failed_leader.as_ref())
                    .await;
                lookups += 1;
                continue;
            };
            let result = if host == self.own_host {
                local(remaining).await
            } else {
                match self.clients.call(&host, remaining, &remote).await {
                    Ok(result) => result,
                    Err(CallFailure::NotSent(failure)) => Err(failure),
                    Err(CallFailure::Ambiguous(_)) => Err(Failure::of(Code::NotConfirmed)),
                }
            };
            match result {
                Err(failure) if is_retryable(failure.code) => {
                    attempts.failed(failure.code);
                    failed_leader = self
                        .leader_hint
                        .with_term()
                        .filter(|(_, leader)| *leader == host);
                    lookups = 0;
                    self.leader_hint.forget(&host);
                    sleep(RETRY_DELAY.min(remaining)).await;
                }
                result => return result,
            }
        }
    }

    /// Asks one replica for the leader; `lookups`, the number of replicas asked before, selects it.
    ///
    /// A leader that just failed is accepted again only after every replica was asked, because some
    /// replicas learn of its successor later than others.
    async fn find_leader(
        &self,
        lookups: usize,
        remaining: Duration,
        failed_leader: Option<&(Term, HostName)>,
    ) {
        let Some(host) = self.replicas.get(lookups % self.replicas.len().max(1)) else {
            sleep(remaining).await;
            return;
        };
        if *host != self.own_host {
            let call = self.clients.call(host, remaining, |client, cx| async move {
                client.leader(cx).await
            });
            if let Ok(Some(found)) = call.await
                && (failed_leader != Some(&found) || lookups >= self.replicas.len())
            {
                self.leader_hint.set(found.0, &found.1);
                return;
            }
        }
        sleep(RETRY_DELAY.min(remaining)).await;
    }
}

/// Returns whether the call may succeed at another host or later.
fn is_retryable(code: Code) -> bool {
    matches!(
        code,
        Code::NoLeader
            | Code::NotLeader
            | Code::NotConfirmed
            | Code::HostUnreachable
            | Code::Stopping
    )
}
