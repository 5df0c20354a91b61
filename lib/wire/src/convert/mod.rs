//! Conversions between the messages of other crates and their prost encodings.

mod agreement;
mod order;
mod report;
mod value;

pub(crate) use agreement::{agreement_from_msg, agreement_to_msg};
pub(crate) use order::{order_from_msg, order_to_msg};
pub(crate) use report::{report_from_msg, report_to_msg};

pub use agreement::AgreementMsg;
pub use order::OrderMsg;
pub use report::ReportMsg;
