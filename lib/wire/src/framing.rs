use std::io;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum size of a frame that an entry host sends to another, in bytes. Larger messages are sent in
/// parts.
pub const MAX_PEER_FRAME_BYTES: usize = 1 << 20;

/// Maximum size of a message between entry hosts for a receiver that states none, in bytes.
pub const DEFAULT_MESSAGE_BYTES: usize = 64 << 20;

/// Maximum size of a frame between a worker and its gateway, in bytes.
pub const MAX_WORKER_FRAME_BYTES: usize = 4 << 20;

/// Byte stream split into length-delimited frames.
pub type Frames<S> = Framed<S, LengthDelimitedCodec>;

/// Failure to read or write a message.
#[derive(Debug, Display, Error, From)]
pub enum WireError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The bytes do not decode as the expected message.
    #[display("malformed message: {_0}")]
    Decode(prost::DecodeError),
    /// A field is missing or out of range; holds the name of the field.
    #[display("message has a missing or invalid field: {_0}")]
    #[from(skip)]
    Field(#[error(not(source))] &'static str),
    /// A value of the log or of a snapshot cannot be encoded or decoded.
    #[display("malformed record: {_0}")]
    Record(postcard::Error),
}

/// Splits a byte stream into frames of at most `max_len` bytes.
pub fn frames<S>(stream: S, max_len: usize) -> Frames<S>
where
    S: AsyncRead + AsyncWrite,
{
    LengthDelimitedCodec::builder()
        .max_frame_length(max_len)
        .new_framed(stream)
}

/// Writes one message as a frame and flushes the stream.
pub async fn write<S, M>(frames: &mut Frames<S>, msg: &M) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    M: Message,
{
    frames.send(Bytes::from(msg.encode_to_vec())).await?;
    Ok(())
}

/// Reads one frame and decodes its message; `None` at the end of the stream.
pub async fn read<S, M>(frames: &mut Frames<S>) -> Result<Option<M>, WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    M: Message + Default,
{
    let Some(frame) = frames.next().await else {
        return Ok(None);
    };
    Ok(Some(M::decode(frame?.freeze())?))
}
