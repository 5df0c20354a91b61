//! Frames between entry hosts.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;
use tarragon_agreement::{Payload, PeerMsg};
use tarragon_leases::{WorkerOrder, WorkerReport};
use tarragon_names::{HostName, MemberId, WorkerName};
use tarragon_routing::{LoadSummary, PoolLoad};

use crate::{
    WireError,
    convert::{self, AgreementMsg, OrderMsg, ReportMsg},
};

/// Largest frame that is sent in one piece, in bytes.
const MAX_PART_BYTES: usize = 16 << 10;

/// Size of a message or an entry without the bytes that it carries.
const FIXED_BYTES: usize = 128;

/// Frame on the link between two entry hosts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerFrame {
    /// Name of the sending host.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Message; absent in a heartbeat of the link.
    #[prost(oneof = "PeerBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<PeerBody>,
}

/// Encoded message of a peer frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerBody {
    /// Consensus message from one member to another.
    #[prost(message, tag = "2")]
    Agreement(AgreementFrame),
    /// Report of a worker, relayed by its gateway to the leader.
    #[prost(message, tag = "3")]
    Report(RelayedReport),
    /// Order to a worker, relayed by the leader to the gateway of the worker.
    #[prost(message, tag = "4")]
    Order(RelayedOrder),
    /// Slots of the executors that have the sender as their home host.
    #[prost(message, tag = "5")]
    Load(LoadMsg),
    /// Call to the receiving host.
    #[prost(message, tag = "6")]
    Call(CallFrame),
    /// Answer to a call that the receiving host made.
    #[prost(message, tag = "7")]
    Answer(CallFrame),
    /// Orders of the leader that the receiving host delivers to workers.
    #[prost(bytes = "bytes", tag = "8")]
    Orders(Bytes),
    /// Results of orders that the receiving host had delivered by the sender.
    #[prost(bytes = "bytes", tag = "9")]
    OrderResults(Bytes),
    /// Part of the encoding of a large frame.
    #[prost(message, tag = "10")]
    Part(FramePart),
}

/// Part of the encoding of a large frame. The parts of one frame follow one another on a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FramePart {
    /// Next bytes of the encoding.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: Bytes,
    /// Whether the encoding ends here.
    #[prost(bool, tag = "2")]
    pub is_last: bool,
}

/// Call between two hosts, or the answer to it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallFrame {
    /// Number chosen by the caller, which the answer repeats.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Encoded call or answer.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// Consensus message with the identities of its sender and receiver.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AgreementFrame {
    /// Identity of the sending member.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Identity of the receiving member; a host that now has another identity drops the message.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// Encoded message; required.
    #[prost(message, optional, tag = "3")]
    pub msg: Option<AgreementMsg>,
}

/// Report of a worker, relayed by its gateway to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayedReport {
    /// Name of the worker that sent the report.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Encoded report; required.
    #[prost(message, optional, tag = "2")]
    pub report: Option<ReportMsg>,
}

/// Order to a worker, relayed by the leader to the gateway of the worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayedOrder {
    /// Name of the worker that receives the order.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Encoded order; required.
    #[prost(message, optional, tag = "2")]
    pub order: Option<OrderMsg>,
}

/// Summary of the slots of the executors that have the sender as their home host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadMsg {
    /// Increases with each summary that a process sends, so that a receiver can ignore older ones.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Slots of each pool.
    #[prost(message, repeated, tag = "2")]
    pub pools: Vec<PoolLoadMsg>,
}

/// Slots of one pool on a home host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoolLoadMsg {
    /// Name of the pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Slots free for new requests.
    #[prost(uint32, tag = "2")]
    pub free: u32,
    /// All slots of the executors that accept requests.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
}

/// Decoded message of a peer frame.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// Consensus message from one member to another.
    Agreement {
        /// Identity of the sending member.
        from: MemberId,
        /// Identity of the receiving member.
        to: MemberId,
        /// Message for the replica of the receiving member.
        msg: PeerMsg,
    },
    /// Report of a worker, relayed by its gateway to the leader.
    Report {
        /// Worker that sent the report.
        worker: WorkerName,
        /// Report for the leader.
        report: WorkerReport,
    },
    /// Order to a worker, relayed by the leader to the gateway of the worker.
    Order {
        /// Worker that receives the order.
        worker: WorkerName,
        /// Order of the leader.
        order: WorkerOrder,
    },
    /// Slots of the executors that have the sender as their home host.
    Load(LoadSummary),
    /// Call to the receiving host.
    Call {
        /// Number chosen by the caller, which the answer repeats.
        id: u64,
        /// Encoded call or answer.
        body: Bytes,
    },
    /// Answer to a call that the receiving host made.
    Answer {
        /// Number of the call that this answers.
        id: u64,
        /// Encoded call or answer.
        body: Bytes,
    },
    /// Encoded orders of the leader that the receiving host delivers to workers.
    Orders(Bytes),
    /// Encoded results of orders that the receiving host had delivered by the sender.
    OrderResults(Bytes),
}

impl PeerEvent {
    /// Size of the message in memory and on a link, without the fields that are always small.
    pub fn approximate_bytes(&self) -> usize {
        let carried = match self {
            Self::Agreement { msg, .. } => agreement_bytes(msg),
            Self::Report { report, .. } => convert::report_to_msg(report).encoded_len(),
            Self::Order { order, .. } => convert::order_to_msg(order).encoded_len(),
            Self::Load(load) => load.pools.len() * FIXED_BYTES,
            Self::Call { body, .. }
            | Self::Answer { body, .. }
            | Self::Orders(body)
            | Self::OrderResults(body) => body.len(),
        };
        FIXED_BYTES + carried
    }
}

