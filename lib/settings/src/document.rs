use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use toml::de::DeTable;

use crate::{Key, SettingsError, section::Section};

/// A settings file being read. Collects the errors found and the keys that the reader requests.
#[derive(Debug)]
pub struct Document<'a> {
    text: &'a str,
    folder: PathBuf,
    errors: RefCell<Vec<SettingsError>>,
    /// Default of each requested key, by path.
    keys: RefCell<BTreeMap<String, String>>,
}

impl<'a> Document<'a> {
    /// Loads a file. `read` converts its root section to the settings.
    pub fn load<T, F>(path: &Path, read: F) -> Result<T, Vec<SettingsError>>
    where
        F: FnOnce(&Section<'_>) -> Option<T>,
    {
        let text = fs::read_to_string(path).map_err(|e| {
            vec![SettingsError {
                line: 0,
                key: path.display().to_string(),
                cause: format!("cannot read the file: {e}"),
            }]
        })?;
        let folder = path.parent().map_or_else(PathBuf::new, Path::to_path_buf);
        let doc = Document::new(&text, folder);
        let value = doc.read(read);
        let mut errors = doc.errors.into_inner();
        errors.sort();
        errors.dedup();
        match value {
            Some(value) if errors.is_empty() => Ok(value),
            _ => Err(errors),
        }
    }

    /// Returns all keys that `read` requests, sorted by path.
    pub fn keys<T, F>(read: F) -> Vec<Key>
    where
        F: FnOnce(&Section<'_>) -> Option<T>,
    {
        let doc = Document::new("", PathBuf::new());
        let _value = doc.read(read);
        doc.keys
            .into_inner()
            .into_iter()
            .map(|(path, default)| Key { path, default })
            .collect()
    }

    /// Adds an error at a byte offset. An error without an offset concerns the whole file.
    pub fn add_error<S>(&self, offset: Option<usize>, key: String, cause: S)
    where
        S: Into<String>,
    {
        self.errors.borrow_mut().push(SettingsError {
            line: offset.map_or(0, |offset| self.line_at(offset)),
            key,
            cause: cause.into(),
        });
    }

    /// Registers a requested key with its default, for the list of keys.
    pub fn register_key(&self, path: String, default: String) {
        self.keys.borrow_mut().insert(path, default);
    }

    /// Folder of the settings file, which relative paths are resolved against.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn new(text: &'a str, folder: PathBuf) -> Self {
        Self {
            text,
            folder,
            errors: RefCell::default(),
            keys: RefCell::default(),
        }
    }

    fn read<T, F>(&self, read: F) -> Option<T>
    where
        F: FnOnce(&Section<'_>) -> Option<T>,
    {
        let (table, syntax_errors) = DeTable::parse_recoverable(self.text);
        for error in &syntax_errors {
            // Only the message is used: the error's `Display` quotes the line, which may contain a
            // secret.
            let offset = error.span().map_or(0, |span| span.start);
            self.add_error(Some(offset), "syntax".to_owned(), error.message());
        }
        let section = Section::root(self, table.get_ref());
        let value = read(&section);
        section.reject_unknown_keys();
        value
    }

    fn line_at(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        self.text.as_bytes()[..end]
            .split(|&byte| byte == b'\n')
            .count()
    }
}
