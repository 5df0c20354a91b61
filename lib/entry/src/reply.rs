use derive_more::Debug;
use serde::{Deserialize, Serialize};
use tarragon_dispatch::AdviceAnswer;
use tarragon_names::{HostName, MemberId, Name, Term};
use tarragon_workflow::JobPhase;

/// A member of the replica group, as other hosts need it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberView {
    /// Identity of the member's replica.
    pub id: MemberId,
    /// Host that holds the replica.
    pub host: HostName,
}

/// Answer to a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The request took effect, now or earlier.
    Done,
    /// State of a job.
    Phase(JobPhase),
    /// Number of accepted jobs of a queue that are still pending.
    PendingCount(u64),
    /// Text of the configuration in force, as the operator sent it. It may contain keys of teams.
    #[debug("Configuration({} bytes)", _0.len())]
    Configuration(Name),
    /// The caller had better repeat the request at this address, which is that of the leader.
    Redirect(Name),
    /// The leader has handled the heartbeat of a worker.
    Announced {
        /// Address of the leader, to which the worker should send its heartbeats.
        heartbeat_address: Name,
    },
    /// State of a wave of upkeep.
    Wave {
        /// Whether the upkeep of every machine was ordered, has begun, or is no longer needed.
        is_completed: bool,
    },
    /// The leader has registered a host that announced itself.
    Welcome {
        /// Term of the leader.
        term: Term,
        /// Members of the replica group.
        members: Vec<MemberView>,
    },
    /// The answering host does not lead, or lost the leadership while it read the state; the
    /// request had no effect.
    NotLeader {
        /// Leader with its term, if the answering host knows one.
        leader: Option<(Term, HostName)>,
    },
    /// Answer of the advice service; `None` if no valid answer came in time.
    Advice(Option<AdviceAnswer>),
}
