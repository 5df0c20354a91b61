use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
};

use serde_json::Value;

/// File with one JSON line for each start and end of a task, seen from outside of the system.
///
/// Lines go to the file one by one, so that those of a killed process are not lost.
#[derive(Clone, Debug, Default)]
pub struct TaskLog(Option<Arc<Mutex<File>>>);

impl TaskLog {
    /// Appends to a file.
    pub fn to_file(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self(Some(Arc::new(Mutex::new(file)))))
    }

    /// Writes one line.
    pub fn write(&self, line: &Value) -> io::Result<()> {
        let Some(file) = &self.0 else {
            return Ok(());
        };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(format!("{line}\n").as_bytes())
    }
}
