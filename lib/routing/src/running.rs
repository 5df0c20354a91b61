use crate::{Announcement, RequestIds};

/// Requests that an executor lists as running.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Running {
    /// Numbers of those that this process sent.
    pub own: Vec<u64>,
    /// How many came from other processes.
    pub others: u32,
}

impl Running {
    /// Reads the list of an announcement, if it has one.
    pub fn of(announcement: &Announcement, ids: &RequestIds) -> Option<Self> {
        let listed = announcement.running.as_ref()?;
        let own = listed
            .iter()
            .filter_map(|id| ids.number(id.as_str()))
            .collect::<Vec<_>>();
        Some(Self {
            others: (listed.len() - own.len()) as u32,
            own,
        })
    }
}
