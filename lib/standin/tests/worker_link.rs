//! Guards against a stand-in worker that loses orders, reports or lines of its task log.

use std::{fs, sync::Arc, time::Duration};

use serde_json::Value;
use tarragon_leases::{
    GuardConfig, TaskEnd, TaskSpec, WORKER_LEASE_DURATION, WorkerOrder, WorkerReport,
};
use tarragon_names::{Attempt, Fence, JobId, Millis, Resources, Session, TaskId, Term, Workload};
use tarragon_settings::{FaultKind, WorkerFault};
use tarragon_standin::{StandinWorker, TaskLog, WorkerConfig};
use tarragon_telemetry::NullSink;
use tarragon_wire::{
    Frames, MAX_WORKER_FRAME_BYTES, frames, read,
    worker::{OrderFrame, ReportFrame},
    write,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::interval,
};
use yare::parameterized;

const TASK: TaskId = TaskId {
    job: JobId(7),
    index: 0,
};
const SESSION: Session = Session {
    term: Term(3),
    counter: 1,
};

fn config(gateway: &TcpListener, fault: Option<FaultKind>) -> WorkerConfig {
    let capacity = Resources::new(4_000, 4_000, 0);
    WorkerConfig {
        guard: GuardConfig::new("z-001".into(), "zilina".into(), "z-r00".into(), capacity),
        gateways: vec![gateway.local_addr().unwrap()],
        wrong_factor: 1,
        usage_lag: Millis(0),
        faults: Vec::from_iter(fault.map(|kind| WorkerFault {
            kind,
            workers: vec![0],
            starts_after: Millis(0),
            duration: Millis(u64::MAX),
        })),
        seed: 1,
    }
}

fn start_order() -> WorkerOrder {
    WorkerOrder::Start {
        fence: Fence {
            term: Term(3),
            session: SESSION,
            seq: 1,
        },
        task: TASK,
        attempt: Attempt(1),
        spec: TaskSpec {
            name: "reel".into(),
            workload: Workload::Batch,
            resources: Resources::new(9_000, 1, 0),
            run_ms: 20,
            payload: Arc::from([]),
        },
    }
}

/// Acts as the leader towards a worker until the worker reports the end of a task, and returns that
/// end.
async fn act_as_leader(mut link: Frames<TcpStream>) -> TaskEnd {
    let mut heartbeat_interval = interval(Duration::from_millis(100));
    loop {
        let frame: ReportFrame = tokio::select! {
            frame = read(&mut link) => frame.unwrap().unwrap(),
            _ = heartbeat_interval.tick() => {
                write(&mut link, &OrderFrame { order: None }).await.unwrap();
                continue;
            }
        };
        let (worker, report) = frame.into_parts().unwrap();
        assert_eq!(worker.as_str(), "z-001");
        match report {
            Some(WorkerReport::Register { clock, .. }) => {
                let welcome = WorkerOrder::Welcome {
                    term: Term(3),
                    session: SESSION,
                    clock,
                    lease: WORKER_LEASE_DURATION,
                };
                for order in [welcome, start_order(), start_order()] {
                    write(&mut link, &OrderFrame::new(&order)).await.unwrap();
                }
            }
            Some(WorkerReport::TaskEnded { end, .. }) => return end,
            _ => {}
        }
    }
}

#[parameterized(
    without_fault = { None, 0 },
    with_fail_all = { Some(FaultKind::FailAll), 1 },
)]
fn repeated_start_runs_once_and_its_end_is_reported(fault: Option<FaultKind>, status: i32) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("tasks.jsonl");
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let gateway = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let log = TaskLog::to_file(&path).unwrap();
        let worker = StandinWorker::new(config(&gateway, fault), log, Arc::new(NullSink));
        let (stop, stopped) = watch::channel(false);
        let running = tokio::spawn(worker.run(stopped));
        let (stream, _) = gateway.accept().await.unwrap();
        assert_eq!(
            act_as_leader(frames(stream, MAX_WORKER_FRAME_BYTES)).await,
            TaskEnd::Exited(status)
        );
        stop.send_replace(true);
        running.await.unwrap().unwrap();
    });
    let text = fs::read_to_string(path).unwrap();
    let lines: Vec<Value> = text
        .lines()
        .map(|l| serde_json::from_str(l).unwrap())
        .collect();
    let events: Vec<_> = lines
        .iter()
        .map(|line| line["event"].as_str().unwrap())
        .collect();
    // The worker runs a task beyond its capacity, and runs it once although the start order is sent
    // twice.
    assert_eq!(events, ["worker", "start", "end"]);
    assert_eq!(lines[2]["task"], "j7.0");
}
