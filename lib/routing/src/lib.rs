//! Routing decisions for service requests.

mod announcement;
mod executor_view;

pub use announcement::{Announcement, AnnouncementReply};
pub use executor_view::ExecutorView;
