//! Placement of tasks on workers behind one trait.
//!
//! Every placer keeps the same ledger: workers split into shards by rack, each shard under its own
//! lock. A decision reserves what it places before it returns, so two decisions cannot hand out
//! the same capacity.

mod candidate;
mod expected_ends;
mod first_fit;
mod free_index;
mod grid;
mod head_reservation;
mod indexed_placer;
mod ledger;
mod place_request;
mod placement;
mod placer;
mod policy_weights;
mod rack_shard;
mod random_of_two;
mod scarcity;
mod search;
mod slot;
mod sums;
mod together;
mod totals;
mod worker_info;

pub use expected_ends::ExpectedEnds;
pub use first_fit::FirstFit;
pub use head_reservation::HeadReservation;
pub use indexed_placer::IndexedPlacer;
pub use place_request::PlaceRequest;
pub use placement::Placement;
pub use placer::Placer;
pub use policy_weights::PolicyWeights;
pub use random_of_two::RandomOfTwo;
pub use totals::Totals;
pub use worker_info::WorkerInfo;
