//! Placement of tasks on workers behind one trait.
//!
//! All placers use the same ledger of workers and reservations. It is sharded by rack, with one
//! lock per shard. A decision reserves the capacity of the tasks that it places before it returns,
//! so two decisions cannot assign the same capacity.

mod candidate;
mod expected_ends;
mod first_fit;
mod free_index;
mod grid;
mod head_reservation;
mod indexed_placer;
mod ledger;
mod place_request;
mod place_with_all_locks;
mod placement;
mod placer;
mod policy_weights;
mod rack_shard;
mod random_of_two;
mod resource_sums;
mod resource_weights;
mod search;
mod shard_worker;
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
