use tarragon_names::Millis;

use crate::{Announcement, RequestEnd, RoutingConfig, Running, routing_config::AVOID_AFTER};

/// A slot that was given up but may still be in use.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Detached {
    /// When it was given up; only a report made later can show that it is free.
    at: Millis,
    /// Request of this home, or `None` for one of a former home.
    number: Option<u64>,
}

/// An executor as its home host counts it.
///
/// Only the home sends to an executor. A newcomer may have a former home whose lease still runs, so
/// it gets nothing before a report that was made after that lease has certainly ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RegisteredExecutor {
    last: Announcement,
    leaving: bool,
    lease_until: Option<Millis>,
    /// Earliest echoed reading whose report counts everything that a former home sent.
    settles_at: Millis,
    settled: bool,
    in_flight: u32,
    /// Slots of a former home, and of requests whose connection ended without a whole answer.
    detached: Vec<Detached>,
    failures: u32,
    avoided_until: Millis,
    used_at: Millis,
    heard_at: Millis,
}

impl RegisteredExecutor {
    /// An executor that announces itself for the first time.
    pub fn new(announcement: Announcement, now: Millis, cfg: &RoutingConfig) -> Self {
        let mut executor = Self {
            leaving: announcement.leaving,
            last: announcement,
            lease_until: None,
            settles_at: now,
            settled: false,
            in_flight: 0,
            detached: Vec::new(),
            failures: 0,
            avoided_until: Millis(0),
            used_at: Millis(0),
            heard_at: now,
        };
        executor.join(now, cfg);
        executor
    }

    /// Takes a later announcement; `echo` is this host's reading that it echoes, if it is valid, and
    /// `running` its list of requests, if it has one.
    ///
    /// An announcement of an earlier process changes nothing. One without an echo makes the executor
    /// a newcomer again, since it may have been at another home in between.
    pub fn announce(
        &mut self,
        announcement: Announcement,
        echo: Option<Millis>,
        running: Option<&Running>,
        now: Millis,
        cfg: &RoutingConfig,
    ) {
        if announcement.epoch < self.last.epoch {
            return;
        }
        if announcement.epoch > self.last.epoch {
            *self = Self::new(announcement, now, cfg);
            return;
        }
        // A delayed announcement from before the leave must not undo it.
        self.leaving |= announcement.leaving;
        self.heard_at = now;
        self.last = announcement;
        let Some(echo) = echo else {
            self.join(now, cfg);
            return;
        };
        let until = echo + cfg.executor_lease;
        self.lease_until = Some(self.lease_until.map_or(until, |old| old.max(until)));
        self.report(echo, running);
    }

    /// Slots that a new request may take.
    pub fn free(&self, now: Millis) -> u32 {
        if !self.open(now) {
            return 0;
        }
        self.usable().saturating_sub(self.taken())
    }

    /// Takes a slot, if one is free.
    pub fn take(&mut self, now: Millis) -> bool {
        if self.free(now) == 0 {
            return false;
        }
        self.in_flight += 1;
        self.used_at = now;
        true
    }

    /// Ends the request with this number, which had taken a slot.
    pub fn finish(&mut self, number: u64, end: RequestEnd, now: Millis, cfg: &RoutingConfig) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            RequestEnd::Answered => self.failures = 0,
            RequestEnd::NotSent => {}
            RequestEnd::AnsweredFailure => self.failed(1, now, cfg),
            RequestEnd::Unreachable => self.failed(AVOID_AFTER, now, cfg),
            RequestEnd::Lost => {
                self.detached.push(Detached {
                    at: now,
                    number: Some(number),
                });
                self.failed(1, now, cfg);
            }
        }
    }

    /// Tells whether the executor may get new requests, apart from free slots.
    pub fn open(&self, now: Millis) -> bool {
        self.may_send(now) && now >= self.avoided_until
    }

    /// Tells whether a request that holds a slot may still be sent now.
    pub fn may_send(&self, now: Millis) -> bool {
        self.settled && !self.leaving && self.leased(now)
    }

    /// Tells whether its lease runs.
    pub fn leased(&self, now: Millis) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Tells whether it leaves.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Tells whether reports cover all that a former home may have sent.
    pub fn settled(&self) -> bool {
        self.settled
    }

    /// Slots that are or may be in use.
    pub fn taken(&self) -> u32 {
        self.in_flight + self.detached.len() as u32
    }

    /// Requests of this home that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots that can be used: a request needs a slot and a connection.
    pub fn usable(&self) -> u32 {
        self.last.slots.min(self.last.connections)
    }

    /// Last announcement.
    pub fn last(&self) -> &Announcement {
        &self.last
    }

    /// Time of the last grant, for an even spread among equals.
    pub(crate) fn used_at(&self) -> Millis {
        self.used_at
    }

    /// Tells whether nothing was heard of it for long and nothing of this home runs in it.
    pub(crate) fn forgettable(&self, now: Millis, cfg: &RoutingConfig) -> bool {
        self.in_flight == 0 && now.since(self.heard_at) > cfg.forget_after
    }

    fn join(&mut self, now: Millis, cfg: &RoutingConfig) {
        self.lease_until = None;
        self.settled = false;
        self.settles_at = now + cfg.join_delay;
    }

    /// Takes the requests that run in the executor, counted after this host's reading `echo`.
    fn report(&mut self, echo: Millis, running: Option<&Running>) {
        if !self.settled {
            // Own lost requests stay listed by number, so that a list of the others cannot free them.
            self.detached.retain(|slot| slot.number.is_some());
            let others = running.map_or(self.last.busy, |running| running.others);
            self.detached.extend(former(self.settles_at, others));
            self.settled = echo >= self.settles_at;
            return;
        }
        // A report says nothing about slots given up after the reading, or in the same millisecond:
        // their requests may have arrived after it was made.
        let (mut known, later) = std::mem::take(&mut self.detached)
            .into_iter()
            .partition::<Vec<_>, _>(|slot| slot.at < echo);
        known.sort_unstable();
        if let Some(running) = running {
            let mut others = running.others;
            known.retain(|slot| match slot.number {
                Some(number) => running.own.contains(&number),
                None => others.checked_sub(1).is_some_and(|left| {
                    others = left;
                    true
                }),
            });
        } else {
            // Slots given up before the reading are among the busy ones, or free.
            let ended = known.len().saturating_sub(self.last.busy as usize);
            known.drain(..ended);
        }
        known.extend(later);
        self.detached = known;
    }

    fn failed(&mut self, weight: u32, now: Millis, cfg: &RoutingConfig) {
        self.failures = self.failures.saturating_add(weight);
        if self.failures < AVOID_AFTER {
            return;
        }
        let doublings = (self.failures / AVOID_AFTER - 1).min(16);
        let pause = (cfg.avoid_first.0 << doublings).min(cfg.avoid_max.0);
        self.avoided_until = now + Millis(pause);
    }
}

/// Slots that a former home may use. It adds none from `settles_at` on, so that every report made
/// since then bounds them.
fn former(settles_at: Millis, busy: u32) -> Vec<Detached> {
    let slot = Detached {
        at: Millis(settles_at.0.saturating_sub(1)),
        number: None,
    };
    vec![slot; busy as usize]
}
