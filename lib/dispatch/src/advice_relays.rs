use std::collections::BTreeMap;

use tarragon_names::{HostName, Millis};

/// Requests of at least this duration may not use the first third of the relays.
pub(crate) const LONG_REQUEST: Millis = Millis(300);

/// Requests of at least this duration may not use the relays reserved for short requests.
const MEDIUM_REQUEST: Millis = Millis(60);

/// Time for which a relay is not used after a request without an answer.
const FAILED_RELAY_PAUSE: Millis = Millis(1_000);

/// One in this many relays is reserved for steps without any advice yet.
const RESERVE_DIVISOR: usize = 4;

#[derive(Clone, Copy, Debug)]
struct AdviceRelay {
    last_seen_at: Millis,
    open_request: Option<u64>,
    /// No request is sent before this time.
    not_before: Millis,
}

impl AdviceRelay {
    fn is_idle(&self, now: Millis) -> bool {
        self.open_request.is_none() && self.not_before <= now
    }
}

/// Hosts through which advice is requested, with one request at a time each.
///
/// The advice service handles the requests of one host in turn, so a long request delays the short
/// ones behind it. Long requests use the last two thirds of the hosts, and a quarter is reserved
/// for short requests.
#[derive(Clone, Debug, Default)]
pub struct AdviceRelays {
    /// Large hosts sort first, so that short requests use them: on a small host, relaying takes
    /// longer than a short request itself.
    relays: BTreeMap<(bool, HostName), AdviceRelay>,
}

impl AdviceRelays {
    /// Adds a host that can relay requests, or updates the time at which it was last seen.
    pub fn host_seen(&mut self, host: &HostName, is_large: bool, now: Millis) {
        let relay = AdviceRelay {
            last_seen_at: now,
            open_request: None,
            not_before: now,
        };
        let key = (!is_large, host.clone());
        self.relays.entry(key).or_insert(relay).last_seen_at = now;
    }

    /// Removes a host that is stopping.
    pub fn host_stopped(&mut self, host: &HostName) {
        self.relays.retain(|(_, known), _| known != host);
    }

    /// Removes hosts that were not seen for `silence_limit`.
    pub fn forget(&mut self, now: Millis, silence_limit: Millis) {
        self.relays
            .retain(|_, relay| now.since(relay.last_seen_at) < silence_limit);
    }

    /// Picks an idle relay for a request of the expected duration and marks it as used by
    /// `request_id`.
    pub fn acquire(&mut self, duration: Millis, request_id: u64, now: Millis) -> Option<HostName> {
        let first = self.first_relay_for(duration);
        let ((_, host), relay) = self
            .relays
            .iter_mut()
            .skip(first)
            .find(|(_, relay)| relay.is_idle(now))?;
        relay.open_request = Some(request_id);
        Some(host.clone())
    }

    /// Returns whether a relay is idle for a request of the expected duration.
    pub fn has_idle_relay(&self, duration: Millis, now: Millis) -> bool {
        let mut relays = self.relays.values().skip(self.first_relay_for(duration));
        relays.any(|relay| relay.is_idle(now))
    }

    /// Returns whether enough relays are idle that one may be used for a request that can wait.
    pub fn has_free_relay(&self, duration: Millis, now: Millis) -> bool {
        let relays = self.relays.values().skip(self.first_relay_for(duration));
        let (mut all, mut idle) = (0, 0);
        for relay in relays {
            all += 1;
            idle += usize::from(relay.is_idle(now));
        }
        idle * RESERVE_DIVISOR > all
    }

    /// Number of relays reserved for shorter requests.
    fn first_relay_for(&self, duration: Millis) -> usize {
        let count = self.relays.len();
        if duration >= LONG_REQUEST {
            // Of nine relays, four are reserved for shorter requests.
            (count / 3).max((count / 2).min(4))
        } else if duration >= MEDIUM_REQUEST {
            count / 4
        } else {
            0
        }
    }

    /// Frees the relay of a finished request. A relay whose request got no answer is not used for a
    /// while, since its host may be gone.
    pub fn release(&mut self, request_id: u64, was_answered: bool, now: Millis) {
        for relay in self.relays.values_mut() {
            if relay.open_request == Some(request_id) {
                relay.open_request = None;
                if !was_answered {
                    relay.not_before = now + FAILED_RELAY_PAUSE;
                }
            }
        }
    }
}
