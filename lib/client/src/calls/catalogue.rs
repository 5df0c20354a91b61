use hyper::{
    Method,
    header::{HeaderName, IF_MATCH},
};
use serde::Deserialize;
use tarragon_catalogue::{CatalogueEntry, Pattern};
use tarragon_codes::Outcome;
use tarragon_front::percent::encode;
use tarragon_names::Revision;

use crate::{Client, EntryView, call::Call};

pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

#[derive(Deserialize)]
pub(super) struct WriteReply {
    pub(super) revision: Revision,
}

#[derive(Deserialize)]
struct Entries {
    entries: Vec<EntryView>,
}

impl Client {
    /// Lists the catalogue entries.
    pub async fn entries(&self) -> Outcome<Vec<EntryView>> {
        self.json::<Entries>(Call::get("/v1/catalogue"))
            .await
            .map(|all| all.entries)
    }

    /// Reads one catalogue entry.
    pub async fn entry(&self, pattern: &Pattern) -> Outcome<EntryView> {
        self.json(Call::get(entry_path(pattern))).await
    }

    /// Lists the revisions of one entry, oldest first.
    pub async fn history(&self, pattern: &Pattern) -> Outcome<Vec<EntryView>> {
        self.json::<Entries>(Call::get(format!("{}/history", entry_path(pattern))))
            .await
            .map(|all| all.entries)
    }

    /// Creates or replaces an entry if its revision is `expected`, 0 for a new entry; returns the new
    /// revision. A repeat with the same `request_id` has no second effect.
    pub async fn put_entry(
        &self,
        entry: &CatalogueEntry,
        expected: Revision,
        request_id: &str,
    ) -> Outcome<Revision> {
        let call = Call::new(Method::PUT, entry_path(&entry.pattern))
            .header(IF_MATCH, &expected)
            .header(REQUEST_ID, request_id)
            .json(entry)?;
        self.json::<WriteReply>(call)
            .await
            .map(|done| done.revision)
    }

    /// Deletes an entry if its revision is `expected`. A repeat with the same `request_id` has no
    /// second effect.
    pub async fn delete_entry(
        &self,
        pattern: &Pattern,
        expected: Revision,
        request_id: &str,
    ) -> Outcome<()> {
        let call = Call::new(Method::DELETE, entry_path(pattern))
            .header(IF_MATCH, &expected)
            .header(REQUEST_ID, request_id);
        self.call_ignoring_answer(call).await
    }

    /// Whether every host decides by this catalogue revision or a later one.
    pub async fn is_in_force(&self, revision: Revision) -> Outcome<bool> {
        #[derive(Deserialize)]
        struct InForce {
            in_force: bool,
        }
        let call = Call::get(format!("/v1/catalogue/in-force?revision={revision}"));
        self.json::<InForce>(call).await.map(|state| state.in_force)
    }
}

/// Path of an entry. An entry named `in-force` is encoded, because that path is another call.
fn entry_path(pattern: &Pattern) -> String {
    let name = match encode(&pattern.to_string()) {
        name if name == "in-force" => "in%2Dforce".to_owned(),
        name => name,
    };
    format!("/v1/catalogue/{name}")
}
