use crate::{Announcement, RequestIds};

/// Requests that an executor reports as running.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct RunningRequests {
    /// Numbers of the requests that this process sent.
    pub own: Vec<u64>,
    /// Number of requests that other processes sent.
    pub others: u32,
}

impl RunningRequests {
    /// Reads the running requests from an announcement; `None` if it does not list them.
    pub fn from_announcement(announcement: &Announcement, ids: &RequestIds) -> Option<Self> {
        let listed = announcement.running.as_ref()?;
        let own = listed
            .iter()
            .filter_map(|id| ids.parse_number(id.as_str()))
            .collect::<Vec<_>>();
        Some(Self {
            others: (listed.len() - own.len()) as u32,
            own,
        })
    }
}
