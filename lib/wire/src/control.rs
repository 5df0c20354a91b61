//! Calls between entry hosts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::Failure;
use tarragon_names::{
    ExecutorName, HostName, JobId, JobName, KeyName, LogIndex, MemberId, Millis, Revision, Term,
};
use tarragon_routing::ExecutorView;
use tarragon_scheduler::{Explanation, WorkerView};

/// Poll of a host for catalogue changes and a freshness grant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CataloguePoll {
    /// The host that polls.
    pub host: HostName,
    /// Revision that it decides by.
    pub revision: Revision,
    /// Its own clock reading, echoed by the grant.
    pub clock: Millis,
}

/// Answer to a poll.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CatalogueGrant {
    /// The host's own clock reading, from which its freshness lease runs.
    pub clock: Millis,
    /// Term of the leader.
    pub term: Term,
    /// Revision that the host holds once it has installed the changes.
    pub revision: Revision,
    /// Entries changed since the revision of the poll; `None` for a deleted one.
    pub entries: Vec<(Pattern, Revision, Option<CatalogueEntry>)>,
}

/// A service request forwarded to the home host of an executor.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedCall {
    /// Host that forwards.
    pub from: HostName,
    /// Number of the request at that host.
    pub request: u64,
    /// Name of the request.
    pub name: JobName,
    /// Idempotency key, already claimed by the sender.
    pub key: Option<KeyName>,
    /// Time left until the deadline, in milliseconds.
    pub timeout_ms: u64,
    /// Body of the request.
    pub body: Arc<[u8]>,
}

/// Answer to a forwarded request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ForwardedReply {
    /// The whole answer of the executor.
    Answered {
        /// Number of the request at the host that forwarded it.
        request: u64,
        /// HTTP status of the executor.
        status: u16,
        /// Media type of the body.
        content_type: Option<String>,
        /// Whole body.
        body: Arc<[u8]>,
    },
    /// The request was not sent to an executor and never will be.
    NotSent(Failure),
    /// Bytes had left toward an executor and the outcome is not known.
    Unknown(Failure),
}

/// State of a replica as the leader knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberView {
    /// Its host.
    pub host: HostName,
    /// Its identity.
    pub member: MemberId,
    /// Whether it votes.
    pub voter: bool,
    /// Last index that it holds durably, if known.
    pub synced: Option<LogIndex>,
    /// Whether it answered lately.
    pub reachable: bool,
}

/// State of the replica group and of the polling hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupView {
    /// The leader.
    pub leader: HostName,
    /// Its term.
    pub term: Term,
    /// The members.
    pub members: Vec<MemberView>,
    /// Revision that each host last polled with, and whether it polled lately.
    pub hosts: Vec<(HostName, Revision, bool)>,
}

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
