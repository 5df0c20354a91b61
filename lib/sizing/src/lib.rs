//! Correction of declared sizes from usage reports.
