use std::fmt::Debug;

use tarragon_codes::Outcome;

/// File operations on a data folder. A trait, so that tests can inject disk failures.
pub trait Files: Debug + Send {
    /// Returns the names of the files in the folder.
    fn list(&self) -> Outcome<Vec<String>>;

    /// Reads a whole file; `None` if it does not exist.
    fn read(&self, name: &str) -> Outcome<Option<Vec<u8>>>;

    /// Returns the length of a file in bytes; `None` if it does not exist.
    fn len(&self, name: &str) -> Outcome<Option<u64>>;

    /// Reads at most `len` bytes of an existing file from `offset` on; fewer only at its end.
    fn read_range(&self, name: &str, offset: u64, len: usize) -> Outcome<Vec<u8>>;

    /// Creates or atomically replaces a file; durable on return. A crash leaves the old contents or
    /// the new ones.
    fn replace(&mut self, name: &str, contents: &[u8]) -> Outcome<()>;

    /// Deletes a file if it exists; durable on return.
    fn remove(&mut self, name: &str) -> Outcome<()>;

    /// Appends to an existing file; durable after the next `sync` of the file.
    ///
    /// After a failure with `DiskFull` or `DiskUnusable` the file has its previous length.
    fn append(&mut self, name: &str, contents: &[u8]) -> Outcome<()>;

    /// Replaces everything from `offset` on, which must not be longer than the old part; durable on
    /// return. Needs no room on the disk.
    ///
    /// After a crash the old and the new part may be mixed.
    fn overwrite_from(&mut self, name: &str, offset: u64, contents: &[u8]) -> Outcome<()>;

    /// Makes everything appended to a file durable.
    fn sync(&mut self, name: &str) -> Outcome<()>;
}
