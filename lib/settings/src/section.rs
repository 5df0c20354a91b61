use std::{cell::RefCell, collections::BTreeSet, fmt::Display, path::PathBuf};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{document::Document, parse};

/// A table of a settings file, or the place where an absent one would be.
#[derive(Debug)]
pub struct Section<'a> {
    doc: &'a Document<'a>,
    table: Option<&'a DeTable<'a>>,
    offset: Option<usize>,
    /// Path with positions in lists, for faults.
    place: String,
    /// Path without positions, for the list of keys.
    pattern: String,
    asked: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    /// The outermost section.
    pub fn root(doc: &'a Document<'a>, table: &'a DeTable<'a>) -> Self {
        Self::new(doc, Some(table), None, String::new(), String::new())
    }

    /// A value that must be there.
    pub fn required<T, F>(&self, key: &'static str, parse: F) -> Option<T>
    where
        F: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        self.ask(key, "required".to_owned());
        if self.value(key).is_none() {
            self.doc
                .fault(self.offset, join(&self.place, key), "is missing");
        }
        self.parsed(key, parse)
    }

    /// A value that may be absent.
    pub fn optional<T, F>(&self, key: &'static str, parse: F) -> Option<T>
    where
        F: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        self.ask(key, "none".to_owned());
        self.parsed(key, parse)
    }

    /// A value with a default.
    pub fn or<T, F>(&self, key: &'static str, default: T, parse: F) -> T
    where
        T: Display,
        F: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        self.ask(key, default.to_string());
        self.parsed(key, parse).unwrap_or(default)
    }

    /// A path, which starts from the folder of the settings file if it is relative.
    pub fn path(&self, key: &'static str) -> Option<PathBuf> {
        let path = self.optional(key, parse::text)?;
        Some(self.doc.folder().join(path))
    }

    /// A table below this one; absent keys of an absent table have their defaults.
    pub fn section(&self, key: &'static str) -> Self {
        self.note(key);
        let value = self.value(key);
        let table = value.and_then(|value| value.get_ref().as_table());
        if value.is_some() && table.is_none() {
            self.fault(key, "must be a table");
        }
        let offset = value.map(|value| value.span().start);
        let offset = offset.or(self.offset);
        Self::new(
            self.doc,
            table,
            offset,
            join(&self.place, key),
            join(&self.pattern, key),
        )
    }

    /// Reads each table of a list.
    pub fn each<T, F>(&self, key: &'static str, read: F) -> Vec<T>
    where
        F: Fn(&Section<'_>) -> Option<T>,
    {
        self.note(key);
        self.note_keys(key, &read);
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.fault(key, "must be a list of tables");
            return Vec::new();
        };
        let mut values = Vec::new();
        for (index, item) in array.iter().enumerate() {
            let place = format!("{}[{index}]", join(&self.place, key));
            let Some(table) = item.get_ref().as_table() else {
                self.doc
                    .fault(Some(item.span().start), place, "must be a table");
                continue;
            };
            let pattern = join(&self.pattern, key);
            let section = Section::new(
                self.doc,
                Some(table),
                Some(item.span().start),
                place,
                pattern,
            );
            values.extend(read(&section));
            section.finish();
        }
        values
    }

    /// Notes a fault at the value of a key.
    pub fn fault<S>(&self, key: &str, cause: S)
    where
        S: Into<String>,
    {
        let offset = self.value(key).map(|value| value.span().start);
        self.doc
            .fault(offset.or(self.offset), join(&self.place, key), cause);
    }

    /// Notes each key that nothing has asked for.
    pub fn finish(&self) {
        let asked = self.asked.borrow();
        for key in self.table.into_iter().flat_map(|table| table.keys()) {
            let name: &str = key.get_ref();
            if !asked.contains(name) {
                let place = join(&self.place, name);
                self.doc
                    .fault(Some(key.span().start), place, "is not a known key");
            }
        }
    }

    fn new(
        doc: &'a Document<'a>,
        table: Option<&'a DeTable<'a>>,
        offset: Option<usize>,
        place: String,
        pattern: String,
    ) -> Self {
        Self {
            doc,
            table,
            offset,
            place,
            pattern,
            asked: RefCell::default(),
        }
    }

    fn ask(&self, key: &'static str, default: String) {
        self.note(key);
        self.doc.ask(join(&self.pattern, key), default);
    }

    fn note(&self, key: &'static str) {
        self.asked.borrow_mut().insert(key);
    }

    /// Lists the keys of a table in a list even when the list is empty.
    fn note_keys<T, F>(&self, key: &str, read: &F)
    where
        F: Fn(&Section<'_>) -> Option<T>,
    {
        let pattern = join(&self.pattern, key);
        for found in Document::keys(|section| read(section)) {
            self.doc.ask(join(&pattern, &found.path), found.default);
        }
    }

    fn value(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table?.get(key)
    }

    fn parsed<T, F>(&self, key: &'static str, parse: F) -> Option<T>
    where
        F: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        match parse(self.value(key)?.get_ref()) {
            Ok(value) => Some(value),
            Err(cause) => {
                self.fault(key, cause);
                None
            }
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
