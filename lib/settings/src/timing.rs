use tarragon_names::Millis;

use crate::{parse, section::Section};

macro_rules! timing {
    ($($(#[$doc:meta])* $name:ident, $key:literal, $default:literal;)*) => {
        /// Times of the protocols; the defaults are the constants of the design.
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
                    $($name: Millis(section.or($key, $default, parse::number(1, LONGEST_MS))),)*
                }
            }
        }
    };
}

/// One day: a longer time is a slip of the unit.
const LONGEST_MS: u64 = 24 * 3_600 * 1_000;

/// Bound of promise P6 for a leaving executor.
const EXECUTOR_BOUND: Millis = Millis(3_000);

/// Bound of promise P8 for a catalogue change.
const CATALOGUE_BOUND: Millis = Millis(5_000);

/// Bound of the recovery from the death of the leading host.
const RECOVERY_BOUND: Millis = Millis(5_000);

timing! {
    /// Time between two heartbeats of a connection.
    link_heartbeat_interval, "link_beat_ms", 1_000;
    /// Time without a byte after which a connection is closed.
    link_silence_timeout, "link_silent_ms", 2_500;
    /// Time of failed new connections after which a host is declared dead.
    host_dead_after, "host_dead_ms", 3_000;
    /// Time between two heartbeats of a leader to the replicas.
    heartbeat_interval, "heartbeat_ms", 150;
    /// Least time without a leader before an election.
    election_min, "election_min_ms", 1_000;
    /// Most time without a leader before an election.
    election_max, "election_max_ms", 2_000;
    /// Time for which a leader may answer reads after a heartbeat that a majority answered.
    leader_lease, "leader_lease_ms", 800;
    /// Time between two polls of the catalogue.
    catalogue_poll_interval, "freshness_beat_ms", 500;
    /// Time for which a host decides from its copy of the catalogue after a poll.
    freshness_lease, "freshness_lease_ms", 2_500;
    /// Time between two heartbeats of a worker.
    worker_heartbeat_interval, "worker_beat_ms", 1_000;
    /// Time for which a worker may run tasks after a heartbeat that was answered.
    worker_lease, "worker_lease_ms", 10_000;
    /// Time between two announcements that executors keep; other times are checked against it.
    executor_announcement_interval, "executor_beat_ms", 500;
    /// Time for which a home host may send to an executor after an announcement.
    executor_lease, "executor_lease_ms", 1_500;
    /// Time between two load summaries.
    load_summary_interval, "load_beat_ms", 200;
    /// Time limit of a write to the replicated log.
    propose_timeout, "propose_timeout_ms", 4_000;
    /// Time from the signal to stop until no new request is taken.
    drain_grace, "drain_grace_ms", 1_500;
    /// Time from the signal to stop until the process ends.
    drain_max, "drain_max_ms", 30_000;
    /// Time after which the leader replaces a lost voter by a learner.
    replace_after, "replace_after_ms", 60_000;
}

impl Timing {
    pub(crate) fn read(section: &Section<'_>) -> Self {
        let timing = Self::parse(section);
        timing.check(section);
        timing
    }

    fn check(&self, section: &Section<'_>) {
        let rule = |holds: bool, key: &str, cause: &str| {
            if !holds {
                section.fault(key, cause);
            }
        };
        let times = |time: Millis, n: u64| Millis(time.0 * n);
        // A lease without the margin for the granularity of timers.
        let drifted = |time: Millis| Millis(time.0 + time.0.div_ceil(100));

        rule(
            times(self.link_heartbeat_interval, 2) <= self.link_silence_timeout,
            "link_silent_ms",
            "must be at least twice link_beat_ms",
        );
        rule(
            self.link_silence_timeout < self.host_dead_after,
            "host_dead_ms",
            "must be above link_silent_ms",
        );
        rule(
            times(self.heartbeat_interval, 3) <= self.election_min,
            "election_min_ms",
            "must be at least three times heartbeat_ms",
        );
        rule(
            self.election_min < self.election_max,
            "election_max_ms",
            "must be above election_min_ms",
        );
        rule(
            times(self.election_max, 2) < RECOVERY_BOUND,
            "election_max_ms",
            "must be below 2500, so that two elections end within 5 s",
        );
        rule(
            drifted(self.leader_lease) < self.election_min,
            "leader_lease_ms",
            "must be below election_min_ms by at least 1%",
        );
        rule(
            times(self.catalogue_poll_interval, 2) <= self.freshness_lease,
            "freshness_lease_ms",
            "must be at least twice freshness_beat_ms",
        );
        rule(
            self.freshness_lease.lease_end() + self.catalogue_poll_interval <= CATALOGUE_BOUND,
            "freshness_lease_ms",
            "must end, with drift, margin and one poll, within 5000",
        );
        rule(
            times(self.worker_heartbeat_interval, 3) <= self.worker_lease,
            "worker_lease_ms",
            "must be at least three times worker_beat_ms",
        );
        rule(
            times(self.executor_announcement_interval, 2) <= self.executor_lease,
            "executor_lease_ms",
            "must be at least twice executor_beat_ms",
        );
        rule(
            self.executor_lease + self.executor_announcement_interval < EXECUTOR_BOUND,
            "executor_lease_ms",
            "must end, with one announcement, within 3000",
        );
        rule(
            times(self.heartbeat_interval, 2) <= self.propose_timeout,
            "propose_timeout_ms",
            "must be at least twice heartbeat_ms",
        );
        rule(
            self.executor_announcement_interval <= self.drain_grace,
            "drain_grace_ms",
            "must be at least executor_beat_ms, so that each executor hears of the stop",
        );
        rule(
            self.drain_grace < self.drain_max,
            "drain_max_ms",
            "must be above drain_grace_ms",
        );
    }
}
