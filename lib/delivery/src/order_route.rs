use tarragon_names::HostName;

/// Who sends an order to its worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderRoute {
    /// The leader itself.
    Leader,
    /// Another host.
    Host(HostName),
    /// Nobody for now: the host that would repeat the order has used up its budget of repeats.
    OverBudget,
}
