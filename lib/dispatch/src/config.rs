use tarragon_names::Millis;

/// Times and bounds of the dispatcher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchConfig {
    /// Lease that a worker is given with each hold and each start.
    pub lease: Millis,
    /// Longest lease that any leader may have given, counted on the worker's clock.
    pub longest_lease: Millis,
    /// Time that a worker may hold a look open while nothing ends.
    pub poll_wait: Millis,
    /// Time until a failed look is repeated.
    pub poll_retry: Millis,
    /// Time in which a stopped run certainly ends.
    pub stop_time: Millis,
    /// Time until a stop that was not accepted is sent again.
    pub order_retry: Millis,
    /// Time in which the first start of a run is answered; a second one does no harm, so that it is
    /// short.
    pub first_start_timeout: Millis,
    /// Time in which any other order is answered.
    pub order_timeout: Millis,
    /// Starts of one run that may stay unanswered before it is stopped.
    pub max_unanswered_starts: u32,
    /// Part of a ticket's time that is left for the commit and the way to the worker.
    pub ticket_margin: Millis,
    /// Silence of a worker's heartbeats after which it is removed, if its lease has ended too.
    pub remove_after: Millis,
    /// Silence of a host after which no advice is asked through it.
    pub relay_silence_limit: Millis,
    /// Least time between two placements of all waiting steps.
    pub placement_interval: Millis,
    /// Time between two looks at leases and at runs that take too long.
    pub expiry_interval: Millis,
    /// Time beyond its expected length after which a call for advice is given up.
    pub advice_slack: Millis,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        Self {
            lease: Millis(8_000),
            longest_lease: Millis(10_000),
            poll_wait: Millis(1_000),
            poll_retry: Millis(250),
            stop_time: Millis(900),
            order_retry: Millis(400),
            first_start_timeout: Millis(200),
            order_timeout: Millis(600),
            max_unanswered_starts: 2,
            ticket_margin: Millis(250),
            remove_after: Millis(8_000),
            relay_silence_limit: Millis(3_000),
            placement_interval: Millis(20),
            expiry_interval: Millis(100),
            advice_slack: Millis(800),
        }
    }
}
