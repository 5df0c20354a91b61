/// Kind of an order to a worker, the most urgent first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// Poll, which renews the lease of the worker and acknowledges ended runs.
    Poll,
    /// Order to stop a run, which frees capacity.
    Stop,
    /// Order to start a run.
    Start,
    /// Order to change the rate of a run.
    Throttle,
}
