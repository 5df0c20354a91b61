use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, ErrorKind, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use tarragon_codes::{Code, Failure, Outcome};

use crate::Files;

const LOCK_FILE: &str = "lock";
const TEMP_FILE: &str = "replacement.tmp";

/// Folder in the file system, locked against other processes.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    dir: File,
    /// Keeps the advisory lock, which ends when the file is closed.
    _lock: File,
    /// Name and handle of the file that was last appended to or synced.
    append_file: Option<(String, File)>,
}

impl Folder {
    /// Opens and locks an existing folder.
    pub fn open(path: &Path) -> Outcome<Self> {
        let dir = File::open(path).map_err(|e| io_failure(missing_or_unusable(&e), path, &e))?;
        let mut options = OpenOptions::new();
        options.create(true).truncate(false).write(true);
        let lock_path = path.join(LOCK_FILE);
        let lock = options.open(&lock_path);
        let lock = lock.map_err(|e| io_failure(Code::DiskFull, &lock_path, &e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let cause = format!("{} is in use by another process", path.display());
                return Err(Failure::new(Code::FolderInUse, cause));
            }
            Err(TryLockError::Error(e)) => return Err(io_failure(Code::DiskFull, &lock_path, &e)),
        }
        // What a process that ended within a replacement left behind takes up room.
        let _removed = fs::remove_file(path.join(TEMP_FILE));
        Ok(Self {
            path: path.to_owned(),
            dir,
            _lock: lock,
            append_file: None,
        })
    }

    /// Creates the folder if it does not exist, then opens and locks it.
    pub fn create(path: &Path) -> Outcome<Self> {
        fs::create_dir_all(path).map_err(|e| io_failure(Code::DiskFull, path, &e))?;
        if let Some(parent) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
            let synced = File::open(parent).and_then(|dir| dir.sync_all());
            synced.map_err(|e| io_failure(Code::SyncFailed, parent, &e))?;
        }
        Self::open(path)
    }

    fn sync_dir(&self) -> Outcome<()> {
        let synced = self.dir.sync_all();
        synced.map_err(|e| io_failure(Code::SyncFailed, &self.path, &e))
    }

    fn open_append_file(&mut self, name: &str) -> Outcome<&mut File> {
        if !matches!(&self.append_file, Some((open, _)) if open == name) {
            let path = self.path.join(name);
            let file = OpenOptions::new().append(true).open(&path);
            let file = file.map_err(|e| write_failure(&path, &e))?;
            self.append_file = Some((name.to_owned(), file));
        }
        match &mut self.append_file {
            Some((_, file)) => Ok(file),
            None => Err(Failure::of(Code::Internal)),
        }
    }
}

impl Files for Folder {
    fn list(&self) -> Outcome<Vec<String>> {
        let mut names = Vec::new();
        let entries =
            fs::read_dir(&self.path).map_err(|e| io_failure(Code::ForeignData, &self.path, &e))?;
        for entry in entries {
            let entry = entry.map_err(|e| io_failure(Code::ForeignData, &self.path, &e))?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE && name != TEMP_FILE {
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
            Err(e) => Err(io_failure(Code::CorruptRecord, &path, &e)),
        }
    }

    fn len(&self, name: &str) -> Outcome<Option<u64>> {
        let path = self.path.join(name);
        match fs::metadata(&path) {
            Ok(metadata) => Ok(Some(metadata.len())),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(e) => Err(io_failure(Code::CorruptRecord, &path, &e)),
        }
    }

    fn read_range(&self, name: &str, offset: u64, len: usize) -> Outcome<Vec<u8>> {
        let path = self.path.join(name);
        let read = File::open(&path).and_then(|mut file| {
            let mut contents = Vec::new();
            file.seek(SeekFrom::Start(offset))?;
            file.take(len as u64).read_to_end(&mut contents)?;
            Ok(contents)
        });
        read.map_err(|e| io_failure(Code::CorruptRecord, &path, &e))
    }

    fn replace(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        let temp = self.path.join(TEMP_FILE);
        let written = File::create(&temp).and_then(|mut file| {
            file.write_all(contents)?;
            Ok(file)
        });
        let file = written.map_err(|e| {
            // A partial file would take up the room that other writes need.
            let _removed = fs::remove_file(&temp);
            let cause = format!("{}: {e}, writing {} bytes", temp.display(), contents.len());
            Failure::new(refused_write(&e), cause)
        })?;
        file.sync_all()
            .map_err(|e| io_failure(Code::SyncFailed, &temp, &e))?;
        let path = self.path.join(name);
        fs::rename(&temp, &path).map_err(|e| write_failure(&path, &e))?;
        if matches!(&self.append_file, Some((open, _)) if open == name) {
            self.append_file = None;
        }
        self.sync_dir()
    }

    fn remove(&mut self, name: &str) -> Outcome<()> {
        let path = self.path.join(name);
        match fs::remove_file(&path) {
            Ok(()) => self.sync_dir(),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
            Err(e) => Err(write_failure(&path, &e)),
        }
    }

    fn append(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        let path = self.path.join(name);
        let file = self.open_append_file(name)?;
        let before = file.metadata().map_err(|e| write_failure(&path, &e))?;
        let Err(error) = file.write_all(contents) else {
            return Ok(());
        };
        // A part may have been written. If it cannot be cut off, `SyncFailed` stops the store, so
        // that no record follows the partial one.
        let cut = file.set_len(before.len());
        cut.map_err(|e| io_failure(Code::SyncFailed, &path, &e))?;
        Err(write_failure(&path, &error))
    }

    fn overwrite_from(&mut self, name: &str, offset: u64, contents: &[u8]) -> Outcome<()> {
        let path = self.path.join(name);
        let written = OpenOptions::new().write(true).open(&path);
        let written = written.and_then(|mut file| {
            file.seek(SeekFrom::Start(offset))?;
            file.write_all(contents)?;
            file.set_len(offset + contents.len() as u64)?;
            Ok(file)
        });
        let file = written.map_err(|e| write_failure(&path, &e))?;
        let synced = file.sync_all();
        synced.map_err(|e| io_failure(Code::SyncFailed, &path, &e))
    }

    fn sync(&mut self, name: &str) -> Outcome<()> {
        let path = self.path.join(name);
        let synced = self.open_append_file(name)?.sync_data();
        synced.map_err(|e| io_failure(Code::SyncFailed, &path, &e))
    }
}

/// Code of a failure to open a folder: only a missing folder says something about its contents.
fn missing_or_unusable(e: &io::Error) -> Code {
    if e.kind() == ErrorKind::NotFound {
        Code::ForeignData
    } else {
        Code::DiskFull
    }
}

/// Code of a refused write. Only a write that lacks room succeeds once others have freed some.
fn refused_write(e: &io::Error) -> Code {
    match e.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
            Code::DiskFull
        }
        _ => Code::DiskUnusable,
    }
}

fn write_failure(path: &Path, error: &io::Error) -> Failure {
    io_failure(refused_write(error), path, error)
}

fn io_failure(code: Code, path: &Path, error: &io::Error) -> Failure {
    Failure::new(code, format!("{}: {error}", path.display()))
}
