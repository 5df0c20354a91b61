use tarragon_names::Millis;

use crate::{parse, section::Section};

macro_rules! timing {
    ($($(#[$doc:meta])* $name:ident, $key:literal, $default:literal;)*) => {
        /// Intervals, leases and timeouts of the protocols. The defaults are the constants of the design.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub struct Timing {
            $($(#[$doc])* pub $name: Millis,)*
        }

        impl Default for Timing {
            fn default() -> Self {
                Self { $($name: Millis($default),)* }
            }
        }

        impl Timing {
            fn parse(section: &Section<'_>) -> Self {
                Self {
                    $($name: Millis(section.or_default($key, $default, parse::number(1, MAX_TIME_MS))),)*
                }
            }
        }
    };
}

/// One day. A longer time is probably given in the wrong unit.
const MAX_TIME_MS: u64 = 24 * 3_600 * 1_000;

/// Time within which no more requests may be sent to an executor that leaves (guarantee P6 of the
/// design).
const MAX_EXECUTOR_REMOVAL_TIME: Millis = Millis(3_000);

/// Time within which a change of the catalogue must apply on all hosts (guarantee P8 of the design).
const MAX_CATALOGUE_CHANGE_TIME: Millis = Millis(5_000);

/// Time within which the cell must recover from the death of the leader's host.
const MAX_LEADER_RECOVERY_TIME: Millis = Millis(5_000);

timing! {
    /// Interval between two heartbeats on a connection.
    link_heartbeat_interval, "link_beat_ms", 1_000;
    /// Time without received bytes after which a connection is closed.
    link_silence_timeout, "link_silent_ms", 2_500;
    /// Time for which new connections to a host must have failed before the host is considered dead.
    host_dead_after, "host_dead_ms", 3_000;
    /// Interval between two heartbeats of the leader to the other replicas.
    heartbeat_interval, "heartbeat_ms", 150;
    /// Minimum time without a leader before a replica starts an election.
    election_min, "election_min_ms", 1_000;
    /// Maximum time without a leader before a replica starts an election.
    election_max, "election_max_ms", 2_000;
    /// Time for which the leader may serve reads after it sent a heartbeat that a majority answered.
    leader_lease, "leader_lease_ms", 800;
    /// Interval between two polls of the catalogue.
    catalogue_poll_interval, "freshness_beat_ms", 500;
    /// Time for which a host may decide from its copy of the catalogue after a poll.
    freshness_lease, "freshness_lease_ms", 2_500;
    /// Interval between two heartbeats of a worker.
    worker_heartbeat_interval, "worker_beat_ms", 1_000;
    /// Time for which a worker may run tasks after it sent a heartbeat that was answered.
    worker_lease, "worker_lease_ms", 10_000;
    /// Interval between two announcements of an executor. Executors do not read this setting; it is
    /// the interval that the other times are checked against.
    executor_announcement_interval, "executor_beat_ms", 500;
    /// Time for which the home host may send requests to an executor after an announcement.
    executor_lease, "executor_lease_ms", 1_500;
    /// Interval between two checks whether to send a load summary to the other hosts.
    load_summary_interval, "load_beat_ms", 200;
    /// Timeout of a write to the replicated log.
    propose_timeout, "propose_timeout_ms", 4_000;
    /// Time after the stop signal for which new requests are still accepted.
    drain_grace, "drain_grace_ms", 1_500;
    /// Maximum time from the stop signal to the exit of the process.
    drain_max, "drain_max_ms", 30_000;
    /// Time without contact to a voter after which the leader replaces it by a learner.
    replace_after, "replace_after_ms", 60_000;
}

impl Timing {
    pub(crate) fn read(section: &Section<'_>) -> Self {
        let timing = Self::parse(section);
        timing.check(section);
        timing
    }

    fn check(&self, section: &Section<'_>) {
        let require = |is_met: bool, key: &str, cause: &str| {
            if !is_met {
                section.add_error(key, cause);
            }
        };
        let multiple = |time: Millis, n: u64| Millis(time.0 * n);
        // Lease plus 1% clock drift, without the margin for the granularity of timers.
        let with_drift = |time: Millis| Millis(time.0 + time.0.div_ceil(100));

        require(
            multiple(self.link_heartbeat_interval, 2) <= self.link_silence_timeout,
            "link_silent_ms",
            "must be at least twice link_beat_ms",
        );
        require(
            self.link_silence_timeout < self.host_dead_after,
            "host_dead_ms",
            "must be above link_silent_ms",
        );
        require(
            multiple(self.heartbeat_interval, 3) <= self.election_min,
            "election_min_ms",
            "must be at least three times heartbeat_ms",
        );
        require(
            self.election_min < self.election_max,
            "election_max_ms",
            "must be above election_min_ms",
        );
        require(
            multiple(self.election_max, 2) < MAX_LEADER_RECOVERY_TIME,
            "election_max_ms",
            "must be below 2500, so that two elections end within 5 s",
        );
        require(
            with_drift(self.leader_lease) < self.election_min,
            "leader_lease_ms",
            "must be below election_min_ms by at least 1%",
        );
        require(
            multiple(self.catalogue_poll_interval, 2) <= self.freshness_lease,
            "freshness_lease_ms",
            "must be at least twice freshness_beat_ms",
        );
        require(
            self.freshness_lease.with_clock_margin() + self.catalogue_poll_interval
                <= MAX_CATALOGUE_CHANGE_TIME,
            "freshness_lease_ms",
            "must end, with drift, margin and one poll, within 5000",
        );
        require(
            multiple(self.worker_heartbeat_interval, 3) <= self.worker_lease,
            "worker_lease_ms",
            "must be at least three times worker_beat_ms",
        );
        require(
            multiple(self.executor_announcement_interval, 2) <= self.executor_lease,
            "executor_lease_ms",
            "must be at least twice executor_beat_ms",
        );
        require(
            self.executor_lease + self.executor_announcement_interval < MAX_EXECUTOR_REMOVAL_TIME,
            "executor_lease_ms",
            "must end, with one announcement, within 3000",
        );
        require(
            multiple(self.heartbeat_interval, 2) <= self.propose_timeout,
            "propose_timeout_ms",
            "must be at least twice heartbeat_ms",
        );
        require(
            self.executor_announcement_interval <= self.drain_grace,
            "drain_grace_ms",
            "must be at least executor_beat_ms, so that each executor learns of the stop",
        );
        require(
            self.drain_grace < self.drain_max,
            "drain_max_ms",
            "must be above drain_grace_ms",
        );
    }
}
