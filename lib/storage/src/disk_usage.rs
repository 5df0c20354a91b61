use std::{collections::BTreeMap, fs, path::Path};

use derive_more::Display;

/// Sizes in bytes of the files in a data folder and in the folders below it.
#[derive(Clone, Debug, Default, Display, Eq, PartialEq)]
#[display("{} bytes in files: {by_path:?}", self.total_bytes())]
pub struct DiskUsage {
    by_path: BTreeMap<String, u64>,
}

impl DiskUsage {
    /// Returns the sizes of the files below `dir`. Leaves out what cannot be read.
    pub fn of(dir: &Path) -> Self {
        let mut usage = Self::default();
        usage.add_folder(dir, dir);
        usage
    }

    /// Returns the sum of all sizes.
    pub fn total_bytes(&self) -> u64 {
        self.by_path.values().sum()
    }

    fn add_folder(&mut self, root: &Path, dir: &Path) {
        let Ok(entries) = fs::read_dir(dir) else {
            return;
        };
        for entry in entries.flatten() {
            let Ok(metadata) = entry.metadata() else {
                continue;
            };
            let path = entry.path();
            if metadata.is_dir() {
                self.add_folder(root, &path);
            } else if metadata.len() > 0 {
                let name = path.strip_prefix(root).unwrap_or(&path);
                self.by_path
                    .insert(name.display().to_string(), metadata.len());
            }
        }
    }
}
