use bytes::Bytes;
use tarragon_names::{HostName, LogIndex, MemberId, Term};

use crate::{Entry, PeerMsg, SnapshotMeta, Token};

/// Output of a replica; the caller executes actions in order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Send a message; delivery is not guaranteed.
    Send {
        /// Identity of the receiving member.
        to: MemberId,
        /// Host of the receiver; empty if neither the member list nor an `Event::HostLearned`
        /// names it.
        host: HostName,
        /// Message for that identity; discard it if the host now has another identity.
        msg: PeerMsg,
    },
    /// Save term and vote, sync, then report `Event::VoteSynced`. The replica delays every message
    /// that depends on term and vote until that event.
    SaveVote {
        /// Current term.
        term: Term,
        /// Candidate voted for in that term; `None` before the replica has voted.
        voted_for: Option<MemberId>,
    },
    /// Delete stored entries from `truncate_from` on, append `entries`, sync, then report
    /// `Event::Synced`.
    Append {
        /// First index to delete; `None` if no stored entry conflicts.
        truncate_from: Option<LogIndex>,
        /// Entries with consecutive indexes; never empty.
        entries: Vec<Entry>,
    },
    /// Apply committed entries to the application's state.
    Apply {
        /// Entries in log order, directly after those of the previous `Apply`.
        entries: Vec<Entry>,
    },
    /// Replace the application's state with this snapshot, save and sync the snapshot, then report
    /// `Event::SnapshotSaved`.
    InstallSnapshot {
        /// Log position and member list of the snapshot.
        meta: SnapshotMeta,
        /// Serialized state of the application.
        state: Bytes,
    },
    /// Send the latest saved snapshot as a `PeerMsg::Snapshot`.
    SendSnapshot {
        /// Identity of the receiving member.
        to: MemberId,
        /// Host of the receiver; empty if not known.
        host: HostName,
        /// Term for the message.
        term: Term,
    },
    /// The records of a proposal were appended at consecutive indexes. A record is committed once
    /// an entry with its index and this term is applied.
    Proposed {
        /// Token of the `Event::Propose`.
        token: Token,
        /// Index of the first record.
        first: LogIndex,
        /// Term in which the records were appended.
        term: Term,
    },
    /// A read or a member change succeeded; a read may be served once `index` is applied.
    Done {
        /// Token of the request.
        token: Token,
        /// Commit index at the time of this answer.
        index: LogIndex,
    },
    /// A request was refused: this replica is not the leader, it is busy (`leader` is then its own
    /// host), or the member change is not permitted.
    ///
    /// A member change in progress when leadership is lost also ends with this action. The change
    /// may still take effect; compare the member list to find out.
    Refused {
        /// Token of the request.
        token: Token,
        /// Host of the leader, if known.
        leader: Option<HostName>,
    },
    /// This replica is the leader and its first entry of the term has committed.
    BecameLeader {
        /// Term of the leadership.
        term: Term,
    },
    /// This replica is no longer the leader; sent only after `BecameLeader`.
    LostLeadership {
        /// Term of the leadership that ended.
        term: Term,
    },
    /// The lease of this replica is over: the message that follows lets another replica be elected at
    /// any time.
    LeaseEnded,
    /// The leader known to this replica changed, or the leader's host became known.
    LeaderChanged {
        /// Current term.
        term: Term,
        /// Host of the leader; `None` while no leader or no host for it is known.
        leader: Option<HostName>,
    },
}
