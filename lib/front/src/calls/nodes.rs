//! Workers, executors and hosts.

use serde::Deserialize;
use serde_json::json;
use tarragon_cell::Command;
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{ExecutorName, MemberId, WorkerName};
use tarragon_routing::Announcement;

use super::{MAX_NAME_BYTES, write, write_failure};
use crate::{FrontConfig, HostApi, reply::Reply, request::Request};

/// Maximum number of slots, and of connections, that an executor may announce.
const MAX_SLOTS_OR_CONNECTIONS: u32 = 65_536;

/// Body of the call that replaces a voter.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Replacement {
    remove: MemberId,
    add: MemberId,
}

pub(super) async fn workers(host_api: &dyn HostApi) -> Outcome<Reply> {
    host_api.workers().await.map(|workers| Reply::ok(&workers))
}

pub(super) async fn drain_worker(
    worker: WorkerName,
    draining: bool,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    let shown_state = json!({"worker": worker, "draining": draining});
    match write(Command::DrainWorker { worker, draining }, host_api, cfg).await {
        Ok(_) => Ok(Reply::ok(&shown_state)),
        Err(failure) => Ok(write_failure(failure, &shown_state)),
    }
}

pub(super) async fn executors(host_api: &dyn HostApi) -> Outcome<Reply> {
    host_api.executors().await.map(|all| Reply::ok(&all))
}

pub(super) async fn drain_executor(
    name: ExecutorName,
    draining: bool,
    host_api: &dyn HostApi,
) -> Outcome<Reply> {
    host_api.drain_executor(name.clone(), draining).await?;
    Ok(Reply::ok(&json!({"executor": name, "draining": draining})))
}

pub(super) fn announce(req: &Request, host_api: &dyn HostApi) -> Outcome<Reply> {
    let announcement = req.json::<Announcement>()?;
    validate(&announcement)?;
    host_api
        .announce(announcement)
        .map(|reply| Reply::ok(&reply))
}

pub(super) async fn hosts(host_api: &dyn HostApi) -> Outcome<Reply> {
    let hosts = host_api.hosts().await?;
    Ok(Reply::ok(
        &json!({"asked": host_api.host_name(), "hosts": hosts}),
    ))
}

pub(super) async fn replace_member(req: &Request, host_api: &dyn HostApi) -> Outcome<Reply> {
    let Replacement { remove, add } = req.json()?;
    host_api.replace_member(remove, add).await?;
    Ok(Reply::ok(&json!({"removed": remove, "added": add})))
}

fn validate(announcement: &Announcement) -> Outcome<()> {
    let allowed = 1..=MAX_SLOTS_OR_CONNECTIONS;
    let cause = if announcement.name.as_str().is_empty() {
        "name: must not be empty"
    } else if announcement.pool.as_str().is_empty() {
        "pool: must not be empty"
    } else if [
        announcement.name.as_str(),
        announcement.pool.as_str(),
        announcement.domain.as_str(),
    ]
    .iter()
    .any(|name| name.len() > MAX_NAME_BYTES)
    {
        "name, pool and domain: at most 256 bytes each"
    } else if !is_address(&announcement.address) {
        "address: must be ip:port, with a port from 1 to 65535"
    } else if !allowed.contains(&announcement.slots) || !allowed.contains(&announcement.connections)
    {
        "slots and connections: must be from 1 to 65536"
    } else {
        return Ok(());
    };
    Err(Failure::new(Code::Malformed, cause))
}

fn is_address(text: &str) -> bool {
    let address = text.parse::<std::net::SocketAddr>();
    address.is_ok_and(|address| address.port() != 0)
}
