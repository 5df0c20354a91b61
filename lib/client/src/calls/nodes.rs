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
    /// Lists the workers.
    pub async fn workers(&self) -> Outcome<Vec<WorkerView>> {
        self.json(Call::get("/v1/workers")).await
    }

    /// Marks a worker as draining, or takes it back.
    pub async fn drain_worker(&self, worker: &WorkerName, draining: bool) -> Outcome<()> {
        let path = format!("/v1/workers/{}/{}", encode(worker), verb(draining));
        self.done(Call::new(Method::POST, path)).await
    }

    /// Lists the executors.
    pub async fn executors(&self) -> Outcome<Vec<ExecutorView>> {
        self.json(Call::get("/v1/executors")).await
    }

    /// Marks an executor as draining, or takes it back.
    pub async fn drain_executor(&self, executor: &ExecutorName, draining: bool) -> Outcome<()> {
        let path = format!("/v1/executors/{}/{}", encode(executor), verb(draining));
        self.done(Call::new(Method::POST, path)).await
    }

    /// Announces an executor. Use it on a client of one host, since a home is one host.
    pub async fn announce(&self, announcement: &Announcement) -> Outcome<AnnouncementReply> {
        let call = Call::new(Method::POST, "/v1/executors").json(announcement)?;
        self.json(call).await
    }

    /// Lists the hosts as the asked one sees them.
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
            .once(Code::NotConfirmed)
            .json(&json!({"remove": remove, "add": add}))?;
        self.done(call).await
    }
}

fn verb(draining: bool) -> &'static str {
    if draining { "drain" } else { "take-back" }
}
