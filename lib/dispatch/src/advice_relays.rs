use std::collections::BTreeMap;

use tarragon_names::{HostName, Millis};

/// Length of a call above which it may not use the first third of the hosts.
pub(crate) const HEAVY_CALL: Millis = Millis(300);

/// Length of a call above which it may not use the hosts kept for short calls.
const MEDIUM_CALL: Millis = Millis(60);

/// Time for which a host is left alone whose call got no answer.
const FAILED_PAUSE: Millis = Millis(1_000);

/// One in so many hosts is kept for steps that were not asked about yet.
const SPARE_DIVISOR: usize = 4;

#[derive(Clone, Copy, Debug)]
struct Lane {
    seen: Millis,
    busy: Option<u64>,
    /// No call before this time.
    not_before: Millis,
}

impl Lane {
    fn is_idle(&self, now: Millis) -> bool {
        self.busy.is_none() && self.not_before <= now
    }
}

/// Hosts through which advice is asked, one call at a time each.
///
/// The service serves the calls of one host in turn, so a long call holds up the short ones behind
/// it. Long calls use the last two thirds of the hosts, and a quarter is kept for short calls.
#[derive(Clone, Debug, Default)]
pub struct AdviceRelays {
    /// The larger hosts come first: short calls use them, and a small host takes longer to pass a
    /// call on than the call itself takes.
    lanes: BTreeMap<(bool, HostName), Lane>,
}

impl AdviceRelays {
    /// Notes that a host can make calls.
    pub fn seen(&mut self, host: &HostName, is_large: bool, now: Millis) {
        let lane = Lane {
            seen: now,
            busy: None,
            not_before: now,
        };
        let key = (!is_large, host.clone());
        self.lanes.entry(key).or_insert(lane).seen = now;
    }

    /// Forgets a host that stops.
    pub fn stopped(&mut self, host: &HostName) {
        self.lanes.retain(|(_, known), _| known != host);
    }

    /// Forgets hosts that were not seen for `silent`.
    pub fn forget(&mut self, now: Millis, silent: Millis) {
        self.lanes.retain(|_, lane| now.since(lane.seen) < silent);
    }

    /// Takes an idle host for a call of the expected length.
    pub fn take(&mut self, length: Millis, ask: u64, now: Millis) -> Option<HostName> {
        let first = self.first_for(length);
        let ((_, host), lane) = self
            .lanes
            .iter_mut()
            .skip(first)
            .find(|(_, lane)| lane.is_idle(now))?;
        lane.busy = Some(ask);
        Some(host.clone())
    }

    /// Tells whether a call of the expected length would find an idle host.
    pub fn has_idle(&self, length: Millis, now: Millis) -> bool {
        let mut lanes = self.lanes.values().skip(self.first_for(length));
        lanes.any(|lane| lane.is_idle(now))
    }

    /// Tells whether so many hosts are idle for a call of the expected length that one may be used
    /// for a call that can wait.
    pub fn has_spare(&self, length: Millis, now: Millis) -> bool {
        let lanes = self.lanes.values().skip(self.first_for(length));
        let (mut all, mut idle) = (0, 0);
        for lane in lanes {
            all += 1;
            idle += usize::from(lane.is_idle(now));
        }
        idle * SPARE_DIVISOR > all
    }

    /// Number of hosts that are kept for shorter calls.
    fn first_for(&self, length: Millis) -> usize {
        let count = self.lanes.len();
        if length >= HEAVY_CALL {
            // Of nine hosts, four are kept for shorter calls.
            (count / 3).max((count / 2).min(4))
        } else if length >= MEDIUM_CALL {
            count / 4
        } else {
            0
        }
    }

    /// Gives back the host of a call that has ended; one that got no answer is left alone for a
    /// while, since its host may be gone.
    pub fn release(&mut self, ask: u64, was_answered: bool, now: Millis) {
        for lane in self.lanes.values_mut() {
            if lane.busy == Some(ask) {
                lane.busy = None;
                if !was_answered {
                    lane.not_before = now + FAILED_PAUSE;
                }
            }
        }
    }
}
