//! Tests of replica groups with fakes for network, disk and clock.

mod byte_bounds;
mod fakes;
mod follower;
mod full_disk;
mod lagging_member;
mod random;
mod replication;
mod scenarios;
mod script;
mod transfer;
