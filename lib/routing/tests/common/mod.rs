//! Announcements and request ids for the tests of this crate.
#![allow(
    dead_code,
    reason = "some items are used by one of the test files only"
)]

use tarragon_routing::{Announcement, RequestIds};

/// An announcement of an executor with two slots, at epoch 1.
pub fn announcement(name: &str, busy: u32, echoed_clock: Option<u64>) -> Announcement {
    Announcement {
        name: name.into(),
        pool: "reels".into(),
        domain: "zilina".into(),
        address: "127.0.0.1:9".to_owned(),
        slots: 2,
        connections: 64,
        busy,
        leaving: false,
        epoch: 1,
        echoed_clock,
        running: None,
    }
}

/// Request ids of the host under test.
pub fn ids() -> RequestIds {
    RequestIds::new(&"h1".into(), 1)
}
