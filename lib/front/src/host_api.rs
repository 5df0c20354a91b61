use std::{fmt::Debug, time::Duration};

use futures::future::BoxFuture;
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::Outcome;
use tarragon_names::{ExecutorName, HostName, JobId, MemberId, Revision};
use tarragon_routing::{Announcement, AnnouncementReply, ExecutorView};
use tarragon_scheduler::{Explanation, WorkerView};

use crate::{HostView, ServiceCall, ServiceReply};

/// Future of an outcome.
pub type BoxOutcome<'a, T> = BoxFuture<'a, Outcome<T>>;

/// What the HTTP interface needs from the rest of the host.
pub trait HostApi: Debug + Send + Sync {
    /// Writes a command to the replicated log and gives the result of applying it.
    fn propose(&self, command: Command, timeout: Duration) -> BoxOutcome<'_, Answer>;

    /// Reads the replicated state, up to date with every earlier accepted write.
    fn query(&self, query: Query) -> BoxOutcome<'_, QueryAnswer>;

    /// Runs a service request.
    fn serve(&self, call: ServiceCall) -> BoxOutcome<'_, ServiceReply>;

    /// Takes an announcement of an executor.
    fn announce(&self, announcement: Announcement) -> Outcome<AnnouncementReply>;

    /// Marks an executor as draining, or takes it back.
    fn drain_executor(&self, name: ExecutorName, draining: bool) -> BoxOutcome<'_, ()>;

    /// Lists the executors of all hosts.
    fn executors(&self) -> BoxOutcome<'_, Vec<ExecutorView>>;

    /// Lists the workers that the leader knows.
    fn workers(&self) -> BoxOutcome<'_, Vec<WorkerView>>;

    /// Lists the entry hosts.
    fn hosts(&self) -> BoxOutcome<'_, Vec<HostView>>;

    /// Says why a job is in its state.
    fn explain(&self, job: JobId) -> BoxOutcome<'_, Explanation>;

    /// Tells whether a catalogue revision is in force everywhere.
    fn is_in_force(&self, revision: Revision) -> BoxOutcome<'_, bool>;

    /// Makes the learner `add` a voter in place of `remove`.
    fn replace_member(&self, remove: MemberId, add: MemberId) -> BoxOutcome<'_, ()>;

    /// Tells whether callers should be sent to this host.
    fn is_ready(&self) -> bool;

    /// Name of this host.
    fn host_name(&self) -> &HostName;
}
