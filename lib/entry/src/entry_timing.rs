use std::time::Duration;

use tarragon_agreement::Config;
use tarragon_dispatch::DispatchConfig;
use tarragon_names::Millis;
use tarragon_replica::LinkTiming;

/// Bounds that the platform promises or demands, from which all times are derived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Time without disruption after which a host must keep every bound again.
    pub recovery_time: Millis,
    /// Longest lease of a worker.
    pub max_worker_lease: Millis,
    /// Time in which a stopped run ends.
    pub run_stop_time: Millis,
    /// Time for which the state of an ended job can be asked for.
    pub job_status_retention: Millis,
    /// Time from the announcement of a stop to the kill.
    pub shutdown_grace: Millis,
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Millis,
    /// Time for which a machine is down for its upkeep.
    pub machine_down_time: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            recovery_time: Millis(3_000),
            max_worker_lease: Millis(10_000),
            run_stop_time: Millis(900),
            job_status_retention: Millis(120_000),
            shutdown_grace: Millis(6_000),
            heartbeat_interval: Millis(1_500),
            machine_down_time: Millis(2_000),
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
    pub fn agreement_config(&self) -> Config {
        let recovery = self.bounds.recovery_time.0;
        Config {
            heartbeat_interval: Millis(recovery / 20),
            election_min: Millis(recovery / 4),
            election_max: Millis(recovery / 2),
            leader_lease: Millis(recovery / 5),
            catch_up_timeout: Millis(recovery),
            snapshot_retry: Millis(recovery),
            ..Config::default()
        }
    }

    /// Times of the links between hosts.
    pub fn link_timing(&self) -> LinkTiming {
        let recovery = self.bounds.recovery_time.0;
        LinkTiming {
            beat: Duration::from_millis(recovery / 10),
            silent: Duration::from_millis(recovery * 3 / 10),
        }
    }

    /// Times of the dispatcher.
    pub fn dispatch_config(&self) -> DispatchConfig {
        let max_lease = self.bounds.max_worker_lease;
        DispatchConfig {
            lease: Millis(max_lease.0 * 8 / 10),
            longest_lease: max_lease,
            stop_time: self.bounds.run_stop_time,
            remove_after: Millis(self.bounds.heartbeat_interval.0 * 6),
            relay_silence_limit: self.bounds.recovery_time,
            ..DispatchConfig::default()
        }
    }

    /// Silence after which a voter is replaced by a learner.
    pub fn replace_after(&self) -> Millis {
        Millis(self.bounds.recovery_time.0 * 3 / 4)
    }

    /// Time between two announcements of a host to the leader.
    pub fn hello_interval(&self) -> Duration {
        Duration::from_millis(self.bounds.recovery_time.0 / 8)
    }

    /// Time without an answer of the leader after which a host is not ready.
    pub fn leader_silence_limit(&self) -> Duration {
        Duration::from_millis(self.bounds.recovery_time.0 / 2)
    }

    /// Time that one try of a call to the leader may take.
    pub fn call_attempt_timeout(&self) -> Duration {
        Duration::from_millis(self.bounds.recovery_time.0 / 3)
    }

    /// Time for which a request waits for a leader before it is refused as not run.
    pub fn max_leader_wait(&self) -> Duration {
        Duration::from_millis(self.bounds.recovery_time.0 / 10)
    }

    /// Time for which an ended job is remembered in milliseconds: as long as it may be asked for,
    /// and once more for resends.
    pub fn ended_job_retention_ms(&self) -> u64 {
        self.bounds.job_status_retention.0 * 2
    }

    /// Time from the announcement of a stop to the end of the listeners: the balancer needs two
    /// failed checks, one a second, to leave the host out.
    pub fn listener_drain_time(&self) -> Duration {
        Duration::from_millis((self.bounds.shutdown_grace.0 / 2).min(2_500))
    }

    /// Time that requests in flight have after that.
    pub fn max_request_drain_time(&self) -> Duration {
        Duration::from_millis(self.bounds.shutdown_grace.0 / 4)
    }
}
