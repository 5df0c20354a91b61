//! Daemon of an entry host.

fn main() {}
