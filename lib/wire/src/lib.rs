//! Messages between processes and their framing.
