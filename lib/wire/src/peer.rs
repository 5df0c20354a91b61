//! Frames between entry hosts.

use std::collections::BTreeMap;

use tarragon_agreement::PeerMsg;
use tarragon_leases::{WorkerOrder, WorkerReport};
use tarragon_names::{HostName, MemberId, PoolName, WorkerName};

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
    #[prost(oneof = "PeerBody", tags = "2, 3, 4, 5")]
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
    Up(RelayUp),
    /// Order to a worker on its way to its gateway.
    #[prost(message, tag = "4")]
    Down(RelayDown),
    /// Free slots at the sender.
    #[prost(message, tag = "5")]
    Load(LoadMsg),
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
pub struct RelayUp {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The report.
    #[prost(message, optional, tag = "2")]
    pub report: Option<ReportMsg>,
}

/// Order to a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayDown {
    /// The worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// The order.
    #[prost(message, optional, tag = "2")]
    pub order: Option<OrderMsg>,
}

/// Free slots of a home host, by pool.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadMsg {
    /// Free slots by pool.
    #[prost(btree_map = "string, uint32", tag = "1")]
    pub free: BTreeMap<String, u32>,
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
    Up {
        /// The worker.
        worker: WorkerName,
        /// The report.
        report: WorkerReport,
    },
    /// Order to a worker.
    Down {
        /// The worker.
        worker: WorkerName,
        /// The order.
        order: WorkerOrder,
    },
    /// Free slots of the sender, by pool.
    Load(BTreeMap<PoolName, u32>),
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
            PeerEvent::Up { worker, report } => PeerBody::Up(RelayUp {
                worker: worker.to_string(),
                report: Some(convert::report_to_msg(report)),
            }),
            PeerEvent::Down { worker, order } => PeerBody::Down(RelayDown {
                worker: worker.to_string(),
                order: Some(convert::order_to_msg(order)),
            }),
            PeerEvent::Load(free) => PeerBody::Load(LoadMsg {
                free: free
                    .iter()
                    .map(|(pool, n)| (pool.to_string(), *n))
                    .collect(),
            }),
        });
        Self {
            from: from.to_string(),
            body,
        }
    }

    /// Sender and contents of the frame; no contents for a heartbeat.
    pub fn parts(self) -> Result<(HostName, Option<PeerEvent>), WireError> {
        let event = self.body.map(event_from_body).transpose()?;
        Ok((HostName::from(self.from), event))
    }
}

fn event_from_body(body: PeerBody) -> Result<PeerEvent, WireError> {
    Ok(match body {
        PeerBody::Agreement(frame) => PeerEvent::Agreement {
            from: MemberId(frame.from),
            to: MemberId(frame.to),
            msg: convert::peer_from_msg(frame.msg.ok_or(WireError::Field("msg"))?)?,
        },
        PeerBody::Up(relay) => PeerEvent::Up {
            worker: relay.worker.into(),
            report: convert::report_from_msg(relay.report.ok_or(WireError::Field("report"))?)?,
        },
        PeerBody::Down(relay) => PeerEvent::Down {
            worker: relay.worker.into(),
            order: convert::order_from_msg(relay.order.ok_or(WireError::Field("order"))?)?,
        },
        PeerBody::Load(load) => PeerEvent::Load(
            load.free
                .into_iter()
                .map(|(pool, n)| (pool.into(), n))
                .collect(),
        ),
    })
}
