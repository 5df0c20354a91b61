//! Encoding of consensus messages.

use std::collections::BTreeMap;

use bytes::Bytes;
use tarragon_agreement::{Entry, Member, Members, Payload, PeerMsg, Role, SnapshotMeta};
use tarragon_names::{LogIndex, MemberId, Term};

use crate::WireError;

/// Encoding of a [`PeerMsg`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct AgreementMsg {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(oneof = "AgreementBody", tags = "2, 3, 4, 5, 6, 7")]
    body: Option<AgreementBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum AgreementBody {
    #[prost(message, tag = "2")]
    Vote(VoteMsg),
    #[prost(message, tag = "3")]
    VoteReply(VoteReplyMsg),
    #[prost(message, tag = "4")]
    Append(AppendMsg),
    #[prost(message, tag = "5")]
    AppendReply(AppendReplyMsg),
    #[prost(message, tag = "6")]
    Snapshot(SnapshotMsg),
    /// The value has no meaning; a `oneof` cannot hold an empty variant.
    #[prost(bool, tag = "7")]
    TimeoutNow(bool),
}

#[derive(Clone, PartialEq, prost::Message)]
struct VoteMsg {
    #[prost(uint64, tag = "1")]
    last_index: u64,
    #[prost(uint64, tag = "2")]
    last_term: u64,
    #[prost(bool, tag = "3")]
    is_pre_vote: bool,
    #[prost(bool, tag = "4")]
    is_transfer: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct VoteReplyMsg {
    #[prost(bool, tag = "1")]
    granted: bool,
    #[prost(bool, tag = "2")]
    is_pre_vote: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AppendMsg {
    #[prost(uint64, tag = "1")]
    prev_index: u64,
    #[prost(uint64, tag = "2")]
    prev_term: u64,
    #[prost(message, repeated, tag = "3")]
    entries: Vec<EntryMsg>,
    #[prost(uint64, tag = "4")]
    commit: u64,
    #[prost(uint64, tag = "5")]
    round: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct AppendReplyMsg {
    #[prost(bool, tag = "1")]
    matched: bool,
    #[prost(uint64, tag = "2")]
    index: u64,
    #[prost(uint64, tag = "3")]
    round: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SnapshotMsg {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(message, required, tag = "3")]
    members: MembersMsg,
    #[prost(bytes = "bytes", tag = "4")]
    state: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EntryMsg {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(uint64, tag = "2")]
    index: u64,
    /// Absent for an entry without a payload (`Payload::Noop`).
    #[prost(oneof = "PayloadMsg", tags = "3, 4")]
    payload: Option<PayloadMsg>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum PayloadMsg {
    #[prost(bytes = "bytes", tag = "3")]
    Record(Bytes),
    #[prost(message, tag = "4")]
    Members(MembersMsg),
}

#[derive(Clone, PartialEq, prost::Message)]
struct MembersMsg {
    #[prost(message, repeated, tag = "1")]
    members: Vec<MemberMsg>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct MemberMsg {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    host: String,
    #[prost(bool, tag = "3")]
    is_voter: bool,
}

impl From<&Members> for MembersMsg {
    fn from(members: &Members) -> Self {
        let members = members
            .by_id
            .iter()
            .map(|(id, member)| MemberMsg {
                id: id.0,
                host: member.host.to_string(),
                is_voter: member.role == Role::Voter,
            })
            .collect();
        Self { members }
    }
}

impl From<MembersMsg> for Members {
    fn from(msg: MembersMsg) -> Self {
        let by_id = msg
            .members
            .into_iter()
            .map(|member| {
                let role = if member.is_voter {
                    Role::Voter
                } else {
                    Role::Learner
                };
                (
                    MemberId(member.id),
                    Member {
                        host: member.host.into(),
                        role,
                    },
                )
            })
            .collect::<BTreeMap<_, _>>();
        Self { by_id }
    }
}

impl From<&Entry> for EntryMsg {
    fn from(entry: &Entry) -> Self {
        let payload = match &entry.payload {
            Payload::Noop => None,
            Payload::Record(buf) => Some(PayloadMsg::Record(buf.clone())),
            Payload::Members(members) => Some(PayloadMsg::Members(members.into())),
        };
        Self {
            term: entry.term.0,
            index: entry.index.0,
            payload,
        }
    }
}

impl From<EntryMsg> for Entry {
    fn from(msg: EntryMsg) -> Self {
        let payload = match msg.payload {
            None => Payload::Noop,
            Some(PayloadMsg::Record(buf)) => Payload::Record(buf),
            Some(PayloadMsg::Members(members)) => Payload::Members(members.into()),
        };
        Self {
            term: Term(msg.term),
            index: LogIndex(msg.index),
            payload,
        }
    }
}

pub fn agreement_to_msg(msg: &PeerMsg) -> AgreementMsg {
    let (term, body) = match msg {
        PeerMsg::Vote {
            term,
            last_index,
            last_term,
            is_pre_vote,
            is_transfer,
        } => (
            term,
            AgreementBody::Vote(VoteMsg {
                last_index: last_index.0,
                last_term: last_term.0,
                is_pre_vote: *is_pre_vote,
                is_transfer: *is_transfer,
            }),
        ),
        PeerMsg::VoteReply {
            term,
            granted,
            is_pre_vote,
        } => (
            term,
            AgreementBody::VoteReply(VoteReplyMsg {
                granted: *granted,
                is_pre_vote: *is_pre_vote,
            }),
        ),
        PeerMsg::Append {
            term,
            prev_index,
            prev_term,
            entries,
            commit,
            round,
        } => (
            term,
            AgreementBody::Append(AppendMsg {
                prev_index: prev_index.0,
                prev_term: prev_term.0,
                entries: entries.iter().map(EntryMsg::from).collect(),
                commit: commit.0,
                round: *round,
            }),
        ),
        PeerMsg::AppendReply {
            term,
            matched,
            index,
            round,
        } => (
            term,
            AgreementBody::AppendReply(AppendReplyMsg {
                matched: *matched,
                index: index.0,
                round: *round,
            }),
        ),
        PeerMsg::Snapshot { term, meta, state } => (
            term,
            AgreementBody::Snapshot(SnapshotMsg {
                index: meta.index.0,
                term: meta.term.0,
                members: (&meta.members).into(),
                state: state.clone(),
            }),
        ),
        PeerMsg::TimeoutNow { term } => (term, AgreementBody::TimeoutNow(true)),
    };
    AgreementMsg {
        term: term.0,
        body: Some(body),
    }
}

pub fn agreement_from_msg(msg: AgreementMsg) -> Result<PeerMsg, WireError> {
    let term = Term(msg.term);
    Ok(match msg.body.ok_or(WireError::Field("body"))? {
        AgreementBody::Vote(msg) => PeerMsg::Vote {
            term,
            last_index: LogIndex(msg.last_index),
            last_term: Term(msg.last_term),
            is_pre_vote: msg.is_pre_vote,
            is_transfer: msg.is_transfer,
        },
        AgreementBody::VoteReply(msg) => PeerMsg::VoteReply {
            term,
            granted: msg.granted,
            is_pre_vote: msg.is_pre_vote,
        },
        AgreementBody::Append(msg) => PeerMsg::Append {
            term,
            prev_index: LogIndex(msg.prev_index),
            prev_term: Term(msg.prev_term),
            entries: msg.entries.into_iter().map(Entry::from).collect(),
            commit: LogIndex(msg.commit),
            round: msg.round,
        },
        AgreementBody::AppendReply(msg) => PeerMsg::AppendReply {
            term,
            matched: msg.matched,
            index: LogIndex(msg.index),
            round: msg.round,
        },
        AgreementBody::Snapshot(msg) => PeerMsg::Snapshot {
            term,
            meta: SnapshotMeta {
                index: LogIndex(msg.index),
                term: Term(msg.term),
                members: msg.members.into(),
            },
            state: msg.state,
        },
        AgreementBody::TimeoutNow(_) => PeerMsg::TimeoutNow { term },
    })
}
