//! Findings in a decoded configuration, and differences between two configurations.
//!
//! A configuration that the decoder accepts may still hold entries that nothing can use and limits
//! that contradict each other. This crate finds them without I/O. It refers to an entry by its
//! position in the configuration; the adapter to the users' platform turns that into the path of a
//! field and the names of the wire.

mod change;
mod checked_configuration;
mod difference;
mod differences;
mod field;
mod finding;
mod findings;
mod queue_details;
mod reach;
mod subject;
mod value;

pub use change::Change;
pub use checked_configuration::CheckedConfiguration;
pub use difference::Difference;
pub use differences::differences;
pub use field::Field;
pub use finding::Finding;
pub use findings::findings;
pub use queue_details::QueueDetails;
pub use subject::Subject;
pub use value::Value;
