use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tarragon_names::{LogIndex, Term};

use crate::{Entry, SnapshotMeta};

/// Message between replicas. `term` is always the sender's current term.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum PeerMsg {
    /// Asks for a vote; with `pre` set nothing is recorded and terms do not change.
    Vote {
        /// Term that the candidate stands in.
        term: Term,
        /// Last index of the candidate's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether this is a pre-vote.
        pre: bool,
        /// Whether a leader asked the candidate to stand, so that leader stickiness is waived.
        transfer: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Term of the request if granted, else the voter's term.
        term: Term,
        /// Whether the vote is granted.
        granted: bool,
        /// Whether this answers a pre-vote.
        pre: bool,
    },
    /// Replicates entries; an empty list is a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// Index before the first entry.
        prev_index: LogIndex,
        /// Term of the entry at `prev_index`.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: LogIndex,
        /// Number of the heartbeat round, echoed by the reply.
        round: u64,
    },
    /// Answers `Append` and `Snapshot`.
    AppendReply {
        /// Term of the follower.
        term: Term,
        /// Whether the follower's log matched at `prev_index`.
        matched: bool,
        /// Last synced index that is known to match, or a hint where to try next.
        index: LogIndex,
        /// Round of the message answered.
        round: u64,
    },
    /// Transfers a snapshot in one message.
    Snapshot {
        /// The leader's term.
        term: Term,
        /// What the snapshot covers.
        meta: SnapshotMeta,
        /// State of the application.
        state: Bytes,
    },
    /// Asks the receiver to stand for election at once.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}
