use tarragon_names::Millis;

/// Times and bounds of the dispatcher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchConfig {
    /// Lease that a worker is given with each hold and each start.
    pub lease: Millis,
    /// Longest lease that any leader may have given, counted on the worker's clock.
    pub longest_lease: Millis,
    /// Time that a worker may hold a look open while nothing ends.
    pub hold_wait: Millis,
    /// Time until a failed look is repeated.
    pub hold_retry: Millis,
    /// Time in which a stopped run certainly ends.
    pub stop: Millis,
    /// Time until a stop that was not accepted is sent again.
    pub order_retry: Millis,
    /// Time in which the first start of a run is answered; a second one does no harm, so that it is
    /// short.
    pub first_limit: Millis,
    /// Time in which any other order is answered.
    pub order_limit: Millis,
    /// Starts of one run that may stay unanswered before it is stopped.
    pub start_tries: u32,
    /// Part of a ticket's time that is left for the commit and the way to the worker.
    pub ticket_margin: Millis,
    /// Silence of a worker's heartbeats after which it is removed, if its lease has ended too.
    pub gone_after: Millis,
    /// Silence of a host after which no advice is asked through it.
    pub host_silent: Millis,
    /// Least time between two placements of all waiting steps.
    pub place_every: Millis,
    /// Time between two looks at leases and at runs that take too long.
    pub expire_every: Millis,
    /// Time beyond its expected length after which a call for advice is given up.
    pub ask_slack: Millis,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        Self {
            lease: Millis(8_000),
            longest_lease: Millis(10_000),
            hold_wait: Millis(1_000),
            hold_retry: Millis(250),
            stop: Millis(900),
            order_retry: Millis(400),
            first_limit: Millis(200),
            order_limit: Millis(600),
            start_tries: 2,
            ticket_margin: Millis(250),
            gone_after: Millis(8_000),
            host_silent: Millis(3_000),
            place_every: Millis(20),
            expire_every: Millis(100),
            ask_slack: Millis(800),
        }
    }
}
