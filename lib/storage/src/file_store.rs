use std::path::Path;

use bytes::Bytes;
use tarragon_agreement::{Entry, Recovered, SnapshotMeta};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{LogIndex, MemberId, Term};

use crate::{
    Files, Folder, LogStore, StoreSizes, frame,
    log_map::LogMap,
    log_reader::{self, LogContents},
    record::{self, Record},
};

const IDENTITY_FILE: &str = "identity";
const VOTE_FILE: &str = "vote";
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";

/// Program and format version of a data folder, at the start of the payload of its identity file.
const FORMAT: &str = "tarragonstall replica 1";

/// Room for what a snapshot file holds beside the state. Only saves a copy while the file is made.
const SNAPSHOT_HEAD_BYTES: usize = 4_096;

/// Store in a data folder.
///
/// Recovery cuts off the log at a bad record if no later record states that the bad one was synced:
/// it may be a torn write. Any other bad record is reported with code 7101.
#[derive(Debug)]
pub struct FileStore {
    files: Box<dyn Files>,
    id: MemberId,
    /// Positions of the entries in the log file.
    log_map: LogMap,
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
        files.replace(LOG_FILE, &empty_log()?)?;
        files.replace(VOTE_FILE, &vote_file(Term(0), None)?)?;
        // The identity is written last: until then, the other files are ignored.
        let identity = frame::push(Vec::new(), 0, &(FORMAT, id))?;
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
            log_map: LogMap::default(),
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
    fn rewrite(&mut self, entries: &[Entry]) -> Outcome<()> {
        let mut buf = Vec::new();
        let mut map = LogMap::default();
        for entry in entries {
            // `replace` syncs the whole file before it becomes the log, so each frame may state
            // that everything before it is synced.
            let offset = buf.len() as u64;
            buf = frame::push(buf, offset, &Record::Entry(entry.clone()))?;
            map.push(entry, offset);
        }
        let synced = buf.len() as u64;
        frame::push_empty(&mut buf, synced)?;
        self.files.replace(LOG_FILE, &buf)?;
        self.log_map = map;
        self.log_len = buf.len() as u64;
        self.synced_log_len = self.log_len;
        Ok(())
    }

    /// Deletes all entries, which a durable snapshot covers or replaces. Needs no room on the disk.
    ///
    /// After a crash in between, the log may still hold these entries, which a start deletes then.
    fn clear_log(&mut self) -> Outcome<()> {
        self.files.overwrite_from(LOG_FILE, 0, &[])?;
        self.log_map.clear();
        self.log_len = 0;
        self.synced_log_len = 0;
        Ok(())
    }

    fn recover_all(&mut self) -> Outcome<Recovered> {
        let vote = self.read(VOTE_FILE)?;
        let vote = record::decode(frame::parse_single(VOTE_FILE, &vote)?);
        let (term, voted_for) = vote.ok_or_else(|| frame::corrupt(VOTE_FILE, 0))?;
        let snapshot = self.read_snapshot()?;
        let mut log = log_reader::read_log(self.files.as_ref(), LOG_FILE, 0)?;
        let mut entries = std::mem::take(&mut log.entries);
        let covered = snapshot
            .as_ref()
            .map_or(LogIndex(0), |(meta, _)| meta.index);
        if entries.first().is_some_and(|e| e.index > covered.next()) {
            let cause = format!("entries after {covered} are missing in the log");
            return Err(Failure::new(Code::CorruptRecord, cause));
        }
        self.make_durable(log)?;
        // A disk that takes no writes is found here, where the host waits for it, and not at the first
        // vote, which ends the process. The replacement also syncs the folder, without which the
        // snapshot that the log is cut for below may be lost with the power.
        self.files
            .replace(VOTE_FILE, &vote_file(term, voted_for)?)?;
        if let Some((meta, _)) = &snapshot {
            record::drop_covered(&mut entries, meta);
            if entries.is_empty() {
                self.clear_log()?;
            }
        }
        Ok(Recovered {
            id: self.id,
            term,
            voted_for,
            snapshot,
            entries,
        })
    }

