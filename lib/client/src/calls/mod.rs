//! Typed methods of the client, one file a call group.

mod catalogue;
mod jobs;
mod nodes;
mod platform;
mod requests;
mod teams;
