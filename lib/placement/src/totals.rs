use tarragon_names::Resources;

/// Sums over all workers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Totals {
    /// Number of workers.
    pub workers: usize,
    /// Capacity of all workers.
    pub capacity: Resources,
    /// Reservations on all workers.
    pub reserved: Resources,
}
