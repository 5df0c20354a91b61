use std::{
    cell::RefCell,
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use toml::de::DeTable;

use crate::{Key, SettingsError, section::Section};

/// A settings file while it is read: collects faults and the keys that were asked for.
#[derive(Debug)]
pub struct Document<'a> {
    text: &'a str,
    folder: PathBuf,
    faults: RefCell<Vec<SettingsError>>,
    keys: RefCell<BTreeMap<String, String>>,
}

impl<'a> Document<'a> {
    /// Reads a file by `read`, which takes the outermost section.
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
        let mut faults = doc.faults.into_inner();
        faults.sort();
        faults.dedup();
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(faults),
        }
    }

    /// All keys that `read` asks for.
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

    /// Notes a fault at a byte position.
    pub fn fault<S>(&self, offset: Option<usize>, key: String, cause: S)
    where
        S: Into<String>,
    {
        self.faults.borrow_mut().push(SettingsError {
            line: offset.map_or(0, |offset| self.line(offset)),
            key,
            cause: cause.into(),
        });
    }

    /// Notes that a key was asked for.
    pub fn ask(&self, path: String, default: String) {
        self.keys.borrow_mut().insert(path, default);
    }

    /// Folder that relative paths start from.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn new(text: &'a str, folder: PathBuf) -> Self {
        Self {
            text,
            folder,
            faults: RefCell::default(),
            keys: RefCell::default(),
        }
    }

    fn read<T, F>(&self, read: F) -> Option<T>
    where
        F: FnOnce(&Section<'_>) -> Option<T>,
    {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in &errors {
            // The message alone: the display of the error quotes the line, which may be a secret.
            let offset = error.span().map_or(0, |span| span.start);
            self.fault(Some(offset), "syntax".to_owned(), error.message());
        }
        let section = Section::root(self, table.get_ref());
        let value = read(&section);
        section.finish();
        value
    }

    fn line(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        self.text.as_bytes()[..end]
            .split(|&byte| byte == b'\n')
            .count()
    }
}
