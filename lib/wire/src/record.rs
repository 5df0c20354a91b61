//! Records of the replicated log and snapshots.

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::WireError;

/// Version of the record format, written first, so that a later release can tell old records.
const VERSION: u8 = 1;

/// A command with the leader's wall clock at the time of its proposal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record<C> {
    /// Format of the record.
    version: u8,
    /// Wall clock of the leader in unix milliseconds, for retention only.
    pub at_ms: u64,
    /// The command.
    pub command: C,
}

impl<C> Record<C> {
    /// A record in the current format.
    pub fn new(at_ms: u64, command: C) -> Self {
        Self {
            version: VERSION,
            at_ms,
            command,
        }
    }

    /// Encodes the record.
    pub fn encode(&self) -> Result<Bytes, WireError>
    where
        C: Serialize,
    {
        encode(self)
    }

    /// Decodes a record and checks its format.
    pub fn decode(buf: &[u8]) -> Result<Self, WireError>
    where
        C: DeserializeOwned,
    {
        if buf.first() != Some(&VERSION) {
            return Err(WireError::Field("version"));
        }
        decode(buf)
    }
}

/// Encodes a value for the log or a snapshot.
pub fn encode<T>(value: &T) -> Result<Bytes, WireError>
where
    T: Serialize,
{
    Ok(Bytes::from(postcard::to_allocvec(value)?))
}

/// Decodes a value of the log or a snapshot.
pub fn decode<T>(buf: &[u8]) -> Result<T, WireError>
where
    T: DeserializeOwned,
{
    Ok(postcard::from_bytes(buf)?)
}