fn agreement_bytes(msg: &PeerMsg) -> usize {
    match msg {
        PeerMsg::Append { entries, .. } => {
            let sizes = entries.iter().map(|entry| match &entry.payload {
                Payload::Record(record) => FIXED_BYTES + record.len(),
                Payload::Members(members) => FIXED_BYTES * (1 + members.by_id.len()),
                Payload::Noop => FIXED_BYTES,
            });
            sizes.sum()
        }
        PeerMsg::Snapshot { state, .. } => state.len(),
        _ => 0,
    }
}

impl PeerFrame {
    /// Creates a frame from the host `from` with a message, or a heartbeat for `None`.
    pub fn new(from: &HostName, event: Option<&PeerEvent>) -> Self {
        let body = event.map(|event| match event {
            PeerEvent::Agreement { from, to, msg } => PeerBody::Agreement(AgreementFrame {
                from: from.0,
                to: to.0,
                msg: Some(convert::agreement_to_msg(msg)),
            }),
            PeerEvent::Report { worker, report } => PeerBody::Report(RelayedReport {
                worker: worker.to_string(),
                report: Some(convert::report_to_msg(report)),
            }),
            PeerEvent::Order { worker, order } => PeerBody::Order(RelayedOrder {
                worker: worker.to_string(),
                order: Some(convert::order_to_msg(order)),
            }),
            PeerEvent::Load(load) => PeerBody::Load(load.into()),
            PeerEvent::Call { id, body } => PeerBody::Call(CallFrame {
                id: *id,
                body: body.clone(),
            }),
            PeerEvent::Answer { id, body } => PeerBody::Answer(CallFrame {
                id: *id,
                body: body.clone(),
            }),
            PeerEvent::Orders(body) => PeerBody::Orders(body.clone()),
            PeerEvent::OrderResults(body) => PeerBody::OrderResults(body.clone()),
        });
        Self {
            from: from.to_string(),
            body,
        }
    }

    /// Returns the encoded frame, without a length prefix.
    pub fn encoded(&self) -> Bytes {
        Bytes::from(self.encode_to_vec())
    }

    /// Returns the encoded frames that carry a message, or a heartbeat for `None`.
    ///
    /// A large message is split, so that a slow link is not taken for a silent one while the message
    /// is on its way.
    pub fn encoded_parts(from: &HostName, event: Option<&PeerEvent>) -> VecDeque<Bytes> {
        let encoded = Self::new(from, event).encoded();
        if encoded.len() <= MAX_PART_BYTES {
            return VecDeque::from([encoded]);
        }
        let mut parts = VecDeque::new();
        let mut rest = encoded;
        while !rest.is_empty() {
            let bytes = rest.split_to(rest.len().min(MAX_PART_BYTES));
            let part = FramePart {
                bytes,
                is_last: rest.is_empty(),
            };
            let frame = Self {
                from: from.to_string(),
                body: Some(PeerBody::Part(part)),
            };
            parts.push_back(frame.encoded());
        }
        parts
    }

    /// Decodes a frame and returns the sender and the message; `None` for a heartbeat.
    pub fn decode_parts(buf: &[u8]) -> Result<(HostName, Option<PeerEvent>), WireError> {
        Self::decode(buf)?.into_parts()
    }

    /// Returns the sender and the message; `None` for a heartbeat.
    pub fn into_parts(self) -> Result<(HostName, Option<PeerEvent>), WireError> {
        let from = HostName::from(self.from);
        let event = self
            .body
            .map(|body| event_from_body(&from, body))
            .transpose()?;
        Ok((from, event))
    }
}

fn event_from_body(from: &HostName, body: PeerBody) -> Result<PeerEvent, WireError> {
    Ok(match body {
        PeerBody::Agreement(frame) => PeerEvent::Agreement {
            from: MemberId(frame.from),
            to: MemberId(frame.to),
            msg: convert::agreement_from_msg(frame.msg.ok_or(WireError::Field("msg"))?)?,
        },
        PeerBody::Report(relay) => PeerEvent::Report {
            worker: relay.worker.into(),
            report: convert::report_from_msg(relay.report.ok_or(WireError::Field("report"))?)?,
        },
        PeerBody::Order(relay) => PeerEvent::Order {
            worker: relay.worker.into(),
            order: convert::order_from_msg(relay.order.ok_or(WireError::Field("order"))?)?,
        },
        PeerBody::Load(load) => PeerEvent::Load(LoadSummary {
            host: from.clone(),
            sequence: load.sequence,
            pools: load.pools.into_iter().map(PoolLoad::from).collect(),
        }),
        PeerBody::Call(CallFrame { id, body }) => PeerEvent::Call { id, body },
        PeerBody::Answer(CallFrame { id, body }) => PeerEvent::Answer { id, body },
        PeerBody::Orders(body) => PeerEvent::Orders(body),
        PeerBody::OrderResults(body) => PeerEvent::OrderResults(body),
        PeerBody::Part(_) => return Err(WireError::Field("part")),
    })
}

impl From<&LoadSummary> for LoadMsg {
    fn from(load: &LoadSummary) -> Self {
        let pools = load
            .pools
            .iter()
            .map(|pool| PoolLoadMsg {
                pool: pool.pool.to_string(),
                free: pool.free,
                slots: pool.slots,
            })
            .collect();
        Self {
            sequence: load.sequence,
            pools,
        }
    }
}

impl From<PoolLoadMsg> for PoolLoad {
    fn from(msg: PoolLoadMsg) -> Self {
        Self {
            pool: msg.pool.into(),
            free: msg.free,
            slots: msg.slots,
        }
    }
}
