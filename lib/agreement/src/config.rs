use tarragon_names::Millis;

/// Times and bounds of a replica.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Config {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Millis,
    /// Least time without a leader before a replica stands for election or grants a vote.
    pub election_min: Millis,
    /// Greatest time without a leader before a replica stands for election.
    pub election_max: Millis,
    /// Time after the sending of a heartbeat during which a majority's answer permits reads.
    ///
    /// It has to end before a follower may vote, so with a clock drift of 1% it must be shorter
    /// than `election_min` by more than that.
    pub leader_lease: Millis,
    /// Most entries in one message.
    pub batch_entries: usize,
    /// Size of the records in one message after which no further entry is added.
    pub batch_bytes: usize,
    /// Messages with entries that may be unanswered for each member.
    pub window: usize,
    /// Uncommitted entries above which proposals are refused.
    pub uncommitted: u64,
    /// Entries kept behind a snapshot, so that a slightly slow follower does not need it.
    pub keep_entries: u64,
    /// Time after which a snapshot that was not answered is sent again.
    pub snapshot_retry: Millis,
    /// Time that a learner has to reach the commit index before its promotion is refused.
    pub catch_up: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat: Millis(150),
            election_min: Millis(1_000),
            election_max: Millis(2_000),
            leader_lease: Millis(800),
            batch_entries: 1_024,
            batch_bytes: 256 * 1_024,
            window: 8,
            uncommitted: 65_536,
            keep_entries: 1_000,
            snapshot_retry: Millis(10_000),
            catch_up: Millis(30_000),
        }
    }
}
