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

/// What is wrong with the links.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LinkFault {
    #[default]
    None,
    /// No connection can be made.
    Unreachable,
    /// The request arrives and its reply is lost.
    ReplyLost,
}

/// Links that call the other host directly.
#[derive(Debug, Default)]
pub struct FakePeers {
    hosts: Mutex<HashMap<HostName, Weak<Proxy>>>,
    pub fault: Mutex<LinkFault>,
}

impl FakePeers {
    pub fn add(&self, host: &Arc<Proxy>) {
        let name = host.load().host;
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
        let home = self.hosts.lock().get(&host).and_then(Weak::upgrade);
        let fault = *self.fault.lock();
        let error = move |sent| ForwardError {
            may_have_been_sent: sent,
            failure: Failure::of(Code::HostUnreachable),
        };
        async move {
            let Some(home) = home.filter(|_| fault != LinkFault::Unreachable) else {
                return Err(error(false));
            };
            let reply = home.serve_forwarded(call, limit).await;
            if fault == LinkFault::ReplyLost {
                return Err(error(true));
            }
            Ok(reply)
        }
        .boxed()
    }
}
