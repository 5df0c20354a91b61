use tarragon_names::Millis;

use crate::{
    Announcement, RequestEnd, RoutingConfig, RunningRequests,
    routing_config::MAX_CONSECUTIVE_FAILURES,
};

/// A slot that may be in use by a request whose end this home host cannot observe.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct UnconfirmedSlot {
    /// When the slot became unconfirmed; only a report made later can free the slot.
    since: Millis,
    /// Request of this home host, or `None` for a request of a former home host.
    request_number: Option<u64>,
}

/// Lease and slots of an executor, as its home host tracks them.
///
/// Only the home host sends requests to an executor. A former home host of a joining executor may
/// still have a valid lease, so the executor gets no request until it has sent a report that was made
/// after that lease has certainly ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RegisteredExecutor {
    last_announcement: Announcement,
    is_leaving: bool,
    lease_until: Option<Millis>,
    /// Earliest echoed clock reading that ends the join: a report with this reading or a later one
    /// counts every request that a former home host sent.
    join_ends_at: Millis,
    has_joined: bool,
    in_flight: u32,
    /// Slots of requests of a former home host, and of requests whose connection ended without a
    /// complete response.
    unconfirmed: Vec<UnconfirmedSlot>,
    consecutive_failures: u32,
    avoided_until: Millis,
    last_granted_at: Millis,
    last_contact_at: Millis,
}

impl RegisteredExecutor {
    /// Registers an executor at its first announcement.
    pub fn new(announcement: Announcement, now: Millis, cfg: &RoutingConfig) -> Self {
        let mut executor = Self {
            is_leaving: announcement.leaving,
            last_announcement: announcement,
            lease_until: None,
            join_ends_at: now,
            has_joined: false,
            in_flight: 0,
            unconfirmed: Vec::new(),
            consecutive_failures: 0,
            avoided_until: Millis(0),
            last_granted_at: Millis(0),
            last_contact_at: now,
        };
        executor.start_join(now, cfg);
        executor
    }

    /// Applies a later announcement and renews the lease.
    ///
    /// `echoed_clock` is the echoed reading of this host's clock, if valid, and `running` is the list
    /// of running requests, if the executor sends one. An announcement of an earlier process is
    /// ignored. After one without a valid reading the executor has to join again, because it may have
    /// been registered with another home host in the meantime.
    pub fn announce(
        &mut self,
        announcement: Announcement,
        echoed_clock: Option<Millis>,
        running: Option<&RunningRequests>,
        now: Millis,
        cfg: &RoutingConfig,
    ) {
        if announcement.epoch < self.last_announcement.epoch {
            return;
        }
        if announcement.epoch > self.last_announcement.epoch {
            *self = Self::new(announcement, now, cfg);
            return;
        }
        // A delayed announcement from before the executor began to leave must not undo the leave.
        self.is_leaving |= announcement.leaving;
        self.last_contact_at = now;
        self.last_announcement = announcement;
        let Some(echoed_clock) = echoed_clock else {
            self.start_join(now, cfg);
            return;
        };
        let until = echoed_clock + cfg.executor_lease;
        self.lease_until = Some(self.lease_until.map_or(until, |old| old.max(until)));
        self.apply_report(echoed_clock, running);
    }

    /// Number of slots that new requests may use now.
    pub fn free_slots(&self, now: Millis) -> u32 {
        if !self.accepts_requests(now) {
            return 0;
        }
        self.usable_slots().saturating_sub(self.used_slots())
    }

    /// Assigns a slot to a request; false if none is free.
    pub fn acquire_slot(&mut self, now: Millis) -> bool {
        if self.free_slots(now) == 0 {
            return false;
        }
        self.in_flight += 1;
        self.last_granted_at = now;
        true
    }

