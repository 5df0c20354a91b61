//! Tests of replica groups with fakes for network, disk and clock.

mod fakes;
mod follower;
mod random;
mod replication;
mod scenarios;
mod script;
