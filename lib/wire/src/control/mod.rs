//! Remote procedure calls between entry hosts.

mod catalogue_grant;
mod catalogue_poll;
mod forwarded_call;
mod forwarded_reply;
mod group_view;
mod member_view;

use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::Failure;
use tarragon_names::{ExecutorName, HostName, JobId, MemberId, Revision, Term};
use tarragon_routing::ExecutorView;
use tarragon_scheduler::{Explanation, WorkerView};

pub use catalogue_grant::CatalogueGrant;
pub use catalogue_poll::CataloguePoll;
pub use forwarded_call::ForwardedCall;
pub use forwarded_reply::ForwardedReply;
pub use group_view::GroupView;
pub use member_view::MemberView;

/// Calls between entry hosts. Only the leader answers them, except for the last four, which any
/// host answers.
#[tarpc::service]
pub trait Control {
    /// Proposes a command for the log and returns the result of applying it.
    async fn propose(command: Command) -> Result<Answer, Failure>;
    /// Reads the replicated state, which then contains everything committed before the call.
    async fn query(query: Query) -> Result<QueryAnswer, Failure>;
    /// Returns the catalogue changes since the revision of the poll and grants a freshness lease.
    async fn poll_catalogue(poll: CataloguePoll) -> Result<CatalogueGrant, Failure>;
    /// Returns whether no host can still decide by a catalogue older than `revision`.
    async fn in_force(revision: Revision) -> Result<bool, Failure>;
    /// Lists the workers known to the scheduler.
    async fn workers() -> Result<Vec<WorkerView>, Failure>;
    /// Explains why a job is in its state.
    async fn explain(job: JobId) -> Result<Explanation, Failure>;
    /// Describes the replica group and the hosts that poll the leader.
    async fn group() -> Result<GroupView, Failure>;
    /// Adds the replica `member` on `host` to the group as a learner.
    async fn join(host: HostName, member: MemberId) -> Result<(), Failure>;
    /// Removes the member `remove` and makes the learner `add` a voter.
    async fn replace_member(remove: MemberId, add: MemberId) -> Result<(), Failure>;
    /// Forwards a service request to an executor whose home host is the called host.
    async fn forward(call: ForwardedCall) -> ForwardedReply;
    /// Lists the executors whose home host is the called host.
    async fn executors() -> Vec<ExecutorView>;
    /// Drains an executor of the called host, or ends its drain. Returns false if the host does not
    /// know the executor.
    async fn drain_executor(name: ExecutorName, draining: bool) -> bool;
    /// Returns the last leader known to the called host, with its term.
    async fn leader() -> Option<(Term, HostName)>;
}
