//! Guards against an encoding that loses or changes a field of a message.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use prost::Message;
use tarragon_agreement::{Entry, Member, Members, Payload, PeerMsg, Role, SnapshotMeta};
use tarragon_cell::{Command, JobSpec};
use tarragon_leases::{RunningTask, TaskEnd, TaskSpec, WorkerOrder, WorkerReport};
use tarragon_names::{
    Attempt, Fence, HostName, JobId, LogIndex, MemberId, Millis, Resources, Session, TaskId, Term,
    WorkerName, Workload,
};
use tarragon_wire::{
    peer::{PeerEvent, PeerFrame},
    record::Record,
    worker::{OrderFrame, ReportFrame},
};
use yare::parameterized;

const TASK: TaskId = TaskId {
    job: JobId(7),
    index: 3,
};
const SESSION: Session = Session {
    term: Term(4),
    counter: 9,
};
const FENCE: Fence = Fence {
    term: Term(4),
    session: SESSION,
    seq: 11,
};

fn members() -> Members {
    let member = |host: &str, role| Member {
        host: HostName::from(host),
        role,
    };
    Members {
        by_id: BTreeMap::from([
            (MemberId(u64::MAX), member("h1", Role::Voter)),
            (MemberId(2), member("h2", Role::Learner)),
        ]),
    }
}

fn spec() -> TaskSpec {
    TaskSpec {
        name: "kino-odd/reel".into(),
        workload: Workload::AllOrNothing,
        resources: Resources::new(1_500, 2_048, 1),
        run_ms: 60_000,
        payload: Arc::from(*b"reel 12"),
    }
}

#[parameterized(
    register = { WorkerReport::Register {
        worker: "w1".into(), domain: "zilina".into(), rack: "r1".into(),
        capacity: Resources::new(64_000, 262_144, 2), clock: Millis(5),
        running: vec![RunningTask { task: TASK, attempt: Attempt(2), usage: Resources::new(1, 2, 3) }],
        ended: vec![(TASK, Attempt(1), TaskEnd::Exited(-9)), (TASK, Attempt(3), TaskEnd::NeverBegan)],
    } },
    heartbeat = { WorkerReport::Heartbeat { session: SESSION, clock: Millis(8), running: vec![] } },
    ended = { WorkerReport::TaskEnded {
        session: SESSION, task: TASK, attempt: Attempt(1), end: TaskEnd::Checkpointed,
    } },
    leaving = { WorkerReport::Leaving { session: SESSION } },
)]
fn decoded_worker_report_equals_the_original(report: WorkerReport) {
    let worker = WorkerName::from("w1");
    let buf = ReportFrame::new(&worker, &report).encode_to_vec();
    let parts = ReportFrame::decode(buf.as_slice())
        .unwrap()
        .into_parts()
        .unwrap();
    assert_eq!(parts, (worker, Some(report)));
}

#[parameterized(
    welcome = { WorkerOrder::Welcome {
        term: Term(4), session: SESSION, clock: Millis(1), lease: Millis(10_000),
    } },
    heartbeat_reply = { WorkerOrder::HeartbeatReply {
        term: Term(4), session: SESSION, clock: Millis(1), lease: Millis(10_000),
    } },
    unknown_session = { WorkerOrder::UnknownSession { term: Term(0) } },
    start = { WorkerOrder::Start { fence: FENCE, task: TASK, attempt: Attempt(1), spec: spec() } },
    stop = { WorkerOrder::Stop { fence: FENCE, task: TASK, attempt: Attempt(1) } },
    throttle = { WorkerOrder::Throttle {
        fence: FENCE, task: TASK, attempt: Attempt(1), cpu_milli: 250,
    } },
    checkpoint = { WorkerOrder::Checkpoint { fence: FENCE, task: TASK, attempt: Attempt(1) } },
    end_recorded = { WorkerOrder::EndRecorded { task: TASK, attempt: Attempt(1) } },
    switch_gateway = { WorkerOrder::SwitchGateway },
)]
fn decoded_worker_order_equals_the_original(order: WorkerOrder) {
    let buf = OrderFrame::new(&order).encode_to_vec();
    assert_eq!(
        OrderFrame::decode(buf.as_slice())
            .unwrap()
            .into_order()
            .unwrap(),
        Some(order)
    );
}

#[parameterized(
    vote = { PeerMsg::Vote {
        term: Term(3), last_index: LogIndex(9), last_term: Term(2), is_pre_vote: true, is_transfer: false,
    } },
    vote_reply = { PeerMsg::VoteReply { term: Term(3), granted: true, is_pre_vote: false } },
    append = { PeerMsg::Append {
        term: Term(3), prev_index: LogIndex(1), prev_term: Term(1), commit: LogIndex(1), round: 77,
        entries: vec![
            Entry { term: Term(3), index: LogIndex(2), payload: Payload::Noop },
            Entry { term: Term(3), index: LogIndex(3), payload: Payload::Record(Bytes::new()) },
            Entry { term: Term(3), index: LogIndex(4), payload: Payload::Members(members()) },
        ],
    } },
    append_reply = { PeerMsg::AppendReply {
        term: Term(3), matched: true, index: LogIndex(4), round: 77,
    } },
    snapshot = { PeerMsg::Snapshot {
        term: Term(3),
        meta: SnapshotMeta { index: LogIndex(4), term: Term(3), members: members() },
        state: Bytes::from_static(b"state"),
    } },
    timeout_now = { PeerMsg::TimeoutNow { term: Term(3) } },
)]
fn decoded_peer_message_equals_the_original(msg: PeerMsg) {
    let event = PeerEvent::Agreement {
        from: MemberId(1),
        to: MemberId(u64::MAX),
        msg,
    };
    let host = HostName::from("h1");
    let buf = PeerFrame::new(&host, Some(&event)).encode_to_vec();
    let parts = PeerFrame::decode(buf.as_slice())
        .unwrap()
        .into_parts()
        .unwrap();
    assert_eq!(parts, (host, Some(event)));
}

#[test]
fn record_of_another_version_is_refused() {
    let spec = JobSpec {
        name: "reel".into(),
        kind: Workload::Batch,
        tasks: 1,
        resources: Resources::ZERO,
        run_ms: 1,
        deadline_ms: None,
        payload: Arc::from(""),
    };
    let record = Record::new(17, Command::AcceptJob { key: None, spec });
    let mut buf = record.encode().unwrap().to_vec();
    assert_eq!(Record::<Command>::decode(&buf).unwrap(), record);
    buf[0] += 1;
    assert!(Record::<Command>::decode(&buf).is_err());
}
