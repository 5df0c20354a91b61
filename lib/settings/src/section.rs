use std::{cell::RefCell, collections::BTreeSet, fmt::Display, path::PathBuf};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{document::Document, parse};

/// A table of a settings file; keys of an absent table read as absent.
#[derive(Debug)]
pub struct Section<'a> {
    doc: &'a Document<'a>,
    table: Option<&'a DeTable<'a>>,
    /// Byte offset of the table, or of the nearest enclosing table that is present. `None` for the
    /// root.
    offset: Option<usize>,
    /// Path with indexes in lists, for errors.
    indexed_path: String,
    /// Path without indexes, for the list of keys.
    key_path: String,
    known_keys: RefCell<BTreeSet<&'static str>>,
}

impl<'a> Section<'a> {
    /// Creates the root section of a file.
    pub fn root(doc: &'a Document<'a>, table: &'a DeTable<'a>) -> Self {
        Self::new(doc, Some(table), None, String::new(), String::new())
    }

    /// Reads a value that must be present.
    pub fn required<T, F>(&self, key: &'static str, parse: F) -> Option<T>
    where
        F: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        self.register_key(key, "required".to_owned());
        if self.value(key).is_none() {
            self.doc
                .add_error(self.offset, join(&self.indexed_path, key), "is missing");
        }
        self.parsed(key, parse)
    }

    /// Reads a value that may be absent.
    pub fn optional<T, F>(&self, key: &'static str, parse: F) -> Option<T>
    where
        F: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        self.register_key(key, "none".to_owned());
        self.parsed(key, parse)
    }

    /// Reads a value, or returns `default` if the value is absent or invalid.
    pub fn or_default<T, F>(&self, key: &'static str, default: T, parse: F) -> T
    where
        T: Display,
        F: Fn(&DeValue<'_>) -> Result<T, String>,
    {
        self.register_key(key, default.to_string());
        self.parsed(key, parse).unwrap_or(default)
    }

    /// Reads a path that may be absent. A relative path is resolved against the folder of the settings
    /// file.
    pub fn path(&self, key: &'static str) -> Option<PathBuf> {
        let path = self.optional(key, parse::text)?;
        Some(self.doc.folder().join(path))
    }

    /// Returns a nested table; if it is absent, all its keys read as absent.
    pub fn section(&self, key: &'static str) -> Self {
        self.mark_known(key);
        let value = self.value(key);
        let table = value.and_then(|value| value.get_ref().as_table());
        if value.is_some() && table.is_none() {
            self.add_error(key, "must be a table");
        }
        let offset = value.map(|value| value.span().start);
        let offset = offset.or(self.offset);
        Self::new(
            self.doc,
            table,
            offset,
            join(&self.indexed_path, key),
            join(&self.key_path, key),
        )
    }

    /// Reads each table of a list, and skips those that `read` rejects.
    pub fn read_tables<T, F>(&self, key: &'static str, read: F) -> Vec<T>
    where
        F: Fn(&Section<'_>) -> Option<T>,
    {
        self.mark_known(key);
        self.register_table_keys(key, &read);
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(tables) = value.get_ref().as_array() else {
            self.add_error(key, "must be a list of tables");
            return Vec::new();
        };
        let mut values = Vec::new();
        for (index, item) in tables.iter().enumerate() {
            let indexed_path = format!("{}[{index}]", join(&self.indexed_path, key));
            let Some(table) = item.get_ref().as_table() else {
                self.doc
                    .add_error(Some(item.span().start), indexed_path, "must be a table");
                continue;
            };
            let key_path = join(&self.key_path, key);
            let section = Section::new(
                self.doc,
                Some(table),
                Some(item.span().start),
                indexed_path,
                key_path,
            );
            values.extend(read(&section));
            section.reject_unknown_keys();
        }
        values
    }

    /// Adds an error at the value of a key, or at the table if the key is absent.
    pub fn add_error<S>(&self, key: &str, cause: S)
    where
        S: Into<String>,
    {
        let offset = self.value(key).map(|value| value.span().start);
        self.doc
            .add_error(offset.or(self.offset), join(&self.indexed_path, key), cause);
    }

    /// Adds an error for each key that was not requested. Must be called after all reads.
    pub fn reject_unknown_keys(&self) {
        let known_keys = self.known_keys.borrow();
        for key in self.table.into_iter().flat_map(|table| table.keys()) {
            let name: &str = key.get_ref();
            if !known_keys.contains(name) {
                let indexed_path = join(&self.indexed_path, name);
                self.doc
                    .add_error(Some(key.span().start), indexed_path, "is not a known key");
            }
        }
    }

    fn new(
        doc: &'a Document<'a>,
        table: Option<&'a DeTable<'a>>,
        offset: Option<usize>,
        indexed_path: String,
        key_path: String,
    ) -> Self {
        Self {
            doc,
            table,
            offset,
            indexed_path,
            key_path,
            known_keys: RefCell::default(),
        }
    }

    fn register_key(&self, key: &'static str, default: String) {
        self.mark_known(key);
        self.doc.register_key(join(&self.key_path, key), default);
    }

    fn mark_known(&self, key: &'static str) {
        self.known_keys.borrow_mut().insert(key);
    }

    /// Registers the keys of the tables in a list, even if the list is empty.
    fn register_table_keys<T, F>(&self, key: &str, read: &F)
    where
        F: Fn(&Section<'_>) -> Option<T>,
    {
        let key_path = join(&self.key_path, key);
        for nested_key in Document::keys(|section| read(section)) {
            self.doc
                .register_key(join(&key_path, &nested_key.path), nested_key.default);
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
                self.add_error(key, cause);
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
