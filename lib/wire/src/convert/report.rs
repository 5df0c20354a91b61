//! Encoding of reports of workers.

use tarragon_leases::WorkerReport;
use tarragon_names::Millis;

use super::value::{ResourcesMsg, RunningTaskMsg, SessionMsg, TaskEndMsg};
use crate::WireError;

/// Encoding of a [`WorkerReport`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReportMsg {
    #[prost(oneof = "ReportBody", tags = "1, 2, 3, 4")]
    body: Option<ReportBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum ReportBody {
    #[prost(message, tag = "1")]
    Register(RegisterMsg),
    #[prost(message, tag = "2")]
    Heartbeat(HeartbeatMsg),
    #[prost(message, tag = "3")]
    Ended(TaskEndedMsg),
    #[prost(message, tag = "4")]
    Leaving(SessionMsg),
}

#[derive(Clone, PartialEq, prost::Message)]
struct RegisterMsg {
    #[prost(string, tag = "1")]
    worker: String,
    #[prost(string, tag = "2")]
    domain: String,
    #[prost(string, tag = "3")]
    rack: String,
    #[prost(message, required, tag = "4")]
    capacity: ResourcesMsg,
    #[prost(uint64, tag = "5")]
    worker_clock_ms: u64,
    #[prost(message, repeated, tag = "6")]
    running: Vec<RunningTaskMsg>,
    #[prost(message, repeated, tag = "7")]
    ended: Vec<TaskEndMsg>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HeartbeatMsg {
    #[prost(message, required, tag = "1")]
    session: SessionMsg,
    #[prost(uint64, tag = "2")]
    worker_clock_ms: u64,
    #[prost(message, repeated, tag = "3")]
    running: Vec<RunningTaskMsg>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct TaskEndedMsg {
    #[prost(message, required, tag = "1")]
    session: SessionMsg,
    #[prost(message, required, tag = "2")]
    end: TaskEndMsg,
}

pub fn report_to_msg(report: &WorkerReport) -> ReportMsg {
    let body = match report {
        WorkerReport::Register {
            worker,
            domain,
            rack,
            capacity,
            clock,
            running,
            ended,
        } => ReportBody::Register(RegisterMsg {
            worker: worker.to_string(),
            domain: domain.to_string(),
            rack: rack.to_string(),
            capacity: (*capacity).into(),
            worker_clock_ms: clock.0,
            running: running.iter().map(RunningTaskMsg::from).collect(),
            ended: ended
                .iter()
                .map(|(task, attempt, end)| TaskEndMsg::new(*task, *attempt, *end))
                .collect(),
        }),
        WorkerReport::Heartbeat {
            session,
            clock,
            running,
        } => ReportBody::Heartbeat(HeartbeatMsg {
            session: (*session).into(),
            worker_clock_ms: clock.0,
            running: running.iter().map(RunningTaskMsg::from).collect(),
        }),
        WorkerReport::TaskEnded {
            session,
            task,
            attempt,
            end,
        } => ReportBody::Ended(TaskEndedMsg {
            session: (*session).into(),
            end: TaskEndMsg::new(*task, *attempt, *end),
        }),
        WorkerReport::Leaving { session } => ReportBody::Leaving((*session).into()),
    };
    ReportMsg { body: Some(body) }
}

pub fn report_from_msg(msg: ReportMsg) -> Result<WorkerReport, WireError> {
    let body = msg.body.ok_or(WireError::Field("report"))?;
    Ok(match body {
        ReportBody::Register(msg) => WorkerReport::Register {
            worker: msg.worker.into(),
            domain: msg.domain.into(),
            rack: msg.rack.into(),
            capacity: msg.capacity.into(),
            clock: Millis(msg.worker_clock_ms),
            running: msg.running.into_iter().map(Into::into).collect(),
            ended: msg
                .ended
                .iter()
                .map(|end| Ok((end.attempt.task(), end.attempt.attempt(), end.end()?)))
                .collect::<Result<_, WireError>>()?,
        },
        ReportBody::Heartbeat(msg) => WorkerReport::Heartbeat {
            session: msg.session.into(),
            clock: Millis(msg.worker_clock_ms),
            running: msg.running.into_iter().map(Into::into).collect(),
        },
        ReportBody::Ended(msg) => WorkerReport::TaskEnded {
            session: msg.session.into(),
            task: msg.end.attempt.task(),
            attempt: msg.end.attempt.attempt(),
            end: msg.end.end()?,
        },
        ReportBody::Leaving(session) => WorkerReport::Leaving {
            session: session.into(),
        },
    })
}
