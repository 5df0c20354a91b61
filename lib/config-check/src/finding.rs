use tarragon_names::Millis;

/// An entry that has no effect, or a limit that contradicts another one.
///
/// Entries are named by their position in the list of queues, pools or teams of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Finding {
    /// No request has such a host name.
    UnmatchableHost {
        /// Queue with the host name.
        queue: usize,
    },
    /// No path of a job begins with such a prefix.
    UnmatchablePrefix {
        /// Queue with the prefix.
        queue: usize,
    },
    /// Longer prefixes on the same host take every path of a job.
    CoveredPrefix {
        /// Queue with the shorter prefix.
        queue: usize,
        /// Queue with one of the longer prefixes.
        by: usize,
    },
    /// No queue refers to the pool.
    UnusedPool {
        /// The pool.
        pool: usize,
    },
    /// Nobody can send requests for the team.
    TeamWithoutKeys {
        /// The team.
        team: usize,
    },
    /// No request can carry the key.
    UnmatchableKey {
        /// The team.
        team: usize,
        /// Position of the key in the operator's list.
        key: usize,
    },
    /// Every queue accepts requests without a key, so none requires the keys of the team.
    UnrequiredKeys {
        /// The team.
        team: usize,
    },
    /// A request that takes as long as the latency objective allows is past its time limit.
    TimeLimitBelowObjective {
        /// The queue.
        queue: usize,
        /// Time limit of a request.
        time_limit: Millis,
        /// Fixed part of the latency objective.
        objective: Millis,
    },
    /// A task may not run even once without failing its job.
    NoAttempts {
        /// The queue.
        queue: usize,
    },
    /// Advice for a single worker takes at least as long to arrive as it is valid.
    AdviceExpiresInTransit {
        /// The queue.
        queue: usize,
        /// Time until advice for one worker arrives, in microseconds.
        arrival_us: u64,
        /// Validity of advice.
        valid: Millis,
    },
    /// No team has a share of full workers.
    ZeroWeights,
    /// The version is not higher than the one in force, so the configuration would not replace it.
    VersionNotHigher {
        /// Version of the configuration.
        version: u64,
        /// Version in force.
        in_force: u64,
    },
}
