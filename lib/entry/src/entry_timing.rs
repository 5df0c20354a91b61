use std::time::Duration;

use tarragon_agreement::Config;
use tarragon_delivery::DeliveryLimits;
use tarragon_discovery::CallTimes;
use tarragon_dispatch::DispatchConfig;
use tarragon_names::Millis;
use tarragon_replica::LinkTiming;

/// Delay between two attempts to reach the leader.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Bounds that the platform guarantees or requires; all other times are derived from them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Time after the end of a disruption within which a host must meet all bounds again.
    pub recovery_time: Millis,
    /// Longest lease that a worker may be granted.
    pub max_worker_lease: Millis,
    /// Time within which a run certainly ends after a stop order.
    pub run_stop_time: Millis,
    /// Time for which callers may ask for the state of an ended job.
    pub job_status_retention: Millis,
    /// Time from the platform's announcement that a host is to stop until its process is killed.
    pub shutdown_grace: Millis,
    /// Interval between two heartbeats of a worker.
    pub heartbeat_interval: Millis,
    /// Time for which a machine is down during its upkeep.
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

/// Intervals and timeouts of an entry host; docs/design/platform.md shows that they meet the
/// bounds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryTiming {
    /// Bounds that the times are derived from.
    pub bounds: Bounds,
}

impl EntryTiming {
    /// Returns the settings of the agreement among the replicas.
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

    /// Returns the timing of the links between hosts.
    pub fn link_timing(&self) -> LinkTiming {
        let recovery = self.bounds.recovery_time.0;
        LinkTiming {
            heartbeat_interval: Duration::from_millis(recovery / 10),
            silence_timeout: Duration::from_millis(recovery * 3 / 10),
        }
    }

    /// Returns the settings of the dispatcher.
    pub fn dispatch_config(&self) -> DispatchConfig {
        DispatchConfig {
            lease: Millis(self.bounds.max_worker_lease.0 * 8 / 10),
            max_lease: self.bounds.max_worker_lease,
            stop_time: self.bounds.run_stop_time,
            remove_after: Millis(self.bounds.heartbeat_interval.0 * 6),
            relay_silence_limit: self.bounds.recovery_time,
            ..DispatchConfig::default()
        }
    }

    /// Returns the settings of the choice of the hosts that deliver orders.
    pub fn delivery_limits(&self) -> DeliveryLimits {
        DeliveryLimits {
            silence_limit: self.bounds.recovery_time,
            ..DeliveryLimits::default()
        }
    }

    /// Returns the time after which a host passes the heartbeat of a worker on to the leader although
    /// nothing has changed: half of the silence after which the leader removes the worker.
    pub fn heartbeat_refresh(&self) -> Millis {
        Millis(self.dispatch_config().remove_after.0 / 2)
    }

    /// Returns the silence after which a voter is replaced by a learner.
    pub fn replace_after(&self) -> Millis {
        Millis(self.bounds.recovery_time.0 * 3 / 4)
    }

    /// Returns the interval at which a host announces itself to the leader.
    pub fn hello_interval(&self) -> Duration {
        Duration::from_millis(self.bounds.recovery_time.0 / 8)
    }

    /// Returns the time since the last answer of the leader after which a host is not ready.
    pub fn leader_silence_limit(&self) -> Duration {
        Duration::from_millis(self.bounds.recovery_time.0 / 2)
    }

    /// Returns the timeout of one attempt to call the leader, and of a commit on the leader.
    pub fn call_attempt_timeout(&self) -> Duration {
        Duration::from_millis(self.bounds.recovery_time.0 / 3)
    }

    /// Returns the times of a request to the leader that ends within `timeout`.
    pub fn leader_call_times(&self, timeout: Duration) -> CallTimes {
        CallTimes {
            timeout,
            attempt_timeout: self.call_attempt_timeout(),
            max_leader_wait: self.max_leader_wait(),
            retry_delay: LEADER_RETRY_DELAY,
        }
    }

    /// Returns the time for which a request that certainly was not run waits for a leader before it
    /// is refused.
    pub fn max_leader_wait(&self) -> Duration {
        Duration::from_millis(self.bounds.recovery_time.0 / 10)
    }

    /// Returns the time in milliseconds for which an ended job is kept: as long as callers may ask
    /// for its state, and as long again for resent requests.
    pub fn ended_job_retention_ms(&self) -> u64 {
        self.bounds.job_status_retention.0 * 2
    }

    /// Returns the time from the announcement of a stop until the listeners are closed: the load
    /// balancer stops sending requests to the host after two failed checks, one per second.
    pub fn listener_drain_time(&self) -> Duration {
        Duration::from_millis((self.bounds.shutdown_grace.0 / 2).min(2_500))
    }

    /// Returns the time that requests in flight have to finish after the listeners are closed.
    pub fn max_request_drain_time(&self) -> Duration {
        Duration::from_millis(self.bounds.shutdown_grace.0 / 4)
    }
}
