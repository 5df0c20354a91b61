//! Reading and changing the catalogue.

use serde_json::{Value, json};
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_cell::{Answer, Command, Query, QueryAnswer};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::Revision;

use super::{unexpected_answer, unexpected_query_answer, write, write_failure};
use crate::{FrontConfig, HostApi, reply::Reply, request::Request};

pub(super) async fn list(host_api: &dyn HostApi) -> Outcome<Reply> {
    list_entries(Query::EntriesSince(Revision(0)), host_api).await
}

pub(super) async fn read(pattern: Pattern, host_api: &dyn HostApi) -> Outcome<Reply> {
    let answer = host_api.query(Query::Entry(pattern.clone())).await?;
    let QueryAnswer::Entries { entries, .. } = answer else {
        return Err(unexpected_query_answer(answer));
    };
    match entries.into_iter().next() {
        Some((pattern, revision, Some(entry))) => {
            Ok(Reply::ok(&entry_json(&pattern, revision, Some(&entry))))
        }
        _ => Err(Failure::new(
            Code::NoEntry,
            format!("the catalogue has no entry for {pattern}"),
        )),
    }
}

pub(super) async fn history(pattern: Pattern, host_api: &dyn HostApi) -> Outcome<Reply> {
    list_entries(Query::History(pattern), host_api).await
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
            format!(
                "the body has the pattern {}, the path has {pattern}",
                entry.pattern
            ),
        ));
    }
    let command = Command::PutEntry {
        request_id: req.request_id()?.into(),
        expected: req.expected_revision()?,
        entry,
    };
    write_revision(command, host_api, cfg).await
}

pub(super) async fn delete(
    pattern: Pattern,
    req: &Request,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    let command = Command::DeleteEntry {
        request_id: req.request_id()?.into(),
        expected: req.expected_revision()?,
        pattern,
    };
    write_revision(command, host_api, cfg).await
}

/// Writes a change; the answer contains its revision.
pub(super) async fn write_revision(
    command: Command,
    host_api: &dyn HostApi,
    cfg: &FrontConfig,
) -> Outcome<Reply> {
    match write(command, host_api, cfg).await {
        Ok(Answer::Written(revision)) => Ok(Reply::ok(&json!({"revision": revision}))),
        Ok(Answer::Done) => Ok(Reply::ok(&json!({}))),
        Ok(other) => Err(unexpected_answer(&other)),
        Err(failure) => Ok(write_failure(failure, &json!({}))),
    }
}

async fn list_entries(query: Query, host_api: &dyn HostApi) -> Outcome<Reply> {
    let answer = host_api.query(query).await?;
    let QueryAnswer::Entries { entries, revision } = answer else {
        return Err(unexpected_query_answer(answer));
    };
    let entries = entries
        .iter()
        .map(|(pattern, revision, entry)| entry_json(pattern, *revision, entry.as_ref()))
        .collect::<Vec<_>>();
    Ok(Reply::ok(
        &json!({"revision": revision, "entries": entries}),
    ))
}

fn entry_json(pattern: &Pattern, revision: Revision, entry: Option<&CatalogueEntry>) -> Value {
    json!({"pattern": pattern, "revision": revision, "entry": entry})
}
