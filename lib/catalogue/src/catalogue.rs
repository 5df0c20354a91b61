use std::{
    collections::BTreeMap,
    ops::Bound::{Excluded, Included, Unbounded},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{JobName, Name, Revision};

use crate::{CatalogueEntry, EntryChange, MAX_REVISIONS_PER_ENTRY, Pattern};

/// Catalogue entries with their revisions.
///
/// Clones share the entries, so a reader can keep a copy at low cost while a writer changes
/// another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Catalogue {
    revision: Revision,
    /// Last changes of each pattern, oldest first; a deleted entry keeps its deletion as a change.
    changes: BTreeMap<Pattern, Vec<EntryChange>>,
    /// Patterns by the revision of their last change, so that a poll reads only newer changes.
    by_revision: BTreeMap<Revision, Pattern>,
    exact: BTreeMap<JobName, Arc<CatalogueEntry>>,
    prefixes: BTreeMap<Name, Arc<CatalogueEntry>>,
}

/// Serialized form; the other fields of [`Catalogue`] are derived from it.
#[derive(Deserialize, Serialize)]
struct Stored {
    revision: Revision,
    changes: Vec<(Pattern, Vec<EntryChange>)>,
}

impl From<Catalogue> for Stored {
    fn from(catalogue: Catalogue) -> Self {
        Self {
            revision: catalogue.revision,
            changes: catalogue.changes.into_iter().collect(),
        }
    }
}

impl From<Stored> for Catalogue {
    fn from(stored: Stored) -> Self {
        let mut catalogue = Self {
            revision: stored.revision,
            ..Self::default()
        };
        for (pattern, changes) in stored.changes {
            if let Some(last) = changes.last() {
                catalogue.index_change(&pattern, last.revision, last.entry.clone());
            }
            catalogue.changes.insert(pattern, changes);
        }
        catalogue
    }
}

impl Catalogue {
    /// Revision up to which all changes are included.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Entry that covers a name: the one for exactly this name, else that of the longest prefix.
    pub fn resolve(&self, name: &JobName) -> Option<&Arc<CatalogueEntry>> {
        self.exact
            .get(name)
            .or_else(|| self.longest_prefix(name.as_str()))
    }

    /// Entry for exactly this pattern; `None` if it does not exist or was deleted.
    pub fn get(&self, pattern: &Pattern) -> Option<&Arc<CatalogueEntry>> {
        match pattern {
            Pattern::Exact(name) => self.exact.get(name),
            Pattern::Prefix(prefix) => self.prefixes.get(prefix),
        }
    }

    /// Revision that the next write of the pattern must expect; 0 if the entry never existed.
    ///
    /// A deleted entry keeps the revision of its deletion. A creation that is resent after the
    /// deletion therefore conflicts and does not recreate the entry.
    pub fn expected_revision(&self, pattern: &Pattern) -> Revision {
        self.last_change(pattern)
            .map_or(Revision(0), |change| change.revision)
    }

    /// Last change of a pattern, which may be its deletion.
    pub fn last_change(&self, pattern: &Pattern) -> Option<&EntryChange> {
        self.changes.get(pattern)?.last()
    }

    /// Kept changes of a pattern, oldest first.
    pub fn history(&self, pattern: &Pattern) -> &[EntryChange] {
        self.changes.get(pattern).map_or(&[], Vec::as_slice)
    }

    /// Last change of each pattern that changed after `revision`, oldest first.
    pub fn changes_since(
        &self,
        revision: Revision,
    ) -> impl Iterator<Item = (&Pattern, &EntryChange)> {
        self.by_revision
            .range((Excluded(revision), Unbounded))
            .filter_map(|(_, pattern)| Some((pattern, self.last_change(pattern)?)))
    }

    /// Creates or replaces an entry if it is valid and its current revision equals `expected`.
    pub fn put(&mut self, expected: Revision, entry: CatalogueEntry) -> Outcome<Revision> {
        entry.validate()?;
        let pattern = entry.pattern.clone();
        self.check_expected(&pattern, expected)?;
        Ok(self.write_change(pattern, Some(Arc::new(entry))))
    }

    /// Deletes an entry if its current revision equals `expected`.
    pub fn delete(&mut self, expected: Revision, pattern: &Pattern) -> Outcome<Revision> {
        if self.get(pattern).is_none() {
            return Err(Failure::new(
                Code::NoEntry,
                format!("no entry for '{pattern}'"),
            ));
        }
        self.check_expected(pattern, expected)?;
        Ok(self.write_change(pattern.clone(), None))
    }

    /// Installs a change made by another replica, unless it is older than the present one.
    pub fn install(&mut self, pattern: Pattern, change: EntryChange) {
        if change.revision <= self.expected_revision(&pattern) {
            return;
        }
        self.revision = self.revision.max(change.revision);
        self.record_change(pattern, change);
    }

    /// Raises the revision of the catalogue after all changes up to `revision` were installed.
    pub fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    fn check_expected(&self, pattern: &Pattern, expected: Revision) -> Outcome<()> {
        let current = self.expected_revision(pattern);
        if current == expected {
            return Ok(());
        }
        Err(Failure::new(
            Code::RevisionConflict,
            format!("'{pattern}' is at revision {current}, the write expects {expected}"),
        ))
    }

    fn write_change(&mut self, pattern: Pattern, entry: Option<Arc<CatalogueEntry>>) -> Revision {
        let revision = self.revision.next();
        self.revision = revision;
        self.record_change(pattern, EntryChange { revision, entry });
        revision
    }

    fn record_change(&mut self, pattern: Pattern, change: EntryChange) {
        self.index_change(&pattern, change.revision, change.entry.clone());
        let changes = self.changes.entry(pattern).or_default();
        changes.push(change);
        if changes.len() > MAX_REVISIONS_PER_ENTRY {
            changes.remove(0);
        }
    }

    fn index_change(
        &mut self,
        pattern: &Pattern,
        revision: Revision,
        entry: Option<Arc<CatalogueEntry>>,
    ) {
        let previous = self.expected_revision(pattern);
        self.by_revision.remove(&previous);
        self.by_revision.insert(revision, pattern.clone());
        match (pattern, entry) {
            (Pattern::Exact(name), Some(entry)) => {
                self.exact.insert(name.clone(), entry);
            }
            (Pattern::Exact(name), None) => {
                self.exact.remove(name);
            }
            (Pattern::Prefix(prefix), Some(entry)) => {
                self.prefixes.insert(prefix.clone(), entry);
            }
            (Pattern::Prefix(prefix), None) => {
                self.prefixes.remove(prefix);
            }
        }
    }

    /// Finds the longest prefix of `name`. Each step takes the greatest key not above the bound
    /// and, if this key is no prefix of the name, shortens the bound to the part that the key and
    /// the name share. No prefix of the name is skipped: a prefix that is longer than this part
    /// would sort between the key and the bound.
    fn longest_prefix(&self, name: &str) -> Option<&Arc<CatalogueEntry>> {
        let mut bound = name;
        loop {
            let (prefix, entry) = self
                .prefixes
                .range::<str, _>((Unbounded, Included(bound)))
                .next_back()?;
            if name.starts_with(prefix.as_str()) {
                return Some(entry);
            }
            let shared = name
                .char_indices()
                .zip(prefix.chars())
                .find(|((_, a), b)| a != b)
                .map_or(0, |((at, _), _)| at);
            bound = &name[..shared];
        }
    }
}
