use std::time::Duration;

use tarragon_agreement::Config;
use tarragon_dispatch::DispatchConfig;
use tarragon_names::Millis;
use tarragon_replica::LinkTiming;

/// Bounds that the platform promises or demands, from which all times are derived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Time without disruption after which a host must keep every bound again.
    pub contact: Millis,
    /// Longest lease of a worker.
    pub max_hold: Millis,
    /// Time in which a stopped run ends.
    pub stop: Millis,
    /// Time for which the state of an ended job can be asked for.
    pub status: Millis,
    /// Time from the announcement of a stop to the kill.
    pub grace: Millis,
    /// Time between two heartbeats of a worker.
    pub heartbeat: Millis,
    /// Time for which a machine is down for its upkeep.
    pub upkeep: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            contact: Millis(3_000),
            max_hold: Millis(10_000),
            stop: Millis(900),
            status: Millis(120_000),
            grace: Millis(6_000),
            heartbeat: Millis(1_500),
            upkeep: Millis(2_000),
        }
    }
}

/// Times of an entry host; docs/design/platform.md adds them up beside the bounds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryTiming {
    /// The bounds that they come from.
    pub bounds: Bounds,
}

impl EntryTiming {
    /// Times of the agreement.
    pub fn agreement(&self) -> Config {
        let contact = self.bounds.contact.0;
        Config {
            heartbeat_interval: Millis(contact / 20),
            election_min: Millis(contact / 4),
            election_max: Millis(contact / 2),
            leader_lease: Millis(contact / 5),
            catch_up_timeout: Millis(contact),
            snapshot_retry: Millis(contact),
            ..Config::default()
        }
    }

    /// Times of the links between hosts.
    pub fn links(&self) -> LinkTiming {
        let contact = self.bounds.contact.0;
        LinkTiming {
            heartbeat_interval: Duration::from_millis(contact / 10),
            silence_timeout: Duration::from_millis(contact * 3 / 10),
        }
    }

    /// Times of the dispatcher.
    pub fn dispatch(&self) -> DispatchConfig {
        let max_hold = self.bounds.max_hold;
        DispatchConfig {
            lease: Millis(max_hold.0 * 8 / 10),
            longest_lease: max_hold,
            stop_time: self.bounds.stop,
            remove_after: Millis(self.bounds.heartbeat.0 * 6),
            relay_silence_limit: self.bounds.contact,
            ..DispatchConfig::default()
        }
    }

    /// Silence after which a voter is replaced by a learner.
    pub fn replace_after(&self) -> Millis {
        Millis(self.bounds.contact.0 * 3 / 4)
    }

    /// Time between two announcements of a host to the leader.
    pub fn hello(&self) -> Duration {
        Duration::from_millis(self.bounds.contact.0 / 8)
    }

    /// Time without an answer of the leader after which a host is not ready.
    pub fn ready(&self) -> Duration {
        Duration::from_millis(self.bounds.contact.0 / 2)
    }

    /// Time that one try of a call to the leader may take.
    pub fn call_try(&self) -> Duration {
        Duration::from_millis(self.bounds.contact.0 / 3)
    }

    /// Time for which a request waits for a leader before it is refused as not run.
    pub fn leader_wait(&self) -> Duration {
        Duration::from_millis(self.bounds.contact.0 / 10)
    }

    /// Time for which an ended job is remembered in milliseconds: as long as it may be asked for,
    /// and once more for resends.
    pub fn kept_ms(&self) -> u64 {
        self.bounds.status.0 * 2
    }

    /// Time from the announcement of a stop to the end of the listeners: the balancer needs two
    /// failed checks, one a second, to leave the host out.
    pub fn drain(&self) -> Duration {
        Duration::from_millis((self.bounds.grace.0 / 2).min(2_500))
    }

    /// Time that requests in flight have after that.
    pub fn drain_max(&self) -> Duration {
        Duration::from_millis(self.bounds.grace.0 / 4)
    }
}
