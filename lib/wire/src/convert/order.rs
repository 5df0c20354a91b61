//! Encoding of orders to workers.

use std::sync::Arc;

use tarragon_leases::{TaskSpec, WorkerOrder};
use tarragon_names::{Millis, Term};

use super::value::{
    AttemptMsg, FenceMsg, ResourcesMsg, SessionMsg, workload_from_number, workload_to_number,
};
use crate::WireError;

/// Encoding of a [`WorkerOrder`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderMsg {
    #[prost(oneof = "OrderBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    body: Option<OrderBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum OrderBody {
    #[prost(message, tag = "1")]
    Welcome(LeaseGrantMsg),
    #[prost(message, tag = "2")]
    HeartbeatReply(LeaseGrantMsg),
    /// Holds the term of the leader.
    #[prost(uint64, tag = "3")]
    UnknownSession(u64),
    #[prost(message, tag = "4")]
    Start(StartMsg),
    #[prost(message, tag = "5")]
    Stop(FencedAttemptMsg),
    #[prost(message, tag = "6")]
    Throttle(ThrottleMsg),
    #[prost(message, tag = "7")]
    Checkpoint(FencedAttemptMsg),
    #[prost(message, tag = "8")]
    EndRecorded(AttemptMsg),
    /// The value has no meaning; a `oneof` cannot hold an empty variant.
    #[prost(bool, tag = "9")]
    Move(bool),
}

#[derive(Clone, PartialEq, prost::Message)]
struct LeaseGrantMsg {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(message, required, tag = "2")]
    session: SessionMsg,
    #[prost(uint64, tag = "3")]
    worker_clock_ms: u64,
    #[prost(uint64, tag = "4")]
    lease_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct FencedAttemptMsg {
    #[prost(message, required, tag = "1")]
    fence: FenceMsg,
    #[prost(message, required, tag = "2")]
    attempt: AttemptMsg,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ThrottleMsg {
    #[prost(message, required, tag = "1")]
    target: FencedAttemptMsg,
    #[prost(uint64, tag = "2")]
    cpu_milli: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct StartMsg {
    #[prost(message, required, tag = "1")]
    target: FencedAttemptMsg,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(uint32, tag = "3")]
    workload: u32,
    #[prost(message, required, tag = "4")]
    resources: ResourcesMsg,
    #[prost(uint64, tag = "5")]
    run_ms: u64,
    #[prost(bytes = "vec", tag = "6")]
    payload: Vec<u8>,
}

pub fn order_to_msg(order: &WorkerOrder) -> OrderMsg {
    let target = |fence: &tarragon_names::Fence, task, attempt| FencedAttemptMsg {
        fence: (*fence).into(),
        attempt: AttemptMsg::new(task, attempt),
    };
    let body = match order {
        WorkerOrder::Welcome {
            term,
            session,
            clock,
            lease,
        } => OrderBody::Welcome(LeaseGrantMsg {
            term: term.0,
            session: (*session).into(),
            worker_clock_ms: clock.0,
            lease_ms: lease.0,
        }),
        WorkerOrder::HeartbeatReply {
            term,
            session,
            clock,
            lease,
        } => OrderBody::HeartbeatReply(LeaseGrantMsg {
            term: term.0,
            session: (*session).into(),
            worker_clock_ms: clock.0,
            lease_ms: lease.0,
        }),
        WorkerOrder::UnknownSession { term } => OrderBody::UnknownSession(term.0),
        WorkerOrder::Start {
            fence,
            task,
            attempt,
            spec,
        } => OrderBody::Start(StartMsg {
            target: target(fence, *task, *attempt),
            name: spec.name.to_string(),
            workload: workload_to_number(spec.workload),
            resources: spec.resources.into(),
            run_ms: spec.run_ms,
            payload: spec.payload.to_vec(),
        }),
        WorkerOrder::Stop {
            fence,
            task,
            attempt,
        } => OrderBody::Stop(target(fence, *task, *attempt)),
        WorkerOrder::Throttle {
            fence,
            task,
            attempt,
            cpu_milli,
        } => OrderBody::Throttle(ThrottleMsg {
            target: target(fence, *task, *attempt),
            cpu_milli: *cpu_milli,
        }),
        WorkerOrder::Checkpoint {
            fence,
            task,
            attempt,
        } => OrderBody::Checkpoint(target(fence, *task, *attempt)),
        WorkerOrder::EndRecorded { task, attempt } => {
            OrderBody::EndRecorded(AttemptMsg::new(*task, *attempt))
        }
        WorkerOrder::SwitchGateway => OrderBody::Move(true),
    };
    OrderMsg { body: Some(body) }
}

pub fn order_from_msg(msg: OrderMsg) -> Result<WorkerOrder, WireError> {
    let body = msg.body.ok_or(WireError::Field("order"))?;
    Ok(match body {
        OrderBody::Welcome(msg) => WorkerOrder::Welcome {
            term: Term(msg.term),
            session: msg.session.into(),
            clock: Millis(msg.worker_clock_ms),
            lease: Millis(msg.lease_ms),
        },
        OrderBody::HeartbeatReply(msg) => WorkerOrder::HeartbeatReply {
            term: Term(msg.term),
            session: msg.session.into(),
            clock: Millis(msg.worker_clock_ms),
            lease: Millis(msg.lease_ms),
        },
        OrderBody::UnknownSession(term) => WorkerOrder::UnknownSession { term: Term(term) },
        OrderBody::Start(msg) => WorkerOrder::Start {
            fence: msg.target.fence.into(),
            task: msg.target.attempt.task(),
            attempt: msg.target.attempt.attempt(),
            spec: TaskSpec {
                name: msg.name.into(),
                workload: workload_from_number(msg.workload)?,
                resources: msg.resources.into(),
                run_ms: msg.run_ms,
                payload: Arc::from(msg.payload),
            },
        },
        OrderBody::Stop(msg) => WorkerOrder::Stop {
            fence: msg.fence.into(),
            task: msg.attempt.task(),
            attempt: msg.attempt.attempt(),
        },
        OrderBody::Throttle(msg) => WorkerOrder::Throttle {
            fence: msg.target.fence.into(),
            task: msg.target.attempt.task(),
            attempt: msg.target.attempt.attempt(),
            cpu_milli: msg.cpu_milli,
        },
        OrderBody::Checkpoint(msg) => WorkerOrder::Checkpoint {
            fence: msg.fence.into(),
            task: msg.attempt.task(),
            attempt: msg.attempt.attempt(),
        },
        OrderBody::EndRecorded(msg) => WorkerOrder::EndRecorded {
            task: msg.task(),
            attempt: msg.attempt(),
        },
        OrderBody::Move(_) => WorkerOrder::SwitchGateway,
    })
}
