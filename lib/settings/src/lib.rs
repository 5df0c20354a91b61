//! Settings files and their checks.
