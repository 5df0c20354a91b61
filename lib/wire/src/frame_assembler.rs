use bytes::BytesMut;
use prost::Message;
use tarragon_names::HostName;

use crate::{
    MAX_PEER_FRAME_BYTES, WireError,
    peer::{PeerBody, PeerEvent, PeerFrame},
};

/// Puts the parts of large frames together again, for one link.
#[derive(Debug, Default)]
pub struct FrameAssembler {
    parts: BytesMut,
}

impl FrameAssembler {
    /// Takes the next frame of the link and returns its sender and its message; the message is absent
    /// in a heartbeat and in a part that is not the last one.
    pub fn accept(&mut self, buf: &[u8]) -> Result<(HostName, Option<PeerEvent>), WireError> {
        let frame = PeerFrame::decode(buf)?;
        let Some(PeerBody::Part(part)) = frame.body else {
            return frame.into_parts();
        };
        if self.parts.len() + part.bytes.len() > MAX_PEER_FRAME_BYTES {
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
