//! Calls of a host to the leader on behalf of callers, operators and workers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_discovery::{AfterFailure, LeaderAnswer, LeaderCall};
use tarragon_names::{HostName, Name};
use tarragon_telemetry::Event;
use tokio::time::sleep;

use crate::{EntryHost, Reply, Request, request::is_large_configuration};

/// Time after which a refused caller may try again, in milliseconds.
const RETRY_AFTER_MS: u64 = 400;

impl EntryHost {
    pub(crate) async fn call_leader(&self, request: Request, timeout: Duration) -> Outcome<Reply> {
        let started_at = Instant::now();
        let times = self.cfg.timing.leader_call_times(timeout);
        let mut call = LeaderCall::new(times, request.changes_state());
        loop {
            let leader = self.known_leader().map(|(_, leader)| leader);
            let attempt_timeout = call.attempt_timeout(started_at.elapsed());
            let reply = match leader {
                None => Err(Failure::of(Code::NoLeader)),
                Some(leader) if leader == self.cfg.host => self.answer_here(request.clone()).await,
                Some(leader) if is_large(&request) => return self.redirect_to(&leader),
                Some(leader) => {
                    let reply = self.mesh.call(&leader, &request, attempt_timeout).await;
                    let code = reply.as_ref().err().map_or(Code::NotLeader, |f| f.code);
                    let answer = match &reply {
                        Ok(Reply::NotLeader { leader }) => {
                            Some(LeaderAnswer::Knows(leader.clone()))
                        }
                        Ok(_) => None,
                        Err(_) => call.host_answer(code, attempt_timeout),
                    };
                    if let Some(answer) = answer {
                        self.apply_leader_answer(&leader, &answer, request.kind(), code);
                    }
                    reply
                }
            };
            let failure = match reply {
                Ok(Reply::NotLeader { .. }) => Failure::of(Code::NotLeader),
                Ok(reply) => return Ok(reply),
                Err(failure) => failure,
            };
            match call.attempt_failed(failure.code, started_at.elapsed()) {
                AfterFailure::Retry => sleep(times.retry_delay).await,
                AfterFailure::Refused => return Err(failure),
                AfterFailure::GiveUp(code) => {
                    return Err(Failure::of(code).retry_after(RETRY_AFTER_MS));
                }
            }
        }
    }

    /// Updates what this host knows of the leader with the answer of `from` to a call of this kind.
    /// `code` is the failure of the call, for the log.
    pub(crate) fn apply_leader_answer(
        &self,
        from: &HostName,
        answer: &LeaderAnswer,
        kind: &str,
        code: Code,
    ) {
        if !answer.apply(from, &self.leader_hint) {
            return;
        }
        self.metrics.leader_forgotten.inc();
        let event = Event::info("leader_forgotten").peer(from.clone());
        let known = self.known_leader().map(|(_, leader)| leader);
        let detail = format!("{kind}; now known: {known:?}");
        self.events.emit(&event.code(code.number()).detail(detail));
    }

    /// Sends the caller to the control address of the leader. All hosts have the same ports.
    fn redirect_to(&self, leader: &HostName) -> Outcome<Reply> {
        let unusable = |_e| Failure::of(Code::NoLeader).retry_after(RETRY_AFTER_MS);
        let leader = leader.parse::<SocketAddr>().map_err(unusable)?;
        let own = self.cfg.heartbeat_address.parse::<SocketAddr>();
        let own = own.map_err(unusable)?;
        let address = SocketAddr::new(leader.ip(), own.port());
        Ok(Reply::Redirect(Name::from(address.to_string())))
    }
}

fn is_large(request: &Request) -> bool {
    let configuration = request.configuration();
    configuration.is_some_and(|c| is_large_configuration(&c.text))
}
