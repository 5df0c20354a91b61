use std::sync::Arc;

use tarragon_names::HostName;
use tarragon_replica::PeerSink;
use tarragon_wire::peer::PeerEvent;

use crate::{EntryHost, Request, mesh};

/// Handles messages from other hosts.
#[derive(Debug)]
pub(crate) struct Inbound(pub(crate) Arc<EntryHost>);

impl PeerSink for Inbound {
    fn receive(&self, host: &HostName, event: PeerEvent) {
        match event {
            PeerEvent::Agreement { from, to, msg } => {
                if let Some(active) = self.0.replica.as_ref().filter(|active| active.id == to) {
                    self.0.mesh.connect(host);
                    active.handle.receive(host.clone(), from, msg);
                }
            }
            PeerEvent::Call { id, body } => {
                let (host, caller) = (Arc::clone(&self.0), host.clone());
                tokio::spawn(async move {
                    let reply = match mesh::decode::<Request>(&body) {
                        Ok(request) => host.answer_call(request).await,
                        Err(failure) => Err(failure),
                    };
                    host.mesh.send_answer(&caller, id, &reply);
                });
            }
            PeerEvent::Answer { id, body } => self.0.mesh.complete_call(id, body),
            PeerEvent::Orders(body) => self.0.deliverer.deliver(host, &body),
            PeerEvent::OrderResults(body) => self.0.receive_results(host, &body),
            // An entry host calls its workers instead of exchanging these messages with them, and
            // hosts send one another no load summaries.
            PeerEvent::Report { .. } | PeerEvent::Order { .. } | PeerEvent::Load(_) => {}
        }
    }
}
