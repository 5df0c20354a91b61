//! Simulation of the scheduler, the cell and the lease guards in one process, with a fake network
//! and a fake clock.

mod fake_worker;
mod random_run;
mod scenarios;
mod simulation;
