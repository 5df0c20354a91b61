use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use parking_lot::Mutex;
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_front::{BoxOutcome, HostApi, HostView, ServiceCall, ServiceReply};
use tarragon_names::{ExecutorName, HostName, JobId, MemberId, Revision};
use tarragon_routing::{Announcement, AnnouncementReply, ExecutorView};
use tarragon_scheduler::{Explanation, WorkerView};
use tokio::sync::Semaphore;

/// Fake host that records commands, queries and requests, and answers from its fields.
#[derive(Debug)]
pub struct FakeHostApi {
    host: HostName,
    /// Commands passed to `propose`.
    pub commands: Mutex<Vec<Command>>,
    /// Queries passed to `query`.
    pub queries: Mutex<Vec<Query>>,
    /// Service requests that were answered.
    pub served: Mutex<Vec<ServiceCall>>,
    /// Error returned for each command; while set, the host is not ready.
    pub failure: Mutex<Option<Failure>>,
    /// Each service request waits for a permit of this semaphore.
    pub gate: Semaphore,
    /// One permit for each service request that has arrived.
    pub arrived: Semaphore,
    /// Body of the answer to each service request.
    pub body: Mutex<Bytes>,
}

impl Default for FakeHostApi {
    fn default() -> Self {
        Self {
            host: "h1".into(),
            commands: Mutex::default(),
            queries: Mutex::default(),
            served: Mutex::default(),
            failure: Mutex::default(),
            gate: Semaphore::new(Semaphore::MAX_PERMITS),
            arrived: Semaphore::new(0),
            body: Mutex::new(Bytes::from_static(b"served")),
        }
    }
}

impl FakeHostApi {
    /// Blocks service requests until permits are added to `gate`.
    pub fn close_gate(&self) {
        self.gate.forget_permits(Semaphore::MAX_PERMITS);
    }
}

impl HostApi for FakeHostApi {
    fn propose(&self, command: Command, _: Duration) -> BoxOutcome<'_, Answer> {
        let answer = match &command {
            Command::AcceptJob { .. } => Answer::Accepted(JobId(12)),
            Command::PutEntry { .. } | Command::DeleteEntry { .. } | Command::PutQuota { .. } => {
                Answer::Written(Revision(7))
            }
            _ => Answer::Done,
        };
        self.commands.lock().push(command);
        let failure = self.failure.lock().clone();
        async move { failure.map_or(Ok(answer), Err) }.boxed()
    }

    fn query(&self, query: Query) -> BoxOutcome<'_, QueryAnswer> {
        let answer = match &query {
            Query::Jobs { .. } => QueryAnswer::Jobs(Vec::new()),
            Query::EntriesSince(_) | Query::History(_) | Query::Entry(_) => QueryAnswer::Entries {
                entries: Vec::new(),
                revision: Revision(7),
            },
            _ => QueryAnswer::Failed(Failure::of(Code::NoSuchJob)),
        };
        self.queries.lock().push(query);
        async move { Ok(answer) }.boxed()
    }

    fn serve(&self, call: ServiceCall) -> BoxOutcome<'_, ServiceReply> {
        async move {
            self.arrived.add_permits(1);
            if let Ok(permit) = self.gate.acquire().await {
                permit.forget();
            }
            let body = self.body.lock().clone();
            self.served.lock().push(call);
            Ok(ServiceReply {
                status: 200,
                content_type: Some("text/plain".to_owned()),
                body,
                stored: false,
            })
        }
        .boxed()
    }

    fn announce(&self, _: Announcement) -> Outcome<AnnouncementReply> {
        Ok(AnnouncementReply {
            clock: 5,
            moving: false,
            draining: false,
        })
    }

    fn drain_executor(&self, _: ExecutorName, _: bool) -> BoxOutcome<'_, ()> {
        async { Ok(()) }.boxed()
    }

    fn executors(&self) -> BoxOutcome<'_, Vec<ExecutorView>> {
        async { Ok(Vec::new()) }.boxed()
    }

    fn workers(&self) -> BoxOutcome<'_, Vec<WorkerView>> {
        async { Ok(Vec::new()) }.boxed()
    }

    fn hosts(&self) -> BoxOutcome<'_, Vec<HostView>> {
        async { Ok(Vec::new()) }.boxed()
    }

    fn explain(&self, job: JobId) -> BoxOutcome<'_, Explanation> {
        let explanation = Explanation {
            job,
            reasons: vec!["no worker has enough memory".to_owned()],
            position: Some(1),
        };
        async move { Ok(explanation) }.boxed()
    }

    fn is_in_force(&self, _: Revision) -> BoxOutcome<'_, bool> {
        async { Ok(true) }.boxed()
    }

    fn replace_member(&self, _: MemberId, _: MemberId) -> BoxOutcome<'_, ()> {
        async { Ok(()) }.boxed()
    }

    fn is_ready(&self) -> bool {
        self.failure.lock().is_none()
    }

    fn host_name(&self) -> &HostName {
        &self.host
    }
}
