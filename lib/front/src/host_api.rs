use std::{fmt::Debug, time::Duration};

use futures::future::BoxFuture;
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::Outcome;
use tarragon_names::{ExecutorName, HostName, JobId, MemberId, Revision};
use tarragon_routing::{Announcement, AnnouncementReply, ExecutorView};
use tarragon_scheduler::{Explanation, WorkerView};

use crate::{HostView, ServiceCall, ServiceReply};

/// Boxed future that resolves to an [`Outcome`].
pub type BoxOutcome<'a, T> = BoxFuture<'a, Outcome<T>>;

/// Operations of the host that the HTTP interface calls.
pub trait HostApi: Debug + Send + Sync {
    /// Writes a command to the replicated log and returns the result of applying it.
    fn propose(&self, command: Command, timeout: Duration) -> BoxOutcome<'_, Answer>;

    /// Reads the replicated state; the answer reflects every write accepted earlier.
    fn query(&self, query: Query) -> BoxOutcome<'_, QueryAnswer>;

    /// Sends a service request to an executor of its pool and returns the answer.
    fn serve(&self, call: ServiceCall) -> BoxOutcome<'_, ServiceReply>;

    /// Registers an executor with this host, or renews its registration.
    fn announce(&self, announcement: Announcement) -> Outcome<AnnouncementReply>;

    /// Sets whether an executor is draining; a draining executor gets no new requests.
    fn drain_executor(&self, name: ExecutorName, draining: bool) -> BoxOutcome<'_, ()>;

    /// Lists the executors of all hosts.
    fn executors(&self) -> BoxOutcome<'_, Vec<ExecutorView>>;

    /// Lists the workers that the leader knows.
    fn workers(&self) -> BoxOutcome<'_, Vec<WorkerView>>;

    /// Lists the entry hosts as this host sees them.
    fn hosts(&self) -> BoxOutcome<'_, Vec<HostView>>;

    /// Returns the reasons for the state of a job.
    fn explain(&self, job: JobId) -> BoxOutcome<'_, Explanation>;

    /// Whether every host decides by this catalogue revision or a later one.
    fn is_in_force(&self, revision: Revision) -> BoxOutcome<'_, bool>;

    /// Makes the learner `add` a voter in place of `remove`.
    fn replace_member(&self, remove: MemberId, add: MemberId) -> BoxOutcome<'_, ()>;

    /// Whether load balancers should send callers to this host.
    fn is_ready(&self) -> bool;

    /// Name of this host, shown in answers to operators.
    fn host_name(&self) -> &HostName;
}
