use bytes::Bytes;
use tarragon_names::{HostName, LogIndex, MemberId, Term};

use crate::{Members, PeerMsg, SnapshotMeta};

/// Number by which the caller matches an answer to its request.
pub type Token = u64;

/// Input of a replica.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// Time has passed; the caller sends this event at least every 50 ms.
    Tick,
    /// A message arrived from a member.
    Receive {
        /// Identity of the sender.
        from: MemberId,
        /// Message addressed to the identity of this replica.
        msg: PeerMsg,
    },
    /// The caller learned the host of a member. The host is used while the member is not in the
    /// member list.
    HostLearned {
        /// Identity of the member.
        id: MemberId,
        /// Host that sends messages under this identity.
        host: HostName,
    },
    /// The application requests that these records be appended, all or none, in order.
    Propose {
        /// Repeated in `Action::Proposed` or `Action::Refused`.
        token: Token,
        /// Serialized records; an empty list is refused.
        records: Vec<Bytes>,
    },
    /// All entries up to this index and term are synced on the local disk.
    Synced {
        /// Last synced index.
        index: LogIndex,
        /// Term of the entry at `index`.
        term: Term,
    },
    /// The term and vote of an `Action::SaveVote` are synced on the local disk.
    VoteSynced {
        /// Term that was saved.
        term: Term,
        /// Vote that was saved in that term.
        voted_for: Option<MemberId>,
    },
    /// The local disk refuses writes for want of room, or takes them again. The writes that it
    /// refused are still due, in order, and are reported once they are done.
    DiskState {
        /// Whether the disk refuses writes.
        is_full: bool,
    },
    /// The application requests a linearizable read.
    Read {
        /// Repeated in `Action::Done` or `Action::Refused`.
        token: Token,
    },
    /// An operator or the leader requests a new member list.
    ///
    /// At most one learner may become a voter and at most one voter may be removed. A request for
    /// both is split into two single-server changes, the removal first.
    ChangeMembers {
        /// Repeated in `Action::Done` or `Action::Refused`.
        token: Token,
        /// Complete member list after the change.
        members: Members,
    },
    /// A new host asks to join as a learner.
    AddLearner {
        /// Repeated in `Action::Done` or `Action::Refused`.
        token: Token,
        /// Identity of the learner, never used by another member.
        id: MemberId,
        /// Host of the learner; an earlier learner on this host is removed from the list.
        host: HostName,
    },
    /// A snapshot of the log up to `meta.index` is synced on the local disk; also reported for an
    /// installed snapshot.
    SnapshotSaved {
        /// Log position and member list of the snapshot.
        meta: SnapshotMeta,
    },
    /// The caller knows that no other replica can form the group. A replica that holds nothing becomes its
    /// only voter; any other ignores the event.
    FormAlone {
        /// Host of this replica.
        host: HostName,
    },
    /// Leadership should move to the most up-to-date voter. There is no answer; a replica that is
    /// not the leader ignores the event.
    TransferLeadership,
}
