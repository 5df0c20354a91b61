use std::{
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_storage::{Disk, DiskUsage, Files, Folder};

/// Disk that refuses writes beyond its capacity. The data folders of all its hosts count apart.
#[derive(Clone, Debug)]
pub struct SmallDisk {
    /// Size of the disk in bytes; tests change it while the disk is in use.
    pub capacity: Arc<AtomicU64>,
}

impl SmallDisk {
    fn limit(&self, dir: &Path, folder: Folder) -> Box<dyn Files> {
        // Data that was set aside stands beside the folder of the replica.
        let root = dir.parent().unwrap_or(dir).to_owned();
        Box::new(LimitedFiles {
            folder,
            root,
            capacity: Arc::clone(&self.capacity),
        })
    }
}

impl Disk for SmallDisk {
    fn open(&self, dir: &Path) -> Outcome<Box<dyn Files>> {
        Ok(self.limit(dir, Folder::open(dir)?))
    }

    fn create(&self, dir: &Path) -> Outcome<Box<dyn Files>> {
        Ok(self.limit(dir, Folder::create(dir)?))
    }
}

/// Folder on a [`SmallDisk`].
#[derive(Debug)]
struct LimitedFiles {
    folder: Folder,
    /// Folder whose files take up the space of the disk.
    root: PathBuf,
    capacity: Arc<AtomicU64>,
}

impl LimitedFiles {
    fn reserve(&self, added: usize) -> Outcome<()> {
        let used = DiskUsage::of(&self.root);
        if used.total_bytes() + added as u64 > self.capacity.load(Ordering::SeqCst) {
            let cause = format!("no space left for {added} bytes beside {used}");
            return Err(Failure::new(Code::DiskFull, cause));
        }
        Ok(())
    }
}

impl Files for LimitedFiles {
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
        self.reserve(contents.len())?;
        self.folder.replace(name, contents)
    }

    fn remove(&mut self, name: &str) -> Outcome<()> {
        self.folder.remove(name)
    }

    fn append(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        self.reserve(contents.len())?;
        self.folder.append(name, contents)
    }

    fn sync(&mut self, name: &str) -> Outcome<()> {
        self.folder.sync(name)
    }
}
