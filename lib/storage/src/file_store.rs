use std::path::Path;

use bytes::Bytes;
use tarragon_agreement::{Entry, Recovered, SnapshotMeta};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{LogIndex, MemberId, Term};

use crate::{
    Files, Folder, LogStore, StoreSizes, frame,
    record::{self, Record},
};

const IDENTITY_FILE: &str = "identity";
const VOTE_FILE: &str = "vote";
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";

/// Program and format version of a data folder, at the start of the payload of its identity file.
const FORMAT: &str = "tarragonstall replica 1";

/// Store in a data folder.
///
/// Recovery cuts off the log at a bad record if no later record states that the bad one was synced:
/// it may be a torn write. Any other bad record is reported with code 7101.
#[derive(Debug)]
pub struct FileStore {
    files: Box<dyn Files>,
    id: MemberId,
    /// Length of the log file, in bytes.
    log_len: u64,
    /// Length of the synced part of the log file, in bytes.
    synced_log_len: u64,
    /// Length of the snapshot file, in bytes.
    snapshot_len: u64,
    /// First failed sync; every later operation returns the same failure.
    sync_failure: Option<Failure>,
}

impl FileStore {
    /// Returns whether the folder has an identity file and so belongs to a member.
    pub fn exists(dir: &Path) -> bool {
        dir.join(IDENTITY_FILE).exists()
    }

    /// Initializes a folder as the data folder of a new member.
    ///
    /// Deletes the log, vote and snapshot of an earlier member if its identity file is missing,
    /// because its votes cannot be trusted. Fails if the folder has an identity or foreign files.
    pub fn create(dir: &Path, id: MemberId) -> Outcome<Self> {
        Self::create_with(Box::new(Folder::create(dir)?), id)
    }

    /// Opens the data folder of an existing member.
    pub fn open(dir: &Path) -> Outcome<Self> {
        Self::open_with(Box::new(Folder::open(dir)?))
    }

    /// Like `create`, with another implementation of [`Files`].
    pub fn create_with(mut files: Box<dyn Files>, id: MemberId) -> Outcome<Self> {
        for name in files.list()? {
            if ![VOTE_FILE, LOG_FILE, SNAPSHOT_FILE].contains(&name.as_str()) {
                let cause = format!("the data folder already holds the file '{name}'");
                return Err(Failure::new(Code::ForeignData, cause));
            }
        }
        files.remove(SNAPSHOT_FILE)?;
        files.replace(LOG_FILE, &[])?;
        files.replace(VOTE_FILE, &vote_file(Term(0), None)?)?;
        // The identity is written last: until then, the other files are ignored.
        let mut identity = Vec::new();
        frame::push(&mut identity, 0, &record::encode(&(FORMAT, id))?)?;
        files.replace(IDENTITY_FILE, &identity)?;
        Self::open_with(files)
    }

    /// Like `open`, with another implementation of [`Files`].
    pub fn open_with(files: Box<dyn Files>) -> Outcome<Self> {
        let Some(identity) = files.read(IDENTITY_FILE)? else {
            let cause = "the data folder holds no member identity";
            return Err(Failure::new(Code::ForeignData, cause));
        };
        let payload = frame::parse_single(IDENTITY_FILE, &identity)?;
        let Some((FORMAT, id)) = record::decode::<(&str, MemberId)>(payload) else {
            let cause = "the data folder belongs to another program or version";
            return Err(Failure::new(Code::ForeignData, cause));
        };
        Ok(Self {
            files,
            id,
            log_len: 0,
            synced_log_len: 0,
            snapshot_len: 0,
            sync_failure: None,
        })
    }

    fn read(&self, name: &str) -> Outcome<Vec<u8>> {
        let contents = self.files.read(name)?;
        let missing = || Failure::new(Code::CorruptRecord, format!("file '{name}' is missing"));
        contents.ok_or_else(missing)
    }

    fn read_snapshot(&mut self) -> Outcome<Option<(SnapshotMeta, Bytes)>> {
        let Some(file) = self.files.read(SNAPSHOT_FILE)? else {
            return Ok(None);
        };
        self.snapshot_len = file.len() as u64;
        let payload = frame::parse_single(SNAPSHOT_FILE, &file)?;
        let snapshot = record::decode(payload).ok_or_else(|| frame::corrupt(SNAPSHOT_FILE, 0))?;
        Ok(Some(snapshot))
    }

