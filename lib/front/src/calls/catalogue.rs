//! Reading and changing the catalogue.

use serde_json::{Value, json};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::Revision;

use super::{unconfirmed, unexpected_answer, unexpected_read, write};
use crate::{FrontConfig, HostApi, reply::Reply, request::Request};

pub(super) async fn list(host_api: &dyn HostApi) -> Outcome<Reply> {
    entries(Query::EntriesSince(Revision(0)), host_api).await
}

pub(super) async fn one(pattern: Pattern, host_api: &dyn HostApi) -> Outcome<Reply> {
    let answer = host_api.query(Query::Entry(pattern.clone())).await?;
    let QueryAnswer::Entries { entries, .. } = answer else {
        return Err(unexpected_read(answer));
    };
    match entries.into_iter().next() {
        Some((pattern, revision, Some(entry))) => {
            Ok(Reply::ok(&shown(&pattern, revision, Some(&entry))))
        }
        _ => Err(Failure::new(
            Code::NoEntry,
            format!("the catalogue has no entry for {pattern}"),
        )),
    }
}

pub(super) async fn history(pattern: Pattern, host_api: &dyn HostApi) -> Outcome<Reply> {
    entries(Query::History(pattern), host_api).await
}

pub(super) async fn in_force(revision: Revision, host_api: &dyn HostApi) -> Outcome<Reply> {
    let in_force = host_api.is_in_force(revision).await?;
    Ok(Reply::ok(
        &json!({"revision": revision, "in_force": in_force}),
    ))
}

pub(super) async fn put(
    pattern: Pattern,
    req: &Request,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    let entry = req.json::<CatalogueEntry>()?;
    if entry.pattern != pattern {
        return Err(Failure::new(
            Code::Malformed,
            format!("the body is for {}, the path for {pattern}", entry.pattern),
        ));
    }
    let command = Command::PutEntry {
        request_id: req.write_id()?.into(),
        expected: req.expected()?,
        entry,
    };
    written(command, host_api, cfg).await
}

pub(super) async fn delete(
    pattern: Pattern,
    req: &Request,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    let command = Command::DeleteEntry {
        request_id: req.write_id()?.into(),
        expected: req.expected()?,
        pattern,
    };
    written(command, host_api, cfg).await
}

/// Writes a change and answers with its revision.
pub(super) async fn written(
    command: Command,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    match write(command, host_api, cfg).await {
        Ok(Answer::Written(revision)) => Ok(Reply::ok(&json!({"revision": revision}))),
        Ok(Answer::Done) => Ok(Reply::ok(&json!({}))),
        Ok(other) => Err(unexpected_answer(&other)),
        Err(failure) => Ok(unconfirmed(failure, &json!({}))),
    }
}

async fn entries(query: Query, host_api: &dyn HostApi) -> Outcome<Reply> {
    let answer = host_api.query(query).await?;
    let QueryAnswer::Entries { entries, revision } = answer else {
        return Err(unexpected_read(answer));
    };
    let entries = entries
        .iter()
        .map(|(pattern, revision, entry)| shown(pattern, *revision, entry.as_ref()))
        .collect::<Vec<_>>();
    Ok(Reply::ok(
        &json!({"revision": revision, "entries": entries}),
    ))
}

fn shown(pattern: &Pattern, revision: Revision, entry: Option<&CatalogueEntry>) -> Value {
    json!({"pattern": pattern, "revision": revision, "entry": entry})
}
