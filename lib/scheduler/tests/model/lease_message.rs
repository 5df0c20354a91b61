use tarragon_leases::TaskEnd;
use tarragon_names::{Attempt, Fence, Millis, Session, Term};

/// `WorkerReport` reduced to what the model needs.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Report {
    Register(Millis),
    Heartbeat(Session, Millis, Option<Attempt>),
    Ended(Attempt, EndKind),
}

/// `TaskEnd` with a total order, so that messages can be kept in a set.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EndKind {
    Exited,
    Stopped,
    NeverBegan,
}

/// `WorkerOrder` reduced to what the model needs.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Order {
    Welcome(Term, Session, Millis),
    HeartbeatReply(Term, Session, Millis),
    UnknownSession(Term),
    Start(Fence, Attempt),
    Stop(Fence, Attempt),
    EndRecorded(Attempt),
}

/// A message between a worker, given by its number, and the leaders.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Message {
    ToLeader(usize, Report),
    ToWorker(usize, Order),
}

impl From<TaskEnd> for EndKind {
    fn from(end: TaskEnd) -> Self {
        match end {
            TaskEnd::Exited(_) => Self::Exited,
            TaskEnd::Stopped | TaskEnd::Checkpointed => Self::Stopped,
            TaskEnd::NeverBegan => Self::NeverBegan,
        }
    }
}
