//! Conversions between message types and their prost encodings.

mod agreement;
mod order;
mod report;
mod value;

pub(crate) use agreement::{peer_from_msg, peer_to_msg};
pub(crate) use order::{order_from_msg, order_to_msg};
pub(crate) use report::{report_from_msg, report_to_msg};

pub use agreement::AgreementMsg;
pub use order::OrderMsg;
pub use report::ReportMsg;
