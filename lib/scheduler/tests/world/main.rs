//! Scheduler, cell and lease guards in one process, with fakes for network and clock.

mod fake_worker;
mod random_run;
mod scenarios;
mod simulation;
