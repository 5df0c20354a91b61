//! Scheduling decisions of the leading host.

mod explanation;
mod worker_view;

pub use explanation::Explanation;
pub use worker_view::WorkerView;
