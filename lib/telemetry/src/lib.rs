//! Structured logs, metrics and event names.
