//! Decisions of the leading host about workers: placement of tasks, orders, leases and advice.
//!
//! The [`Dispatcher`] turns [`Input`]s into [`Output`]s; the caller owns the clock, the log and the
//! connections. A decision about a run is committed to the log before its worker gets an order, and
//! the end of a run is acknowledged to its worker only after it was committed.

mod address_claim;
mod advice;
mod advice_relays;
mod backoff;
mod capped_teams;
mod config;
mod decision_event;
mod dispatcher;
mod dispatcher_advice;
mod dispatcher_health;
mod dispatcher_inputs;
mod dispatcher_interference;
mod dispatcher_jobs;
mod dispatcher_late_starts;
mod dispatcher_leadership;
mod dispatcher_load;
mod dispatcher_orders;
mod dispatcher_overdue;
mod dispatcher_place;
mod dispatcher_polls;
mod dispatcher_preempt;
mod dispatcher_report;
mod dispatcher_successions;
mod dispatcher_teams;
mod dispatcher_throttle;
mod dispatcher_workers;
mod earlier_lease;
mod failure_rate;
mod fencing_token;
mod headroom;
mod held_ends;
mod input;
mod job_reading;
mod late_answers;
mod late_orders;
mod listed_end;
mod load_counters;
mod loss_cause;
mod nameable_workers;
mod open_occurrences;
mod order;
mod output;
mod packing;
mod placement_rank;
mod poll;
mod recent_placements;
mod retry_outcomes;
mod run_progress;
mod run_rate;
mod run_spec;
mod run_view;
mod step_plan;
mod team_quotas;
mod team_report;
mod unanswered_starts;
mod unexpected_runs;
mod unusable;
mod wait;
mod worker_speed;
mod worker_state;
mod worker_table;

pub use advice_relays::AdviceRelays;
pub use config::DispatchConfig;
pub use decision_event::DecisionEvent;
pub use dispatcher::Dispatcher;
pub use fencing_token::FencingToken;
pub use input::{AdviceAnswer, Input};
pub use order::{FinishedOrder, OrderOutcome, Refusal, StartOrder, StopOrder, ThrottleOrder};
pub use output::{AdviceRequest, Output};
pub use poll::{FinishedRun, PollAnswer, PollCall, PollOutcome, RunStatus};
pub use team_report::TeamReport;
