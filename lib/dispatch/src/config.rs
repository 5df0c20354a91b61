use tarragon_names::Millis;

/// Times and limits of the dispatcher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchConfig {
    /// Lease granted with each poll and each start. No leader grants more.
    pub lease: Millis,
    /// Longest lease that a worker takes; it shortens a longer one. A call that was meant for an earlier
    /// incarnation names a time on another clock.
    pub max_lease: Millis,
    /// Time for which a worker may delay the answer to a poll while no run ends.
    pub poll_wait: Millis,
    /// Time after which a failed poll is repeated.
    pub poll_retry: Millis,
    /// Time within which a stopped run certainly ends.
    pub stop_time: Millis,
    /// Time after which a stop order that was not accepted is sent again.
    pub order_retry: Millis,
    /// Shortest time after which an order that was not sent is tried again.
    pub unsent_retry: Millis,
    /// Timeout of the first start order of a run. It is short, because a repeated start order does
    /// no harm.
    pub first_start_timeout: Millis,
    /// Timeout of all other orders.
    pub order_timeout: Millis,
    /// Number of start orders of one run that may stay unanswered before the run is stopped.
    pub max_unanswered_starts: u32,
    /// Part of the validity of a ticket reserved for the commit and the transmission to the worker.
    pub ticket_margin: Millis,
    /// Time without contact after which a worker is removed, if its lease has expired too.
    pub remove_after: Millis,
    /// Time since a host was last seen after which no advice is requested through it.
    pub relay_silence_limit: Millis,
    /// Shortest time between two placements of all waiting steps.
    pub placement_interval: Millis,
    /// Time between two checks for expired leases and overdue runs.
    pub expiry_interval: Millis,
    /// Time beyond its expected duration after which a request for advice counts as unanswered.
    pub advice_slack: Millis,
    /// Whether images that slow each other down are detected and kept apart.
    pub avoids_interference: bool,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        Self {
            lease: Millis(8_000),
            max_lease: Millis(10_000),
            poll_wait: Millis(1_000),
            poll_retry: Millis(250),
            stop_time: Millis(900),
            order_retry: Millis(400),
            unsent_retry: Millis(50),
            first_start_timeout: Millis(200),
            order_timeout: Millis(600),
            max_unanswered_starts: 2,
            ticket_margin: Millis(250),
            remove_after: Millis(8_000),
            relay_silence_limit: Millis(3_000),
            placement_interval: Millis(20),
            expiry_interval: Millis(100),
            advice_slack: Millis(800),
            avoids_interference: false,
        }
    }
}
