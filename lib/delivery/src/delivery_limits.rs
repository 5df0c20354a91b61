use tarragon_names::Millis;

/// Settings of the choice of the delivering hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeliveryLimits {
    /// Number of workers up to which the leader calls all workers itself.
    pub direct_workers: usize,
    /// Time since a host was last seen after which it delivers nothing.
    pub silence_limit: Millis,
    /// Time for which a host delivers nothing after a failed delivery.
    pub failed_host_pause: Millis,
}

impl Default for DeliveryLimits {
    fn default() -> Self {
        Self {
            direct_workers: 100,
            silence_limit: Millis(3_000),
            failed_host_pause: Millis(2_000),
        }
    }
}
