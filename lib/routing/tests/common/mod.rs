//! Announcements for the tests of this crate.

use tarragon_routing::Announcement;

/// An announcement of process 1 of an executor with two slots.
pub fn announcement(name: &str, busy: u32, echo: Option<u64>) -> Announcement {
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
        echo,
    }
}
