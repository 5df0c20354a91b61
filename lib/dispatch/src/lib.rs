//! Decisions of the leading host about workers that are called.
//!
//! [`Input`]s go in and [`Output`]s come out of the [`Dispatcher`]; the caller owns the clock, the
//! log and the connections. What is decided about a run is in the log before the worker is told,
//! and the end of a run is acknowledged to its worker only after it was committed.

mod advice;
mod advice_relays;
mod config;
mod decision_event;
mod dispatcher;
mod dispatcher_advice;
mod dispatcher_holds;
mod dispatcher_jobs;
mod dispatcher_orders;
mod dispatcher_overdue;
mod dispatcher_pace;
mod dispatcher_place;
mod dispatcher_preempt;
mod input;
mod order;
mod output;
mod pace;
mod packing;
mod poll;
mod run_terms;
mod run_view;
mod seat;
mod seats;
mod step_plan;

pub use advice_relays::AdviceRelays;
pub use config::DispatchConfig;
pub use decision_event::DecisionEvent;
pub use dispatcher::Dispatcher;
pub use input::{AdviceAnswer, Input};
pub use order::{OrderOutcome, Refusal, StartOrder, StopOrder, ThrottleOrder};
pub use output::{AdviceRequest, Output};
pub use poll::{FinishedRun, PollAnswer, PollCall, PollOutcome, RunStatus};
