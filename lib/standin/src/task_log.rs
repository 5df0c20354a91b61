use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
};

use serde_json::Value;

/// File with one JSON line for each worker, and for each start and end of a task.
///
/// Trials compare it with the scheduler's decisions, because it records what ran independently of the
/// scheduler. Lines are not buffered, so a killed process loses none of them. The default log discards
/// all lines.
#[derive(Clone, Debug, Default)]
pub struct TaskLog(Option<Arc<Mutex<File>>>);

impl TaskLog {
    /// Opens the file for appending, and creates it if it does not exist.
    pub fn to_file(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self(Some(Arc::new(Mutex::new(file)))))
    }

    /// Appends a JSON value as one line.
    pub fn write(&self, line: &Value) -> io::Result<()> {
        let Some(file) = &self.0 else {
            return Ok(());
        };
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(format!("{line}\n").as_bytes())
    }
}
