use bytes::BytesMut;
use prost::Message;
use tarragon_names::HostName;

use crate::{
    DEFAULT_MESSAGE_BYTES, WireError,
    peer::{PeerBody, PeerEvent, PeerFrame},
};

/// Puts the parts of large frames together again, for one link.
#[derive(Debug)]
pub struct FrameAssembler {
    parts: BytesMut,
    max_bytes: usize,
}

impl FrameAssembler {
    /// An assembler for messages of at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            parts: BytesMut::new(),
            max_bytes,
        }
    }

    /// Takes the next frame of the link and returns its sender and its message; the message is absent
    /// in a heartbeat and in a part that is not the last one.
    pub fn accept(&mut self, buf: &[u8]) -> Result<(HostName, Option<PeerEvent>), WireError> {
        let frame = PeerFrame::decode(buf)?;
        let Some(PeerBody::Part(part)) = frame.body else {
            return frame.into_parts();
        };
        if self.parts.len() + part.bytes.len() > self.max_bytes {
            return Err(WireError::Field("part"));
        }
        self.parts.extend_from_slice(&part.bytes);
        if !part.is_last {
            return Ok((HostName::from(frame.from), None));
        }
        let whole = self.parts.split().freeze();
        PeerFrame::decode_parts(&whole)
    }
}

impl Default for FrameAssembler {
    fn default() -> Self {
        Self::new(DEFAULT_MESSAGE_BYTES)
    }
}
