//! Numbered result codes and the error type that carries them.
//!
//! `docs/errors.md` lists the codes for callers; a test checks that it agrees with [`Code::ALL`].

mod code;
mod failure;

pub use code::Code;
pub use failure::{Failure, Outcome};
