use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_storage::{Files, Folder};

/// Faults to inject, shared with the test.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub sync: Arc<AtomicBool>,
    pub space: Arc<AtomicBool>,
}

/// Files of a real folder whose disk can fail.
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

    fn replace(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        Self::fail_if(&self.faults.space, Code::DiskFull)?;
        Self::fail_if(&self.faults.sync, Code::SyncFailed)?;
        self.folder.replace(name, contents)
    }

    fn remove(&mut self, name: &str) -> Outcome<()> {
        self.folder.remove(name)
    }

    fn append(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        Self::fail_if(&self.faults.space, Code::DiskFull)?;
        self.folder.append(name, contents)
    }

    fn sync(&mut self, name: &str) -> Outcome<()> {
        Self::fail_if(&self.faults.sync, Code::SyncFailed)?;
        self.folder.sync(name)
    }
}
