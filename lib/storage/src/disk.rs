use std::{fmt::Debug, path::Path};

use tarragon_codes::Outcome;

use crate::{Files, Folder};

/// Opens data folders. A trait, so that tests can limit the space of a disk.
pub trait Disk: Debug + Send + Sync {
    /// Opens and locks an existing folder.
    fn open(&self, dir: &Path) -> Outcome<Box<dyn Files>>;

    /// Creates the folder if it does not exist, then opens and locks it.
    fn create(&self, dir: &Path) -> Outcome<Box<dyn Files>>;
}

/// The file system of this host.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalDisk;

impl Disk for LocalDisk {
    fn open(&self, dir: &Path) -> Outcome<Box<dyn Files>> {
        Ok(Box::new(Folder::open(dir)?))
    }

    fn create(&self, dir: &Path) -> Outcome<Box<dyn Files>> {
        Ok(Box::new(Folder::create(dir)?))
    }
}
