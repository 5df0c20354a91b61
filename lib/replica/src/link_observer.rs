use std::fmt::Debug;

use tarragon_names::HostName;

/// Observer of the traffic on the links between hosts.
pub trait LinkObserver: Debug + Send + Sync {
    /// A frame of `len` bytes was written to the outgoing link to a host.
    fn sent(&self, host: &HostName, len: usize);

    /// A frame of `len` bytes arrived on the outgoing link, so the host is reachable.
    fn received(&self, host: &HostName, len: usize);

    /// A frame of `len` bytes was received or sent on a link that another host opened.
    fn inbound_frame(&self, len: usize);

    /// The link to a host failed, or an attempt to connect did.
    fn down(&self, host: &HostName);

    /// A link was closed because no frame arrived within the silence timeout.
    fn closed_after_silence(&self);

    /// A message was dropped because the queue of the link was full or closed.
    fn dropped(&self, host: &HostName);
}
