use std::fmt::Debug;

use tarragon_names::HostName;

/// Observer of the traffic on the links between hosts.
pub trait LinkObserver: Debug + Send + Sync {
    /// A frame of `len` bytes was sent to a host.
    fn sent(&self, host: &HostName, len: usize);

    /// A frame of `len` bytes came from a host, which shows that it answers.
    fn received(&self, host: &HostName, len: usize);

    /// A frame of `len` bytes passed on a link that another host opened.
    fn inbound_frame(&self, len: usize);

    /// The link to a host is broken.
    fn down(&self, host: &HostName);

    /// A link was closed after silence.
    fn closed_after_silence(&self);

    /// A message found the queue of a link full.
    fn dropped(&self, host: &HostName);
}