    /// Replaces the log file with one that holds only these entries.
    fn rewrite(&mut self, entries: Vec<Entry>) -> Outcome<()> {
        let mut buf = Vec::new();
        for entry in entries {
            // `replace` syncs the whole file before it becomes the log, so each frame may state
            // that everything before it is synced.
            let synced = buf.len() as u64;
            frame::push(&mut buf, synced, &record::encode(&Record::Entry(entry))?)?;
        }
        let synced = buf.len() as u64;
        frame::push(&mut buf, synced, &[])?;
        self.files.replace(LOG_FILE, &buf)?;
        self.log_len = buf.len() as u64;
        self.synced_log_len = self.log_len;
        Ok(())
    }

    fn recover_all(&mut self) -> Outcome<Recovered> {
        let vote = self.read(VOTE_FILE)?;
        let vote = record::decode(frame::parse_single(VOTE_FILE, &vote)?);
        let (term, voted_for) = vote.ok_or_else(|| frame::corrupt(VOTE_FILE, 0))?;
        let snapshot = self.read_snapshot()?;
        let mut entries = record::replay(LOG_FILE, &self.read(LOG_FILE)?)?;
        let covered = snapshot
            .as_ref()
            .map_or(LogIndex(0), |(meta, _)| meta.index);
        if entries.first().is_some_and(|e| e.index > covered.next()) {
            let cause = format!("entries after {covered} are missing in the log");
            return Err(Failure::new(Code::CorruptRecord, cause));
        }
        if let Some((meta, _)) = &snapshot {
            record::drop_covered(&mut entries, meta);
        }
        // The previous process may have ended before a sync or after a failed one, so the data read
        // here may exist only in the page cache. Rewriting the log makes it durable and cuts off a
        // torn tail.
        self.rewrite(entries.clone())?;
        Ok(Recovered {
            id: self.id,
            term,
            voted_for,
            snapshot,
            entries,
        })
    }

    fn append_records(&mut self, records: Vec<Record>) -> Outcome<()> {
        let mut buf = Vec::new();
        for record in records {
            frame::push(&mut buf, self.synced_log_len, &record::encode(&record)?)?;
        }
        self.files.append(LOG_FILE, &buf)?;
        self.log_len += buf.len() as u64;
        Ok(())
    }

    fn save_snapshot_file(&mut self, meta: &SnapshotMeta, state: &Bytes) -> Outcome<()> {
        let mut file = Vec::new();
        frame::push(&mut file, 0, &record::encode(&(meta, state))?)?;
        self.files.replace(SNAPSHOT_FILE, &file)?;
        self.snapshot_len = file.len() as u64;
        let mut entries = record::replay(LOG_FILE, &self.read(LOG_FILE)?)?;
        record::drop_covered(&mut entries, meta);
        self.rewrite(entries)
    }

    /// Runs an operation, unless a sync failed earlier: the state of the disk is then unknown.
    fn run_operation<T, F>(&mut self, operation: F) -> Outcome<T>
    where
        F: FnOnce(&mut Self) -> Outcome<T>,
    {
        if let Some(failure) = &self.sync_failure {
            return Err(failure.clone());
        }
        let outcome = operation(self);
        if let Err(failure) = &outcome
            && failure.code == Code::SyncFailed
        {
            self.sync_failure = Some(failure.clone());
        }
        outcome
    }
}

impl LogStore for FileStore {
    fn id(&self) -> MemberId {
        self.id
    }

    fn recover(&mut self) -> Outcome<Recovered> {
        self.run_operation(Self::recover_all)
    }

    fn append(&mut self, entries: &[Entry]) -> Outcome<()> {
        let records = entries.iter().cloned().map(Record::Entry).collect();
        self.run_operation(|store| store.append_records(records))
    }

    fn truncate_from(&mut self, index: LogIndex) -> Outcome<()> {
        self.run_operation(|store| store.append_records(vec![Record::Truncate(index)]))
    }

    fn save_vote(&mut self, term: Term, voted_for: Option<MemberId>) -> Outcome<()> {
        self.run_operation(|store| store.files.replace(VOTE_FILE, &vote_file(term, voted_for)?))
    }

    fn save_snapshot(&mut self, meta: &SnapshotMeta, state: &Bytes) -> Outcome<()> {
        self.run_operation(|store| store.save_snapshot_file(meta, state))
    }

    fn sync(&mut self) -> Outcome<()> {
        self.run_operation(|store| {
            store.files.sync(LOG_FILE)?;
            store.synced_log_len = store.log_len;
            Ok(())
        })
    }

    fn sizes(&self) -> StoreSizes {
        StoreSizes {
            log_bytes: self.log_len,
            snapshot_bytes: self.snapshot_len,
        }
    }
}

/// Returns the contents of the vote file.
fn vote_file(term: Term, voted_for: Option<MemberId>) -> Outcome<Vec<u8>> {
    let mut file = Vec::new();
    frame::push(&mut file, 0, &record::encode(&(term, voted_for))?)?;
    Ok(file)
}
