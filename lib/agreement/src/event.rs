use bytes::Bytes;
use tarragon_names::{HostName, LogIndex, MemberId, Term};

use crate::{Members, PeerMsg, SnapshotMeta};

/// Number chosen by the caller to match an answer with its request.
pub type Token = u64;

/// Input of a replica.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// Time has passed; sent at least every 50 ms.
    Tick,
    /// A message arrived from a member.
    Receive {
        /// Sender.
        from: MemberId,
        /// The message.
        msg: PeerMsg,
    },
    /// A link to a member names its host; used until the member list names it.
    Contact {
        /// The member.
        id: MemberId,
        /// Its host.
        host: HostName,
    },
    /// The application wants these records appended, all or none, in order.
    Propose {
        /// Matches the answer.
        token: Token,
        /// The records.
        records: Vec<Bytes>,
    },
    /// All that was appended up to this index and term is synced on the own disk.
    Synced {
        /// Last synced index.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
    },
    /// The vote last handed out by `Action::SaveVote` is synced on the own disk.
    VoteSynced {
        /// Term that was saved.
        term: Term,
        /// Vote that was saved.
        voted_for: Option<MemberId>,
    },
    /// The application wants a read that reflects all commits up to now.
    Read {
        /// Matches the answer.
        token: Token,
    },
    /// An operator or the leader replaces the member list.
    ///
    /// One learner may become a voter and one voter may be removed. A request that does both is
    /// carried out as two single-server changes, the removal first.
    ChangeMembers {
        /// Matches the answer.
        token: Token,
        /// The new list.
        members: Members,
    },
    /// A new host asks to join as a learner.
    AddLearner {
        /// Matches the answer.
        token: Token,
        /// Fresh identity of the learner.
        id: MemberId,
        /// Its host.
        host: HostName,
    },
    /// A snapshot that covers the log up to `meta.index` is synced on the own disk; also reported
    /// for an installed snapshot.
    SnapshotSaved {
        /// What the snapshot covers.
        meta: SnapshotMeta,
    },
    /// Leadership should move to the most up-to-date voter.
    TransferLeadership,
}
