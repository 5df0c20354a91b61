use bytes::Bytes;
use tarragon_names::{HostName, LogIndex, MemberId, Term};

use crate::{Entry, PeerMsg, SnapshotMeta, Token};

/// Output of a replica, to be carried out in order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Receiver.
        to: MemberId,
        /// Its host; empty if neither the member list nor an `Event::Contact` names it.
        host: HostName,
        /// The message.
        msg: PeerMsg,
    },
    /// Save term and vote, sync, then report `Event::VoteSynced`. The replica holds back every
    /// message that depends on it until then.
    SaveVote {
        /// Current term.
        term: Term,
        /// Vote in that term.
        voted_for: Option<MemberId>,
    },
    /// Drop stored entries from `truncate_from` on, append these, sync, then report
    /// `Event::Synced`.
    Append {
        /// First index to drop, if entries conflict.
        truncate_from: Option<LogIndex>,
        /// Entries to append.
        entries: Vec<Entry>,
    },
    /// Apply these committed entries in order.
    Apply {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Replace the application's state by this snapshot, save and sync it, then report
    /// `Event::SnapshotSaved`.
    InstallSnapshot {
        /// What the snapshot covers.
        meta: SnapshotMeta,
        /// State of the application.
        state: Bytes,
    },
    /// Send the latest saved snapshot as a `PeerMsg::Snapshot`.
    SendSnapshot {
        /// Receiver.
        to: MemberId,
        /// Its host.
        host: HostName,
        /// Term to send it under.
        term: Term,
    },
    /// The records of this proposal were appended as these indexes; they commit when applied in
    /// the same term.
    Proposed {
        /// Token of the proposal.
        token: Token,
        /// Index of the first record.
        first: LogIndex,
        /// Term in which they were appended.
        term: Term,
    },
    /// A read or a member change succeeded; a read may be served once `index` is applied.
    Done {
        /// Token of the request.
        token: Token,
        /// Index that reflects it.
        index: LogIndex,
    },
    /// The request was refused, because this replica does not lead, is busy (`leader` is itself
    /// then), or a member change is not permitted.
    ///
    /// A member change that was under way when leadership was lost ends like this too. It may
    /// still take effect; the member list tells.
    Refused {
        /// Token of the request.
        token: Token,
        /// Leader, if one is known.
        leader: Option<HostName>,
    },
    /// This replica leads from now on; sent once its first entry of the term has committed.
    BecameLeader {
        /// Term it leads in.
        term: Term,
    },
    /// This replica no longer leads.
    LostLeadership {
        /// Term it led in.
        term: Term,
    },
    /// The known leader changed.
    LeaderChanged {
        /// Current term.
        term: Term,
        /// Host of the leader, if known.
        leader: Option<HostName>,
    },
}
