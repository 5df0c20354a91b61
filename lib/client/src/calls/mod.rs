//! Typed methods of the client, one file for each group of calls.

mod catalogue;
mod jobs;
mod nodes;
mod platform;
mod requests;
mod teams;
