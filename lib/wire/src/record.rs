//! Records of the replicated log and snapshots.

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::WireError;

/// Version of the record format. It is the first byte of a record, so that a later release can
/// recognize old records.
const FORMAT_VERSION: u8 = 1;

/// Command of the replicated log with the time of its proposal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record<C> {
    /// Format of the record; always `FORMAT_VERSION`.
    version: u8,
    /// Wall clock of the leader in Unix milliseconds, for retention only.
    pub at_ms: u64,
    /// Command to apply.
    pub command: C,
}

impl<C> Record<C> {
    /// Creates a record in the current format.
    pub fn new(at_ms: u64, command: C) -> Self {
        Self {
            version: FORMAT_VERSION,
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

    /// Decodes a record; fails if its format version is not the current one.
    pub fn decode(buf: &[u8]) -> Result<Self, WireError>
    where
        C: DeserializeOwned,
    {
        if buf.first() != Some(&FORMAT_VERSION) {
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

/// Decodes the first of several values that were encoded one after the other, and returns the rest.
pub fn decode_first<T>(buf: &[u8]) -> Result<(T, &[u8]), WireError>
where
    T: DeserializeOwned,
{
    Ok(postcard::take_from_bytes(buf)?)
}

/// Decodes a value of the log or a snapshot.
pub fn decode<T>(buf: &[u8]) -> Result<T, WireError>
where
    T: DeserializeOwned,
{
    Ok(postcard::from_bytes(buf)?)
}
