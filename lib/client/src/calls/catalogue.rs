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
pub(super) struct Written {
    pub(super) revision: Revision,
}

#[derive(Deserialize)]
struct Entries {
    entries: Vec<EntryView>,
}

impl Client {
    /// Lists the catalogue.
    pub async fn entries(&self) -> Outcome<Vec<EntryView>> {
        self.json::<Entries>(Call::get("/v1/catalogue"))
            .await
            .map(|all| all.entries)
    }

    /// Reads one catalogue entry.
    pub async fn entry(&self, pattern: &Pattern) -> Outcome<EntryView> {
        self.json(Call::get(path(pattern))).await
    }

    /// Lists the revisions of one entry, oldest first.
    pub async fn history(&self, pattern: &Pattern) -> Outcome<Vec<EntryView>> {
        self.json::<Entries>(Call::get(format!("{}/history", path(pattern))))
            .await
            .map(|all| all.entries)
    }

    /// Creates or replaces an entry whose revision is `expected`, 0 for a new one.
    pub async fn put_entry(
        &self,
        entry: &CatalogueEntry,
        expected: Revision,
        request_id: &str,
    ) -> Outcome<Revision> {
        let call = Call::new(Method::PUT, path(&entry.pattern))
            .header(IF_MATCH, &expected)
            .header(REQUEST_ID, request_id)
            .json(entry)?;
        self.json::<Written>(call).await.map(|done| done.revision)
    }

    /// Deletes an entry whose revision is `expected`.
    pub async fn delete_entry(
        &self,
        pattern: &Pattern,
        expected: Revision,
        request_id: &str,
    ) -> Outcome<()> {
        let call = Call::new(Method::DELETE, path(pattern))
            .header(IF_MATCH, &expected)
            .header(REQUEST_ID, request_id);
        self.done(call).await
    }

    /// Tells whether a catalogue revision is in force on every host.
    pub async fn in_force(&self, revision: Revision) -> Outcome<bool> {
        #[derive(Deserialize)]
        struct InForce {
            in_force: bool,
        }
        let call = Call::get(format!("/v1/catalogue/in-force?revision={revision}"));
        self.json::<InForce>(call).await.map(|state| state.in_force)
    }
}

/// Path of an entry. An exact name that equals a fixed path is encoded to keep them apart.
fn path(pattern: &Pattern) -> String {
    let name = match encode(&pattern.to_string()) {
        name if name == "in-force" => "in%2Dforce".to_owned(),
        name => name,
    };
    format!("/v1/catalogue/{name}")
}