    /// Makes the log durable and cuts off a torn tail.
    ///
    /// The previous process may have ended before a sync or after a failed one, so what no record
    /// states as synced may exist only in the page cache. Writing the same bytes in the same place
    /// makes them durable without room for a second log, and a crash in between changes nothing.
    fn make_durable(&mut self, log: LogContents) -> Outcome<()> {
        if log.synced_len < log.file_len {
            let tail_len = (log.intact_len - log.synced_len) as usize;
            let tail = self.files.read_range(LOG_FILE, log.synced_len, tail_len)?;
            self.files.overwrite_from(LOG_FILE, log.synced_len, &tail)?;
        }
        self.log_map = log.map;
        self.log_len = log.intact_len;
        self.synced_log_len = log.intact_len;
        // A tail of this length is the frame that an earlier start appended.
        if log.synced_len + (frame::HEADER_LEN as u64) < log.intact_len {
            self.state_synced_len()?;
        }
        Ok(())
    }

    /// Appends a frame that states the whole log as synced, so that later damage in its last records
    /// is not taken for a torn write. A full disk does without.
    fn state_synced_len(&mut self) -> Outcome<()> {
        let mut frame = Vec::new();
        frame::push_empty(&mut frame, self.synced_log_len)?;
        match self.files.append(LOG_FILE, &frame) {
            Ok(()) => self.log_len += frame.len() as u64,
            Err(failure) if failure.code.is_refused_write() => return Ok(()),
            Err(failure) => return Err(failure),
        }
        self.files.sync(LOG_FILE)?;
        self.synced_log_len = self.log_len;
        Ok(())
    }

    fn append_records(&mut self, records: &[Record]) -> Outcome<()> {
        let mut buf = Vec::new();
        let mut offsets = Vec::new();
        for record in records {
            offsets.push(self.log_len + buf.len() as u64);
            buf = frame::push(buf, self.synced_log_len, record)?;
        }
        self.files.append(LOG_FILE, &buf)?;
        self.log_len += buf.len() as u64;
        for (record, offset) in records.iter().zip(offsets) {
            match record {
                Record::Entry(entry) => self.log_map.push(entry, offset),
                Record::Truncate(index) => self.log_map.truncate_from(*index),
            }
        }
        Ok(())
    }

    fn save_snapshot_file(&mut self, meta: &SnapshotMeta, state: &Bytes) -> Outcome<()> {
        let buf = Vec::with_capacity(state.len() + SNAPSHOT_HEAD_BYTES);
        let file = frame::push(buf, 0, &(meta, state))?;
        self.files.replace(SNAPSHOT_FILE, &file)?;
        self.snapshot_len = file.len() as u64;
        drop(file);
        let Some(offset) = self.log_map.first_kept_offset(meta) else {
            return self.clear_log();
        };
        let kept = log_reader::read_log(self.files.as_ref(), LOG_FILE, offset)?;
        if kept.intact_len != self.log_len {
            return Err(frame::corrupt(LOG_FILE, kept.intact_len));
        }
        self.rewrite(&kept.entries)
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
        let records = entries
            .iter()
            .cloned()
            .map(Record::Entry)
            .collect::<Vec<_>>();
        self.run_operation(|store| store.append_records(&records))
    }

    fn truncate_from(&mut self, index: LogIndex) -> Outcome<()> {
        self.run_operation(|store| store.append_records(&[Record::Truncate(index)]))
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
    frame::push(Vec::new(), 0, &(term, voted_for))
}

/// Returns the contents of a log file without entries.
fn empty_log() -> Outcome<Vec<u8>> {
    let mut file = Vec::new();
    frame::push_empty(&mut file, 0)?;
    Ok(file)
}
