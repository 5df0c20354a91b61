//! Numbered result codes and the error type that carries them.
//!
//! The table for readers is `docs/errors.md`; a test holds it to [`Code::ALL`].

mod code;
mod failure;

pub use code::Code;
pub use failure::{Failure, Outcome};
