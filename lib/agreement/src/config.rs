use tarragon_names::Millis;

/// Timeouts and limits of a replica.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Config {
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Millis,
    /// Minimum time without contact with a leader before a replica starts an election or grants a
    /// vote.
    pub election_min: Millis,
    /// Maximum time without contact with a leader before a replica starts an election. A leader
    /// without contact with a majority for this time steps down.
    pub election_max: Millis,
    /// Duration of the lease for reads; it starts when a heartbeat is sent that a majority answers.
    ///
    /// The lease has to end before a follower may vote for another candidate. Clocks may drift by
    /// 1%, so the lease must be shorter than `election_min` by more than that.
    pub leader_lease: Millis,
    /// Maximum number of entries in one message.
    pub max_batch_entries: usize,
    /// Total size of the records at which a message is full; its last record may exceed this size.
    pub max_batch_bytes: usize,
    /// Maximum number of unanswered messages with entries to each member.
    pub max_in_flight_messages: usize,
    /// Number of uncommitted entries above which proposals are refused.
    pub max_uncommitted_entries: u64,
    /// Total size of the records of uncommitted entries above which proposals are refused, in bytes. A
    /// batch is accepted at any size if no other entry is uncommitted.
    pub max_uncommitted_bytes: usize,
    /// Number of entries kept before the index of a snapshot, so that a slightly slow follower does
    /// not need the snapshot.
    pub keep_entries: u64,
    /// Total size of the records of these entries, in bytes.
    pub keep_bytes: usize,
    /// Time after which an unanswered snapshot is sent again.
    pub snapshot_retry: Millis,
    /// Time for a learner to reach the commit index before its promotion is refused.
    pub catch_up_timeout: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat_interval: Millis(150),
            election_min: Millis(1_000),
            election_max: Millis(2_000),
            leader_lease: Millis(800),
            max_batch_entries: 1_024,
            max_batch_bytes: 256 * 1_024,
            max_in_flight_messages: 8,
            max_uncommitted_entries: 65_536,
            max_uncommitted_bytes: 8 << 20,
            keep_entries: 1_000,
            keep_bytes: 4 << 20,
            snapshot_retry: Millis(10_000),
            catch_up_timeout: Millis(30_000),
        }
    }
}
