//! Detection of images whose tasks slow down tasks of other images on the same worker.
//!
//! The [`InterferenceTable`] takes what the workers report about their runs and estimates, for each
//! pair of a source and an affected image, how much slower the affected runs are beside the source.
//! It reads no clock, and all its state is bounded.

mod baseline;
mod image_table;
mod interference_table;
mod observation;
mod pair;
mod pairing;
mod run_report;
mod sign_test;
mod tracked_run;
mod worker_track;

pub use interference_table::InterferenceTable;
pub use pair::{Pair, PairChange};
pub use run_report::{RunKey, RunReport, StepId, Work};
