//! Prints the encoded size of each message. docs/CAPACITY.md calculates bytes per second from these
//! sizes.

use std::sync::Arc;

use prost::Message;
use tarragon_agreement::{Entry, Payload, PeerMsg};
use tarragon_cell::{AttemptEnd, Command, JobSpec};
use tarragon_leases::{RunningTask, TaskEnd, TaskSpec, WorkerOrder, WorkerReport};
use tarragon_names::{
    Attempt, Fence, JobId, LogIndex, MemberId, Millis, Resources, Session, TaskId, Term,
    WorkerName, Workload,
};
use tarragon_wire::{
    peer::{PeerEvent, PeerFrame},
    record::Record,
    worker::{OrderFrame, ReportFrame},
};

const SESSION: Session = Session {
    term: Term(40),
    counter: 2_800,
};
const FENCE: Fence = Fence {
    term: Term(40),
    session: SESSION,
    seq: 100_000,
};

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId(5_000_000),
        index,
    }
}

fn worker() -> WorkerName {
    WorkerName::from("martin-rack-07-worker-03")
}

fn report_size(report: &WorkerReport) -> usize {
    ReportFrame::new(&worker(), report).encoded_len()
}

fn order_size(order: &WorkerOrder) -> usize {
    OrderFrame::new(order).encoded_len()
}

fn heartbeat(tasks: u32) -> WorkerReport {
    let usage = Resources::new(3_900, 16_000, 0);
    let running = (0..tasks)
        .map(|i| RunningTask {
            task: task(i),
            attempt: Attempt(1),
            usage,
        })
        .collect();
    WorkerReport::Heartbeat {
        session: SESSION,
        clock: Millis(900_000_000),
        running,
    }
}

fn record_size(command: Command) -> usize {
    Record::new(1_800_000_000_000, command)
        .encode()
        .map_or(0, |buf| buf.len())
}

fn append_size(records: usize, record_len: usize) -> usize {
    let entries = (0..records)
        .map(|i| Entry {
            term: Term(40),
            index: LogIndex(5_000_000 + i as u64),
            payload: Payload::Record(vec![0; record_len].into()),
        })
        .collect();
    let msg = PeerMsg::Append {
        term: Term(40),
        prev_index: LogIndex(5_000_000),
        prev_term: Term(40),
        entries,
        commit: LogIndex(5_000_000),
        round: 1_000_000,
    };
    let event = PeerEvent::Agreement {
        from: MemberId(u64::MAX),
        to: MemberId(u64::MAX),
        msg,
    };
    PeerFrame::new(&"martin-entry-1".into(), Some(&event)).encoded_len()
}

fn main() {
    let spec = TaskSpec {
        name: "kino-odd/reel-weekly".into(),
        workload: Workload::Batch,
        resources: Resources::new(4_000, 16_000, 1),
        run_ms: 600_000,
        payload: Arc::from([0_u8; 64]),
    };
    let job = JobSpec {
        name: "kino-odd/reel-weekly".into(),
        kind: Workload::Batch,
        tasks: 10,
        resources: Resources::new(4_000, 16_000, 1),
        run_ms: 600_000,
        deadline_ms: Some(3_600_000),
        payload: Arc::from("x".repeat(64)),
    };
    let assign = |n: u32| Command::Assign {
        tasks: (0..n).map(|i| (task(i), Attempt(1), worker())).collect(),
    };
    let end = Command::End {
        task: task(3),
        attempt: Attempt(1),
        ended: AttemptEnd::Exited(0),
    };
    let reply = WorkerOrder::HeartbeatReply {
        term: Term(40),
        session: SESSION,
        clock: Millis(900_000_000),
        lease: Millis(10_000),
    };
    let ended = WorkerReport::TaskEnded {
        session: SESSION,
        task: task(3),
        attempt: Attempt(1),
        end: TaskEnd::Exited(0),
    };
    let start = WorkerOrder::Start {
        fence: FENCE,
        task: task(3),
        attempt: Attempt(1),
        spec,
    };
    let rows = [
        ("worker heartbeat, 0 tasks", report_size(&heartbeat(0))),
        ("worker heartbeat, 23 tasks", report_size(&heartbeat(23))),
        ("worker heartbeat, 46 tasks", report_size(&heartbeat(46))),
        ("heartbeat reply", order_size(&reply)),
        ("start, 64 B payload", order_size(&start)),
        ("task ended", report_size(&ended)),
        (
            "link heartbeat",
            PeerFrame::new(&"martin-entry-1".into(), None).encoded_len(),
        ),
        ("append, no entry", append_size(0, 0)),
        ("append, 100 entries of 50 B", append_size(100, 50)),
        (
            "record: accept a job, 64 B payload",
            record_size(Command::AcceptJob {
                key: None,
                spec: job,
            }),
        ),
        ("record: assign 1 task", record_size(assign(1))),
        ("record: assign 10 tasks", record_size(assign(10))),
        ("record: end of a task", record_size(end)),
    ];
    for (name, size) in rows {
        println!("{name:<40} {size:>6} B");
    }
}