    /// Ends the request with this number and releases its slot, unless the request may still run.
    pub fn release_slot(
        &mut self,
        request_number: u64,
        end: RequestEnd,
        now: Millis,
        cfg: &RoutingConfig,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            RequestEnd::Answered => self.consecutive_failures = 0,
            RequestEnd::NotSent => {}
            RequestEnd::AnsweredFailure => self.record_failure(1, now, cfg),
            RequestEnd::Unreachable => self.record_failure(MAX_CONSECUTIVE_FAILURES, now, cfg),
            RequestEnd::Lost => {
                self.unconfirmed.push(UnconfirmedSlot {
                    since: now,
                    request_number: Some(request_number),
                });
                self.record_failure(1, now, cfg);
            }
        }
    }

    /// Whether the executor may get new requests, provided that a slot is free.
    pub fn accepts_requests(&self, now: Millis) -> bool {
        self.may_send(now) && now >= self.avoided_until
    }

    /// Whether a request that holds a slot may still be sent now.
    pub fn may_send(&self, now: Millis) -> bool {
        self.has_joined && !self.is_leaving && self.has_lease(now)
    }

    /// Whether the lease of the executor is valid.
    pub fn has_lease(&self, now: Millis) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Whether the executor has announced that it is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Whether the join is complete: reports count every request that a former home host sent.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Number of slots that are or may be in use.
    pub fn used_slots(&self) -> u32 {
        self.in_flight + self.unconfirmed.len() as u32
    }

    /// Number of requests that this home host has assigned a slot and that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of requests that can run at a time; each needs a slot and a connection.
    pub fn usable_slots(&self) -> u32 {
        self.last_announcement
            .slots
            .min(self.last_announcement.connections)
    }

    /// Latest announcement of the executor.
    pub fn last_announcement(&self) -> &Announcement {
        &self.last_announcement
    }

    /// Time of the last grant; spreads requests evenly among equally loaded executors.
    pub(crate) fn last_granted_at(&self) -> Millis {
        self.last_granted_at
    }

    /// Whether the executor has been silent for a long time and no request of this home host is in
    /// flight.
    pub(crate) fn is_removable(&self, now: Millis, cfg: &RoutingConfig) -> bool {
        self.in_flight == 0 && now.since(self.last_contact_at) > cfg.forget_after
    }

    fn start_join(&mut self, now: Millis, cfg: &RoutingConfig) {
        self.lease_until = None;
        self.has_joined = false;
        self.join_ends_at = now + cfg.join_delay;
    }

    /// Updates the unconfirmed slots from a report of the requests that run in the executor. The
    /// report was made after this host's clock reading `echoed_clock`.
    fn apply_report(&mut self, echoed_clock: Millis, running: Option<&RunningRequests>) {
        if !self.has_joined {
            // Lost requests of this home host are kept by number, so that the count of other requests
            // cannot free their slots.
            self.unconfirmed
                .retain(|slot| slot.request_number.is_some());
            let others = running.map_or(self.last_announcement.busy, |running| running.others);
            self.unconfirmed
                .extend(former_home_slots(self.join_ends_at, others));
            self.has_joined = echoed_clock >= self.join_ends_at;
            return;
        }
        // A report cannot free slots that became unconfirmed after the clock reading or in the same
        // millisecond: their requests may have reached the executor after the report was made.
        let (mut known, later) = std::mem::take(&mut self.unconfirmed)
            .into_iter()
            .partition::<Vec<_>, _>(|slot| slot.since < echoed_clock);
        known.sort_unstable();
        if let Some(running) = running {
            let mut others = running.others;
            known.retain(|slot| match slot.request_number {
                Some(number) => running.own.contains(&number),
                None => others.checked_sub(1).is_some_and(|left| {
                    others = left;
                    true
                }),
            });
        } else {
            // `busy` counts every slot that became unconfirmed before the reading and is still in use.
            let ended = known
                .len()
                .saturating_sub(self.last_announcement.busy as usize);
            known.drain(..ended);
        }
        known.extend(later);
        self.unconfirmed = known;
    }

    fn record_failure(&mut self, weight: u32, now: Millis, cfg: &RoutingConfig) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(weight);
        if self.consecutive_failures < MAX_CONSECUTIVE_FAILURES {
            return;
        }
        let doublings = (self.consecutive_failures / MAX_CONSECUTIVE_FAILURES - 1).min(16);
        let avoidance = (cfg.avoidance_min.0 << doublings).min(cfg.avoidance_max.0);
        self.avoided_until = now + Millis(avoidance);
    }
}

/// Slots that requests of a former home host may use. The former home host sends no request from
/// `join_ends_at` on, so every later report is an upper bound.
fn former_home_slots(join_ends_at: Millis, busy: u32) -> Vec<UnconfirmedSlot> {
    let slot = UnconfirmedSlot {
        since: Millis(join_ends_at.0.saturating_sub(1)),
        request_number: None,
    };
    vec![slot; busy as usize]
}
