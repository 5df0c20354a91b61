use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_storage::{Files, Folder};

/// What a full disk does with a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Reports that it has no room.
    Reported,
    /// Drops appended bytes and reports success, a planted fault.
    SilentAppends,
    /// Drops replacements of files and reports success, a planted fault.
    SilentReplacements,
}

/// Folder on a disk that tests fill.
#[derive(Debug)]
pub struct RefusingFiles {
    folder: Folder,
    is_full: Arc<AtomicBool>,
    refusal: Refusal,
}

impl RefusingFiles {
    pub fn open(dir: &Path, is_full: &Arc<AtomicBool>, refusal: Refusal) -> Self {
        Self {
            folder: Folder::create(dir).expect("a folder"),
            is_full: Arc::clone(is_full),
            refusal,
        }
    }

    /// Returns whether the write is done, or why it is refused.
    fn has_room(&self, silent: Refusal) -> Outcome<bool> {
        if !self.is_full.load(Ordering::SeqCst) {
            return Ok(true);
        }
        if self.refusal == silent {
            return Ok(false);
        }
        Err(Failure::new(Code::DiskFull, "no space left"))
    }
}

impl Files for RefusingFiles {
    fn list(&self) -> Outcome<Vec<String>> {
        self.folder.list()
    }

    fn read(&self, name: &str) -> Outcome<Option<Vec<u8>>> {
        self.folder.read(name)
    }

    fn len(&self, name: &str) -> Outcome<Option<u64>> {
        self.folder.len(name)
    }

    fn read_range(&self, name: &str, offset: u64, len: usize) -> Outcome<Vec<u8>> {
        self.folder.read_range(name, offset, len)
    }

    fn overwrite_from(&mut self, name: &str, offset: u64, contents: &[u8]) -> Outcome<()> {
        self.folder.overwrite_from(name, offset, contents)
    }

    fn replace(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        if self.has_room(Refusal::SilentReplacements)? {
            self.folder.replace(name, contents)?;
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Outcome<()> {
        self.folder.remove(name)
    }

    fn append(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        if self.has_room(Refusal::SilentAppends)? {
            self.folder.append(name, contents)?;
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Outcome<()> {
        self.folder.sync(name)
    }
}
