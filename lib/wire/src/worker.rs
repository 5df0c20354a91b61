//! Frames between a worker and its gateway.

use prost::Message;
use tarragon_leases::{WorkerOrder, WorkerReport};
use tarragon_names::WorkerName;

use crate::{WireError, convert};

pub use crate::convert::{OrderMsg, ReportMsg};

/// Frame from a worker to its gateway.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportFrame {
    /// Name of the worker. Every frame repeats it, so that a gateway needs no state for the worker.
    #[prost(string, tag = "1")]
    pub worker: String,
    /// Report for the leader; absent in a frame that only keeps the connection alive.
    #[prost(message, optional, tag = "2")]
    pub report: Option<ReportMsg>,
}

/// Frame from a gateway to a worker.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderFrame {
    /// Order of the leader; absent in a frame that only keeps the connection alive.
    #[prost(message, optional, tag = "1")]
    pub order: Option<OrderMsg>,
}

impl ReportFrame {
    /// Creates a frame with a report.
    pub fn new(worker: &WorkerName, report: &WorkerReport) -> Self {
        Self {
            worker: worker.to_string(),
            report: Some(convert::report_to_msg(report)),
        }
    }

    /// Returns the encoded length in bytes.
    #[expect(
        clippy::len_without_is_empty,
        reason = "a frame always contains the name of its worker"
    )]
    pub fn len(&self) -> usize {
        self.encoded_len()
    }

    /// Returns the worker and the report, if the frame has one.
    pub fn into_parts(self) -> Result<(WorkerName, Option<WorkerReport>), WireError> {
        let report = self.report.map(convert::report_from_msg).transpose()?;
        Ok((WorkerName::from(self.worker), report))
    }
}

impl OrderFrame {
    /// Creates a frame with an order.
    pub fn new(order: &WorkerOrder) -> Self {
        Self {
            order: Some(convert::order_to_msg(order)),
        }
    }

    /// Returns the encoded length in bytes.
    #[expect(
        clippy::len_without_is_empty,
        reason = "a frame without an order is valid and has length 0"
    )]
    pub fn len(&self) -> usize {
        self.encoded_len()
    }

    /// Returns the order, if the frame has one.
    pub fn into_order(self) -> Result<Option<WorkerOrder>, WireError> {
        self.order.map(convert::order_from_msg).transpose()
    }
}
