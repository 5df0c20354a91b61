use std::{
    collections::HashMap,
    sync::{Arc, Weak},
    time::Duration,
};

use futures::{FutureExt, future::BoxFuture};
use parking_lot::Mutex;
use tarragon_codes::{Code, Failure};
use tarragon_front::ServiceCall;
use tarragon_names::HostName;
use tarragon_proxy::{ForwardError, ForwardReply, Peers, Proxy};

/// Fault of the links between the hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LinkFault {
    #[default]
    None,
    /// No connection can be opened.
    Unreachable,
    /// The request arrives, but the reply is lost.
    ReplyLost,
}

/// Links that call the proxy of the other host directly.
#[derive(Debug, Default)]
pub struct FakePeers {
    hosts: Mutex<HashMap<HostName, Weak<Proxy>>>,
    pub fault: Mutex<LinkFault>,
}

impl FakePeers {
    pub fn add(&self, host: &Arc<Proxy>) {
        let name = host.load_summary().host;
        self.hosts.lock().insert(name, Arc::downgrade(host));
    }
}

impl Peers for FakePeers {
    fn forward(
        &self,
        host: HostName,
        call: ServiceCall,
        limit: Duration,
    ) -> BoxFuture<'_, Result<ForwardReply, ForwardError>> {
        let home_host = self.hosts.lock().get(&host).and_then(Weak::upgrade);
        let fault = *self.fault.lock();
        let error = move |may_have_been_sent| ForwardError {
            may_have_been_sent,
            failure: Failure::of(Code::HostUnreachable),
        };
        async move {
            let Some(home_host) = home_host.filter(|_| fault != LinkFault::Unreachable) else {
                return Err(error(false));
            };
            let reply = home_host.serve_forwarded(call, limit).await;
            if fault == LinkFault::ReplyLost {
                return Err(error(true));
            }
            Ok(reply)
        }
        .boxed()
    }
}
