use std::net::SocketAddr;

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_entry::{Reply, Request};

use super::{CALL_TIMEOUT, RunningHosts};

/// Caller that sends its requests to one host and repeats them at the leader if it is told to.
pub struct Caller {
    host: u8,
    hosts: RunningHosts,
}

impl Caller {
    pub(super) fn new(host: u8, hosts: RunningHosts) -> Self {
        Self { host, hosts }
    }

    /// Sends a request and follows one redirection.
    pub async fn call(&self, request: Request) -> Outcome<Reply> {
        let reply = self.call_host(self.host, request.clone()).await?;
        let Reply::Redirect(address) = &reply else {
            return Ok(reply);
        };
        let address = address.as_str().parse::<SocketAddr>();
        let Ok(SocketAddr::V4(address)) = address else {
            panic!("expected an IPv4 address in {reply:?}");
        };
        let [_, _, _, leader] = address.ip().octets();
        self.call_host(leader, request).await
    }

    async fn call_host(&self, host: u8, request: Request) -> Outcome<Reply> {
        let running = self.hosts.lock().get(&host).cloned();
        let running = running.ok_or_else(|| Failure::of(Code::HostUnreachable))?;
        running.call(request, CALL_TIMEOUT).await
    }
}
