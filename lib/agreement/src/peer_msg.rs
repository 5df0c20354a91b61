use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tarragon_names::{LogIndex, Term};

use crate::{Entry, SnapshotMeta};

/// Message between replicas. `term` is the sender's current term, except in a pre-vote request and
/// in the reply that grants it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum PeerMsg {
    /// Requests a vote; with `is_pre_vote` set no vote is recorded and no term changes.
    Vote {
        /// Term that the candidate would lead.
        term: Term,
        /// Last index of the candidate's log.
        last_index: LogIndex,
        /// Term of the entry at `last_index`.
        last_term: Term,
        /// Whether this is a pre-vote.
        is_pre_vote: bool,
        /// Whether the leader asked the candidate to start the election. Voters then grant the vote
        /// even if they had recent contact with a leader.
        is_transfer: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Term of the request if the vote is granted, else the voter's term.
        term: Term,
        /// Whether the vote is granted or, in a pre-vote, would be granted.
        granted: bool,
        /// Whether this answers a pre-vote.
        is_pre_vote: bool,
    },
    /// Replicates entries; an empty list is a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// Index directly before the first of `entries`.
        prev_index: LogIndex,
        /// Term of the entry at `prev_index`.
        prev_term: Term,
        /// Entries with consecutive indexes from `prev_index` + 1 on.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: LogIndex,
        /// Number of the heartbeat round; the reply repeats it.
        round: u64,
    },
    /// Answers `Append` and `Snapshot`.
    AppendReply {
        /// Term of the follower.
        term: Term,
        /// Whether the follower's log matched at `prev_index` or holds the entries of the snapshot;
        /// false in the reply to an old term.
        matched: bool,
        /// If `matched`, the last synced index known to match; else the last index that may match,
        /// for the leader to try as `prev_index`.
        index: LogIndex,
        /// Highest heartbeat round received from this leader, or 0 in the reply to an old term.
        round: u64,
    },
    /// Transfers a snapshot in one message.
    Snapshot {
        /// The leader's term.
        term: Term,
        /// Log position and member list of the snapshot.
        meta: SnapshotMeta,
        /// Serialized state of the application.
        state: Bytes,
    },
    /// Asks the receiver to start an election at once.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}
