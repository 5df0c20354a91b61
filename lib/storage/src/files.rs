use std::fmt::Debug;

use tarragon_codes::Outcome;

/// Files of one data folder, so that tests can make the disk fail.
pub trait Files: Debug + Send {
    /// Names of the files present.
    fn list(&self) -> Outcome<Vec<String>>;

    /// Contents of a file, or `None` if there is no such file.
    fn read(&self, name: &str) -> Outcome<Option<Vec<u8>>>;

    /// Replaces a file so that a crash leaves the old contents or the new; durable on return.
    fn replace(&mut self, name: &str, contents: &[u8]) -> Outcome<()>;

    /// Deletes a file if it is there; durable on return.
    fn remove(&mut self, name: &str) -> Outcome<()>;

    /// Adds to the end of an existing file; durable after the next `sync` of the file.
    ///
    /// If it fails, the file is as long as before.
    fn append(&mut self, name: &str, contents: &[u8]) -> Outcome<()>;

    /// Makes what was appended to a file durable.
    fn sync(&mut self, name: &str) -> Outcome<()>;
}
