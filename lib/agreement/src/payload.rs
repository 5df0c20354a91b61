use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Members;

/// Contents of a log entry.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Payload {
    /// Appended by a new leader so that entries of earlier terms can commit.
    Noop,
    /// A record of the application, opaque to this crate.
    Record(Bytes),
    /// A new member list, in force as soon as it is appended.
    Members(Members),
}
