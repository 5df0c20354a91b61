//! HTTP client for callers and operators.
