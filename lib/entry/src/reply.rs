use serde::{Deserialize, Serialize};
use tarragon_dispatch::AdviceAnswer;
use tarragon_names::{HostName, MemberId, Name, Term};
use tarragon_workflow::JobPhase;

/// A member of the replica group, for hosts that hold no replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberView {
    /// Its identity.
    pub id: MemberId,
    /// Its host.
    pub host: HostName,
}

/// Answer to a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The request took effect, now or before.
    Done,
    /// State of a job.
    Phase(JobPhase),
    /// Accepted jobs of a queue of which nothing was started.
    PendingCount(u64),
    /// The configuration, as it was sent.
    Configuration(Name),
    /// Where a worker should send its heartbeats.
    Announced {
        /// The leader's address for heartbeats.
        heartbeat_address: Name,
    },
    /// Whether a wave of upkeep is completed.
    Wave {
        /// All its machines have had their upkeep.
        is_completed: bool,
    },
    /// The leader has taken note of a host.
    Welcome {
        /// Term of the leader.
        term: Term,
        /// The group.
        members: Vec<MemberView>,
    },
    /// Another host leads, as far as is known; nothing was done.
    NotLeader {
        /// That host, with its term.
        leader: Option<(Term, HostName)>,
    },
    /// What the advice service told; absent if it did not answer.
    Advice(Option<AdviceAnswer>),
}
