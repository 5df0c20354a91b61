//! Command lines over the libraries of the workspace; the binaries only call into this crate.

mod command_line;

pub mod bench;
pub mod ctl;
pub mod daemon;
pub mod entryd;
pub mod standin;
pub mod timeline;
pub mod trial;
