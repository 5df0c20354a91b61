//! Frames between entry hosts.

use bytes::Bytes;
use prost::Message;
use tarragon_agreement::PeerMsg;
use tarragon_leases::{WorkerOrder, WorkerReport};
use tarragon_names::{HostName, MemberId, WorkerName};
use tarragon_routing::{LoadSummary, PoolLoad};

use crate::{
    WireError,
    convert::{self, AgreementMsg, OrderMsg, ReportMsg},
};

/// Frame on the link between two entry hosts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerFrame {
    /// Host that sends.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Contents; absent in a heartbeat of the link.
    #[prost(oneof = "PeerBody", tags = "2, 3, 4, 5, 6, 7")]
    pub body: Option<PeerBody>,
}

/// Contents of a peer frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PeerBody {
    /// Message of the agreement.
    #[prost(message, tag = "2")]
    Agreement(AgreementFrame),
    /// Report of a worker on its way to the leader.
    #[prost(message, tag = "3")]
    Report(RelayedReport),
    /// Order to a worker on its way to its gateway.
    #[prost(message, tag = "4")]
    Order(RelayedOrder),
    /// Slots at the sender.
    #[prost(message, tag = "5")]
    Load(LoadMsg),
    /// Call to the receiver.
    #[prost(message, tag = "6")]
    Call(CallFrame),
    /// Answer to a call of the receiver.
    #[prost(message, tag = "7")]
    Answer(CallFrame),
}

/// A call between two hosts, or its answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CallFrame {
    /// Number that the caller chose.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Encoded contents.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// Message of the agreement between two members.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AgreementFrame {
    /// Sending member.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Receiving member; a host that has another identity drops the message.
    #[prost(fixed64, tag = "2")]
    pub to: u64,
    /// The message.
    #[prost(message, optional, tag = "3")]
    pub msg: Option<AgreementMsg>,
}

/// Report of a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayedReport {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The report.
    #[prost(message, optional, tag = "2")]
    pub report: Option<ReportMsg>,
}

/// Order to a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayedOrder {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The order.
    #[prost(message, optional, tag = "2")]
    pub order: Option<OrderMsg>,
}

/// Slots of a home host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadMsg {
    /// Rises with each summary of a process.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Its pools.
    #[prost(message, repeated, tag = "2")]
    pub pools: Vec<PoolLoadMsg>,
}

/// Slots of one pool at a home host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PoolLoadMsg {
    /// The pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Slots that a new request may take.
    #[prost(uint32, tag = "2")]
    pub free: u32,
    /// All slots of executors that take requests.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
}

/// Contents of a peer frame as the daemon handles them.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// Message of the agreement.
    Agreement {
        /// Sending member.
        from: MemberId,
        /// Receiving member.
        to: MemberId,
        /// The message.
        msg: PeerMsg,
    },
    /// Report of a worker.
    Report {
        /// The worker.
        worker: WorkerName,
        /// The report.
        report: WorkerReport,
    },
    /// Order to a worker.
    Order {
        /// The worker.
        worker: WorkerName,
        /// The order.
        order: WorkerOrder,
    },
    /// Slots at the sender.
    Load(LoadSummary),
    /// Call to the receiver.
    Call {
        /// Number that the caller chose.
        id: u64,
        /// Encoded contents.
        body: Bytes,
    },
    /// Answer to a call of the receiver.
    Answer {
        /// Number of the call.
        id: u64,
        /// Encoded contents.
        body: Bytes,
    },
}

impl PeerFrame {
    /// A frame for the given contents, or a heartbeat.
    pub fn new(from: &HostName, event: Option<&PeerEvent>) -> Self {
        let body = event.map(|event| match event {
            PeerEvent::Agreement { from, to, msg } => PeerBody::Agreement(AgreementFrame {
                from: from.0,
                to: to.0,
                msg: Some(convert::peer_to_msg(msg)),
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
        });
        Self {
            from: from.to_string(),
            body,
        }
    }

    /// Encoded frame, without its length.
    pub fn encoded(&self) -> Bytes {
        Bytes::from(self.encode_to_vec())
    }

    /// Sender and contents of an encoded frame.
    pub fn decode_parts(buf: &[u8]) -> Result<(HostName, Option<PeerEvent>), WireError> {
        Self::decode(buf)?.into_parts()
    }

    /// Sender and contents of the frame; no contents for a heartbeat.
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
            msg: convert::peer_from_msg(frame.msg.ok_or(WireError::Field("msg"))?)?,
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
