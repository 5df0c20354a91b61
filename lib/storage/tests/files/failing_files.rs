use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_storage::{Files, Folder};

/// Faults to inject. The test and the files share the flags.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Syncs and replacements of files fail.
    pub fail_sync: Arc<AtomicBool>,
    /// Appends and replacements of files find the disk full.
    pub disk_full: Arc<AtomicBool>,
}

/// Folder on the disk whose operations fail while a fault is set.
#[derive(Debug)]
pub struct FailingFiles {
    pub folder: Folder,
    pub faults: Faults,
}

impl FailingFiles {
    fn fail_if(fault: &AtomicBool, code: Code) -> Outcome<()> {
        if fault.load(Ordering::SeqCst) {
            return Err(Failure::of(code));
        }
        Ok(())
    }
}

impl Files for FailingFiles {
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
        Self::fail_if(&self.faults.fail_sync, Code::SyncFailed)?;
        self.folder.overwrite_from(name, offset, contents)
    }

    fn replace(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        Self::fail_if(&self.faults.disk_full, Code::DiskFull)?;
        Self::fail_if(&self.faults.fail_sync, Code::SyncFailed)?;
        self.folder.replace(name, contents)
    }

    fn remove(&mut self, name: &str) -> Outcome<()> {
        self.folder.remove(name)
    }

    fn append(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        Self::fail_if(&self.faults.disk_full, Code::DiskFull)?;
        self.folder.append(name, contents)
    }

    fn sync(&mut self, name: &str) -> Outcome<()> {
        Self::fail_if(&self.faults.fail_sync, Code::SyncFailed)?;
        self.folder.sync(name)
    }
}
