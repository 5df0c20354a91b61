use std::io;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame between entry hosts, in bytes; a snapshot travels in one frame.
pub const MAX_PEER_FRAME: usize = 256 << 20;

/// Largest frame between a worker and its gateway, in bytes.
pub const MAX_WORKER_FRAME: usize = 4 << 20;

/// Length-delimited frames over a byte stream.
pub type Frames<S> = Framed<S, LengthDelimitedCodec>;

/// Failure to read or write a message.
#[derive(Debug, Display, Error, From)]
pub enum WireError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The bytes are not the expected message.
    #[display("malformed message: {_0}")]
    Decode(prost::DecodeError),
    /// A field is missing or out of range.
    #[display("message lacks or has an invalid field: {_0}")]
    #[from(skip)]
    Field(#[error(not(source))] &'static str),
    /// A record of the log cannot be read.
    #[display("malformed record: {_0}")]
    Record(postcard::Error),
}

/// Wraps a byte stream into frames of at most `max` bytes.
pub fn frames<S>(stream: S, max: usize) -> Frames<S>
where
    S: AsyncRead + AsyncWrite,
{
    LengthDelimitedCodec::builder()
        .max_frame_length(max)
        .new_framed(stream)
}

/// Writes one message and flushes it.
pub async fn write<S, M>(frames: &mut Frames<S>, msg: &M) -> Result<(), WireError>
where
    S: AsyncRead + AsyncWrite + Unpin,
    M: Message,
{
    frames.send(Bytes::from(msg.encode_to_vec())).await?;
    Ok(())
}

/// Reads one message; `None` at the end of the stream.
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
