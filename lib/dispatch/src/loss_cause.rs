use derive_more::Display;

/// Why a run has certainly ended although its worker has not listed its end.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum LossCause {
    /// No start order was sent.
    #[display("no start order was sent")]
    NotOrdered,
    /// The worker refused the only start order.
    #[display("the worker refused the start")]
    Refused,
    /// The worker accepted the stop, and the time within which the run ends is over.
    #[display("the worker accepted the stop")]
    Stopped,
    /// The worker had confirmed the run and does not list it any more.
    #[display("the worker does not list the run")]
    NotListed,
    /// The next incarnation of the worker does not list the run, and refuses the orders to start it.
    #[display("the next incarnation does not list the run")]
    Restarted,
    /// Every lease that the worker may hold has expired.
    #[display("the lease is over")]
    LeaseOver,
}
