//! Calls between entry hosts.

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

/// Calls that entry hosts make to one another. All but the last four are answered by the leader.
#[tarpc::service]
pub trait Control {
    /// Writes a command to the log and gives the result of applying it.
    async fn propose(command: Command) -> Result<Answer, Failure>;
    /// Reads the replicated state.
    async fn query(query: Query) -> Result<QueryAnswer, Failure>;
    /// Fetches catalogue changes and a freshness grant.
    async fn poll_catalogue(poll: CataloguePoll) -> Result<CatalogueGrant, Failure>;
    /// Tells whether a catalogue revision is in force everywhere.
    async fn in_force(revision: Revision) -> Result<bool, Failure>;
    /// Lists workers.
    async fn workers() -> Result<Vec<WorkerView>, Failure>;
    /// Says why a job is in its state.
    async fn explain(job: JobId) -> Result<Explanation, Failure>;
    /// Describes the replica group.
    async fn group() -> Result<GroupView, Failure>;
    /// Adds a new replica as a learner.
    async fn join(host: HostName, member: MemberId) -> Result<(), Failure>;
    /// Makes a learner a voter in place of another member.
    async fn replace_member(remove: MemberId, add: MemberId) -> Result<(), Failure>;
    /// Sends a service request to an executor that the called host is home to.
    async fn forward(call: ForwardedCall) -> ForwardedReply;
    /// Lists the executors that the called host is home to.
    async fn executors() -> Vec<ExecutorView>;
    /// Marks an executor of the called host as draining or takes it back; false if unknown there.
    async fn drain_executor(name: ExecutorName, draining: bool) -> bool;
    /// Leader as far as the called host knows, with its term.
    async fn leader() -> Option<(Term, HostName)>;
}
