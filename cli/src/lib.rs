//! Code behind the command lines; the binaries only pass their arguments on.

pub mod bench;
