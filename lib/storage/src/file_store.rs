use std::path::Path;

use bytes::Bytes;
use tarragon_agreement::{Entry, Recovered, SnapshotMeta};
use tarragon_codes::{Code, Failure, Outcome};
use tarragon_names::{LogIndex, MemberId, Term};

use crate::{
    Files, Folder, LogStore, frame,
    record::{self, Record},
};

const IDENTITY: &str = "identity";
const VOTE: &str = "vote";
const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";

/// Kind and version of a data folder, at the start of its identity file.
const KIND: &str = "tarragonstall replica 1";

/// A store in one data folder.
///
/// A bad record at the very end of the log cannot be told from a torn write and is cut off. Any
/// other one is reported with code 7101.
#[derive(Debug)]
pub struct FileStore {
    files: Box<dyn Files>,
    id: MemberId,
    /// Length of the log file, and how much of it is synced.
    len: u64,
    synced: u64,
    /// The failure after which nothing is done any more.
    broken: Option<Failure>,
}

impl FileStore {
    /// Tells whether the folder holds the data of a member.
    pub fn exists(dir: &Path) -> bool {
        dir.join(IDENTITY).exists()
    }

    /// Makes a folder the data folder of a new member.
    ///
    /// Data of an earlier member without its identity is dropped: its votes cannot be trusted.
    pub fn create(dir: &Path, id: MemberId) -> Outcome<Self> {
        Self::create_with(Box::new(Folder::create(dir)?), id)
    }

    /// Opens the data folder of an existing member.
    pub fn open(dir: &Path) -> Outcome<Self> {
        Self::open_with(Box::new(Folder::open(dir)?))
    }

    /// Like `create`, over other files.
    pub fn create_with(mut files: Box<dyn Files>, id: MemberId) -> Outcome<Self> {
        for name in files.list()? {
            if ![VOTE, LOG, SNAPSHOT].contains(&name.as_str()) {
                let cause = format!("the data folder already holds the file '{name}'");
                return Err(Failure::new(Code::ForeignData, cause));
            }
        }
        files.remove(SNAPSHOT)?;
        files.replace(LOG, &[])?;
        files.replace(VOTE, &vote_file(Term(0), None)?)?;
        // The identity comes last: without it the other files count as absent.
        let mut identity = Vec::new();
        frame::push(&mut identity, 0, &record::encode(&(KIND, id))?)?;
        files.replace(IDENTITY, &identity)?;
        Self::open_with(files)
    }

    /// Like `open`, over other files.
    pub fn open_with(files: Box<dyn Files>) -> Outcome<Self> {
        let Some(identity) = files.read(IDENTITY)? else {
            let cause = "the data folder holds no member identity";
            return Err(Failure::new(Code::ForeignData, cause));
        };
        let payload = frame::single(IDENTITY, &identity)?;
        let Some((KIND, id)) = record::decode::<(&str, MemberId)>(payload) else {
            let cause = "the data folder belongs to another program or version";
            return Err(Failure::new(Code::ForeignData, cause));
        };
        Ok(Self {
            files,
            id,
            len: 0,
            synced: 0,
            broken: None,
        })
    }

    fn read(&self, name: &str) -> Outcome<Vec<u8>> {
        let contents = self.files.read(name)?;
        let missing = || Failure::new(Code::CorruptRecord, format!("file '{name}' is missing"));
        contents.ok_or_else(missing)
    }

    fn read_snapshot(&self) -> Outcome<Option<(SnapshotMeta, Bytes)>> {
        let Some(file) = self.files.read(SNAPSHOT)? else {
            return Ok(None);
        };
        let payload = frame::single(SNAPSHOT, &file)?;
        let snapshot = record::decode(payload).ok_or_else(|| frame::corrupt(SNAPSHOT, 0))?;
        Ok(Some(snapshot))
    }

    /// Writes the log anew with these entries only.
    fn rewrite(&mut self, entries: Vec<Entry>) -> Outcome<()> {
        let mut buf = Vec::new();
        for entry in entries {
            // The file takes its place only when all of it is synced.
            let synced = buf.len() as u64;
            frame::push(&mut buf, synced, &record::encode(&Record::Entry(entry))?)?;
        }
        let synced = buf.len() as u64;
        frame::push(&mut buf, synced, &[])?;
        self.files.replace(LOG, &buf)?;
        self.len = buf.len() as u64;
        self.synced = self.len;
        Ok(())
    }

    fn recover_all(&mut self) -> Outcome<Recovered> {
        let vote = self.read(VOTE)?;
        let vote = record::decode(frame::single(VOTE, &vote)?);
        let (term, voted_for) = vote.ok_or_else(|| frame::corrupt(VOTE, 0))?;
        let snapshot = self.read_snapshot()?;
        let mut entries = record::replay(LOG, &self.read(LOG)?)?;
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
        // The process may have ended before a sync, or after a failed one, so that what was read
        // is not on the disk yet. Writing it anew also cuts off a torn tail.
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
            frame::push(&mut buf, self.synced, &record::encode(&record)?)?;
        }
        self.files.append(LOG, &buf)?;
        self.len += buf.len() as u64;
        Ok(())
    }

    fn save_snapshot_file(&mut self, meta: &SnapshotMeta, state: &Bytes) -> Outcome<()> {
        let mut file = Vec::new();
        frame::push(&mut file, 0, &record::encode(&(meta, state))?)?;
        self.files.replace(SNAPSHOT, &file)?;
        let mut entries = record::replay(LOG, &self.read(LOG)?)?;
        record::drop_covered(&mut entries, meta);
        self.rewrite(entries)
    }

    /// Runs an operation unless an earlier one left the disk in an unknown state.
    fn guarded<T, F>(&mut self, operation: F) -> Outcome<T>
    where
        F: FnOnce(&mut Self) -> Outcome<T>,
    {
        if let Some(failure) = &self.broken {
            return Err(failure.clone());
        }
        let outcome = operation(self);
        if let Err(failure) = &outcome
            && failure.code == Code::SyncFailed
        {
            self.broken = Some(failure.clone());
        }
        outcome
    }
}

impl LogStore for FileStore {
    fn id(&self) -> MemberId {
        self.id
    }

    fn recover(&mut self) -> Outcome<Recovered> {
        self.guarded(Self::recover_all)
    }

    fn append(&mut self, entries: &[Entry]) -> Outcome<()> {
        let records = entries.iter().cloned().map(Record::Entry).collect();
        self.guarded(|store| store.append_records(records))
    }

    fn truncate_from(&mut self, index: LogIndex) -> Outcome<()> {
        self.guarded(|store| store.append_records(vec![Record::Truncate(index)]))
    }

    fn save_vote(&mut self, term: Term, voted_for: Option<MemberId>) -> Outcome<()> {
        self.guarded(|store| store.files.replace(VOTE, &vote_file(term, voted_for)?))
    }

    fn save_snapshot(&mut self, meta: &SnapshotMeta, state: &Bytes) -> Outcome<()> {
        self.guarded(|store| store.save_snapshot_file(meta, state))
    }

    fn sync(&mut self) -> Outcome<()> {
        self.guarded(|store| {
            store.files.sync(LOG)?;
            store.synced = store.len;
            Ok(())
        })
    }
}

fn vote_file(term: Term, voted_for: Option<MemberId>) -> Outcome<Vec<u8>> {
    let mut file = Vec::new();
    frame::push(&mut file, 0, &record::encode(&(term, voted_for))?)?;
    Ok(file)
}
