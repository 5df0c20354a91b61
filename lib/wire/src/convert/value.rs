//! Encoding of values that occur in several messages.

use tarragon_leases::{RunningTask, TaskEnd};
use tarragon_names::{Attempt, Fence, JobId, Resources, Session, TaskId, Term, Workload};

use crate::WireError;

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ResourcesMsg {
    #[prost(uint64, tag = "1")]
    pub cpu_milli: u64,
    #[prost(uint64, tag = "2")]
    pub memory_mb: u64,
    #[prost(uint64, tag = "3")]
    pub accelerators: u64,
}

impl From<Resources> for ResourcesMsg {
    fn from(value: Resources) -> Self {
        Self {
            cpu_milli: value.cpu_milli,
            memory_mb: value.memory_mb,
            accelerators: value.accelerators,
        }
    }
}

impl From<ResourcesMsg> for Resources {
    fn from(msg: ResourcesMsg) -> Self {
        Self::new(msg.cpu_milli, msg.memory_mb, msg.accelerators)
    }
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SessionMsg {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub counter: u64,
}

impl From<Session> for SessionMsg {
    fn from(value: Session) -> Self {
        Self {
            term: value.term.0,
            counter: value.counter,
        }
    }
}

impl From<SessionMsg> for Session {
    fn from(msg: SessionMsg) -> Self {
        Self {
            term: Term(msg.term),
            counter: msg.counter,
        }
    }
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FenceMsg {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(message, required, tag = "2")]
    pub session: SessionMsg,
    #[prost(uint64, tag = "3")]
    pub seq: u64,
}

impl From<Fence> for FenceMsg {
    fn from(value: Fence) -> Self {
        Self {
            term: value.term.0,
            session: value.session.into(),
            seq: value.seq,
        }
    }
}

impl From<FenceMsg> for Fence {
    fn from(msg: FenceMsg) -> Self {
        Self {
            term: Term(msg.term),
            session: msg.session.into(),
            seq: msg.seq,
        }
    }
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct AttemptMsg {
    #[prost(uint64, tag = "1")]
    pub job: u64,
    #[prost(uint32, tag = "2")]
    pub index: u32,
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
}

impl AttemptMsg {
    pub fn new(task: TaskId, attempt: Attempt) -> Self {
        Self {
            job: task.job.0,
            index: task.index,
            attempt: attempt.0,
        }
    }

    pub fn task(&self) -> TaskId {
        TaskId {
            job: JobId(self.job),
            index: self.index,
        }
    }

    pub fn attempt(&self) -> Attempt {
        Attempt(self.attempt)
    }
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RunningTaskMsg {
    #[prost(message, required, tag = "1")]
    pub attempt: AttemptMsg,
    #[prost(message, required, tag = "2")]
    pub usage: ResourcesMsg,
}

impl From<&RunningTask> for RunningTaskMsg {
    fn from(value: &RunningTask) -> Self {
        Self {
            attempt: AttemptMsg::new(value.task, value.attempt),
            usage: value.usage.into(),
        }
    }
}

impl From<RunningTaskMsg> for RunningTask {
    fn from(msg: RunningTaskMsg) -> Self {
        Self {
            task: msg.attempt.task(),
            attempt: msg.attempt.attempt(),
            usage: msg.usage.into(),
        }
    }
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct TaskEndMsg {
    #[prost(message, required, tag = "1")]
    pub attempt: AttemptMsg,
    /// Variant of `TaskEnd`: 0 `Exited`, 1 `Stopped`, 2 `Checkpointed`, 3 `NeverBegan`.
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// Exit status of an exited task; otherwise 0.
    #[prost(sint32, tag = "3")]
    pub status: i32,
}

impl TaskEndMsg {
    pub fn new(task: TaskId, attempt: Attempt, end: TaskEnd) -> Self {
        let (kind, status) = match end {
            TaskEnd::Exited(status) => (0, status),
            TaskEnd::Stopped => (1, 0),
            TaskEnd::Checkpointed => (2, 0),
            TaskEnd::NeverBegan => (3, 0),
        };
        Self {
            attempt: AttemptMsg::new(task, attempt),
            kind,
            status,
        }
    }

    pub fn end(&self) -> Result<TaskEnd, WireError> {
        Ok(match self.kind {
            0 => TaskEnd::Exited(self.status),
            1 => TaskEnd::Stopped,
            2 => TaskEnd::Checkpointed,
            3 => TaskEnd::NeverBegan,
            _ => return Err(WireError::Field("kind")),
        })
    }
}

pub fn workload_to_number(workload: Workload) -> u32 {
    match workload {
        Workload::Batch => 0,
        Workload::Service => 1,
        Workload::AllOrNothing => 2,
        Workload::Request => 3,
    }
}

pub fn workload_from_number(number: u32) -> Result<Workload, WireError> {
    Ok(match number {
        0 => Workload::Batch,
        1 => Workload::Service,
        2 => Workload::AllOrNothing,
        3 => Workload::Request,
        _ => return Err(WireError::Field("workload")),
    })
}
