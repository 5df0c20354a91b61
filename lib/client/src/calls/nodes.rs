use hyper::Method;
use serde::Deserialize;
use serde_json::json;
use tarragon_codes::{Code, Outcome};
use tarragon_front::HostView;
use tarragon_front::percent::encode;
use tarragon_names::{ExecutorName, MemberId, WorkerName};
use tarragon_routing::{Announcement, AnnouncementReply, ExecutorView};
use tarragon_scheduler::WorkerView;

use crate::{Client, call::Call};

impl Client {
    /// Lists the workers that the leader knows.
    pub async fn workers(&self) -> Outcome<Vec<WorkerView>> {
        self.json(Call::get("/v1/workers")).await
    }

    /// Sets whether a worker is draining; a draining worker gets no new tasks.
    pub async fn drain_worker(&self, worker: &WorkerName, draining: bool) -> Outcome<()> {
        let path = format!("/v1/workers/{}/{}", encode(worker), drain_action(draining));
        self.call_ignoring_answer(Call::new(Method::POST, path))
            .await
    }

    /// Lists the executors of all hosts.
    pub async fn executors(&self) -> Outcome<Vec<ExecutorView>> {
        self.json(Call::get("/v1/executors")).await
    }

    /// Sets whether an executor is draining; a draining executor gets no new requests.
    pub async fn drain_executor(&self, executor: &ExecutorName, draining: bool) -> Outcome<()> {
        let path = format!(
            "/v1/executors/{}/{}",
            encode(executor),
            drain_action(draining)
        );
        self.call_ignoring_answer(Call::new(Method::POST, path))
            .await
    }

    /// Announces an executor to its home host. Use a client of that host alone, because an executor
    /// has exactly one home host.
    pub async fn announce(&self, announcement: &Announcement) -> Outcome<AnnouncementReply> {
        let call = Call::new(Method::POST, "/v1/executors").json(announcement)?;
        self.json(call).await
    }

    /// Lists the entry hosts as the host that answers sees them.
    pub async fn host_views(&self) -> Outcome<Vec<HostView>> {
        #[derive(Deserialize)]
        struct Hosts {
            hosts: Vec<HostView>,
        }
        self.json::<Hosts>(Call::get("/v1/hosts"))
            .await
            .map(|all| all.hosts)
    }

    /// Makes the learner `add` a voter in place of `remove`.
    pub async fn replace_member(&self, remove: MemberId, add: MemberId) -> Outcome<()> {
        let call = Call::new(Method::POST, "/v1/members")
            .forbid_resend(Code::NotConfirmed)
            .json(&json!({"remove": remove, "add": add}))?;
        self.call_ignoring_answer(call).await
    }
}

fn drain_action(draining: bool) -> &'static str {
    if draining { "drain" } else { "take-back" }
}
