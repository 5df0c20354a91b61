use std::{
    fs::{self, File, OpenOptions},
    io::{self, ErrorKind, Write},
    path::{Path, PathBuf},
};

use tarragon_codes::{Code, Failure, Outcome};

use crate::Files;

const LOCK: &str = "lock";
const TEMP: &str = "replacement.tmp";

/// A folder of the file system, locked against other processes.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    dir: File,
    /// Holds the lock until it is dropped.
    _lock: File,
    appending: Option<(String, File)>,
}

impl Folder {
    /// Opens and locks an existing folder.
    pub fn open(path: &Path) -> Outcome<Self> {
        let foreign = |e: io::Error| at(Code::ForeignData, path, &e);
        let dir = File::open(path).map_err(foreign)?;
        let mut options = OpenOptions::new();
        options.create(true).truncate(false).write(true);
        let lock = options.open(path.join(LOCK)).map_err(foreign)?;
        if lock.try_lock().is_err() {
            let cause = format!("{} is in use by another process", path.display());
            return Err(Failure::new(Code::ForeignData, cause));
        }
        Ok(Self {
            path: path.to_owned(),
            dir,
            _lock: lock,
            appending: None,
        })
    }

    /// Creates the folder if there is none, then opens and locks it.
    pub fn create(path: &Path) -> Outcome<Self> {
        fs::create_dir_all(path).map_err(|e| at(Code::DiskFull, path, &e))?;
        if let Some(parent) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
            let synced = File::open(parent).and_then(|dir| dir.sync_all());
            synced.map_err(|e| at(Code::SyncFailed, parent, &e))?;
        }
        Self::open(path)
    }

    fn sync_dir(&self) -> Outcome<()> {
        let synced = self.dir.sync_all();
        synced.map_err(|e| at(Code::SyncFailed, &self.path, &e))
    }

    fn appender(&mut self, name: &str) -> Outcome<&mut File> {
        if !matches!(&self.appending, Some((open, _)) if open == name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().append(true).open(&path);
            let file = file.map_err(|e| at(Code::DiskFull, &path, &e))?;
            self.appending = Some((name.to_owned(), file));
        }
        match &mut self.appending {
            Some((_, file)) => Ok(file),
            None => Err(Failure::of(Code::Internal)),
        }
    }
}

impl Files for Folder {
    fn list(&self) -> Outcome<Vec<String>> {
        let mut names = Vec::new();
        let entries =
            fs::read_dir(&self.path).map_err(|e| at(Code::ForeignData, &self.path, &e))?;
        for entry in entries {
            let entry = entry.map_err(|e| at(Code::ForeignData, &self.path, &e))?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name != LOCK && name != TEMP {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Outcome<Option<Vec<u8>>> {
        let path = self.path.join(name);
        match fs::read(&path) {
            Ok(contents) => Ok(Some(contents)),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(at(Code::CorruptRecord, &path, &e)),
        }
    }

    fn replace(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        let temp = self.path.join(TEMP);
        let written = File::create(&temp).and_then(|mut file| {
            file.write_all(contents)?;
            Ok(file)
        });
        let file = written.map_err(|e| at(Code::DiskFull, &temp, &e))?;
        file.sync_all()
            .map_err(|e| at(Code::SyncFailed, &temp, &e))?;
        let path = self.path.join(name);
        fs::rename(&temp, &path).map_err(|e| at(Code::DiskFull, &path, &e))?;
        if matches!(&self.appending, Some((open, _)) if open == name) {
            self.appending = None;
        }
        self.sync_dir()
    }

    fn remove(&mut self, name: &str) -> Outcome<()> {
        let path = self.path.join(name);
        match fs::remove_file(&path) {
            Ok(()) => self.sync_dir(),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
            Err(e) => Err(at(Code::DiskFull, &path, &e)),
        }
    }

    fn append(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        let path = self.path.join(name);
        let file = self.appender(name)?;
        let before = file.metadata().map_err(|e| at(Code::DiskFull, &path, &e))?;
        let Err(error) = file.write_all(contents) else {
            return Ok(());
        };
        // A part may have been written. If it cannot be cut off, nothing may follow it.
        let cut = file.set_len(before.len());
        cut.map_err(|e| at(Code::SyncFailed, &path, &e))?;
        Err(at(Code::DiskFull, &path, &error))
    }

    fn sync(&mut self, name: &str) -> Outcome<()> {
        let path = self.path.join(name);
        let synced = self.appender(name)?.sync_data();
        synced.map_err(|e| at(Code::SyncFailed, &path, &e))
    }
}

fn at(code: Code, path: &Path, error: &io::Error) -> Failure {
    Failure::new(code, format!("{}: {error}", path.display()))
}
