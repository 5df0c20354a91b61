//! Messages between processes, their encoding and framing.
//!
//! This crate only converts: the crates whose types it encodes make every decision.
//!
//! - [`worker`]: frames between a worker and its gateway.
//! - [`peer`]: frames between entry hosts.
//! - [`record`]: records of the replicated log and snapshots.
//! - [`control`]: remote procedure calls between entry hosts.

pub mod control;
mod convert;
mod frame_assembler;
mod framing;
pub mod peer;
pub mod record;
pub mod worker;

pub use frame_assembler::FrameAssembler;
pub use framing::{
    DEFAULT_MESSAGE_BYTES, Frames, MAX_PEER_FRAME_BYTES, MAX_WORKER_FRAME_BYTES, WireError, frames,
    read, write,
};
