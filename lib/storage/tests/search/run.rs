use bytes::Bytes;
use tarragon_agreement::{Entry, Members, Payload, Recovered, SnapshotMeta};
use tarragon_codes::{Code, Outcome};
use tarragon_names::{LogIndex, MemberId, Term};
use tarragon_storage::{FileStore, LogStore};

use crate::{mem_disk::MemDisk, model::Model, rng::Rng};

const ID: MemberId = MemberId(42);

/// Free space that every start needs, in bytes.
const START_ROOM_BYTES: usize = 100;

/// Operation on a store, relative to what it holds.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Append(usize),
    /// Deletes at most this many entries.
    Truncate(usize),
    Sync,
    Vote,
    /// Saves a snapshot that leaves this many entries.
    Snapshot(usize),
    /// Saves a snapshot of a new term, this many entries after the first that may be covered.
    Received(usize),
}

/// A store, its disk and the states that it may recover to.
#[derive(Debug)]
pub struct Run {
    pub disk: MemDisk,
    pub store: FileStore,
    pub model: Model,
    pub rng: Rng,
    /// Writing operation at which the first attempt of each start ends; `None` to draw it.
    pub start_crash: Option<usize>,
    pub starts: usize,
    pub disk_full: usize,
    term: u64,
    /// Length of the log that a record states as synced; damage after it counts as torn.
    stated_len: usize,
    synced_len: usize,
    trace: Vec<String>,
}

impl Run {
    pub fn new(seed: u64) -> Self {
        let disk = MemDisk::new(seed);
        let mut store = FileStore::create_with(Box::new(disk.clone()), ID).unwrap();
        Self {
            model: Model::of(store.recover().unwrap()),
            disk,
            store,
            rng: Rng(!seed),
            start_crash: None,
            starts: 0,
            disk_full: 0,
            term: 1,
            stated_len: 0,
            synced_len: 0,
            trace: vec![format!("seed {seed}")],
        }
    }

    /// Takes a step, and starts again if the process ends within it.
    pub fn take(&mut self, step: Step, power_lost: bool) {
        self.trace.push(format!("{step:?}"));
        let before = self.model.clone();
        match self.execute(step).map_err(|e| e.code) {
            Ok(()) => {}
            Err(Code::DiskFull) => {
                self.disk_full += 1;
                self.trace.push("disk full".to_owned());
                let saved = std::mem::replace(&mut self.model, before).snapshots;
                // Only entries that a snapshot leaves need room after it is saved.
                if matches!(step, Step::Snapshot(_)) {
                    self.model.snapshots = saved;
                }
            }
            Err(Code::SyncFailed) if self.disk.state().crashed => self.restart(power_lost),
            Err(code) => self.fail(&format!("unexpected {code:?}")),
        }
        if self.store.sizes().log_bytes as usize != self.log_len() {
            self.fail("length of the log");
        }
    }

    fn execute(&mut self, step: Step) -> Outcome<()> {
        let covered = self.model.covered();
        let next = self.model.last_index() + 1;
        self.term += u64::from(!matches!(step, Step::Append(_) | Step::Sync));
        let random = Bytes::from(vec![self.term as u8; self.rng.below(250)]);
        match step {
            Step::Append(count) => {
                let entry = |index| Entry {
                    term: Term(self.term),
                    index: LogIndex(index),
                    payload: Payload::Record(random.slice(..random.len() / 4)),
                };
                let entries: Vec<_> = (next..next + count as u64).map(entry).collect();
                for entry in &entries {
                    let log = [self.model.log(), std::slice::from_ref(entry)].concat();
                    self.model.logs.push(log);
                }
                self.store.append(&entries)?;
                self.stated_len = self.synced_len;
            }
            Step::Truncate(count) => {
                let first = LogIndex(next.saturating_sub(count as u64).max(covered + 1));
                self.model.truncate_from(first);
                self.store.truncate_from(first)?;
            }
            Step::Sync => {
                self.store.sync()?;
                self.model.logs.drain(..self.model.logs.len() - 1);
                self.synced_len = self.log_len();
            }
            Step::Vote => {
                let vote = (Term(self.term), self.rng.coin().then_some(ID));
                self.model.votes.push(vote);
                self.store.save_vote(vote.0, vote.1)?;
                self.model.votes = vec![vote];
            }
            Step::Snapshot(left) => {
                let mut last = self.model.log().iter().rev().skip(left);
                if let Some(last) = last.next().filter(|e| e.index.0 > covered) {
                    let position = (last.index, last.term);
                    self.save_snapshot(position, &random)?;
                }
            }
            Step::Received(distance) => {
                let index = LogIndex(covered + 1 + distance as u64);
                self.save_snapshot((index, Term(self.term)), &random)?;
            }
        }
        Ok(())
    }

    fn save_snapshot(&mut self, (index, term): (LogIndex, Term), state: &Bytes) -> Outcome<()> {
        let meta = SnapshotMeta {
            index,
            term,
            members: Members::default(),
        };
        let snapshot = Some((meta.clone(), state.clone()));
        self.model.snapshots.push(snapshot.clone());
        self.store.save_snapshot(&meta, state)?;
        self.model.save_snapshot(snapshot);
        (self.stated_len, self.synced_len) = (self.log_len(), self.log_len());
        Ok(())
    }

    /// Ends the process and starts it with the least room, which may crash once more.
    pub fn restart(&mut self, power_lost: bool) {
        self.trace.push(format!("crash, power lost: {power_lost}"));
        self.disk.restart(power_lost);
        self.disk.limit_room(START_ROOM_BYTES);
        let drawn = self.rng.below(12);
        self.disk.state().crash_after = self.start_crash.unwrap_or(drawn);
        let mut outcome = self.open();
        if self.disk.state().crashed {
            self.trace.push("crash of the start".to_owned());
            self.disk.restart(self.rng.coin());
            self.disk.limit_room(START_ROOM_BYTES);
            outcome = self.open();
        }
        match outcome {
            Ok(state) if self.model.allows(&state) => self.model = Model::of(state),
            other => self.fail(&format!("start: {other:?}\nexpected {:?}", self.model)),
        }
        self.starts += 1;
        (self.stated_len, self.synced_len) = (0, self.log_len());
        self.disk.limit_room(usize::MAX);
        self.disk.state().crash_after = usize::MAX;
    }

    fn open(&mut self) -> Outcome<Recovered> {
        self.store = FileStore::open_with(Box::new(self.disk.clone()))?;
        self.store.recover()
    }

    fn log_len(&self) -> usize {
        self.disk.state().files["log"].bytes.len()
    }

    /// Changes one byte on a copy of the disk. Returns whether the start reports it.
    pub fn flip_byte(&mut self) -> bool {
        let mut state = self.disk.state().clone();
        (state.capacity, state.crash_after) = (usize::MAX, usize::MAX);
        let names = state.files.keys().cloned().collect::<Vec<_>>();
        let name = &names[self.rng.below(names.len())];
        let bytes = &mut state.files.get_mut(name).unwrap().bytes;
        let checked_len = if name == "log" {
            self.stated_len
        } else {
            bytes.len()
        };
        let at = self.rng.below(checked_len);
        if let Some(byte) = bytes[..checked_len].get_mut(at) {
            *byte ^= 1 + self.rng.below(255) as u8;
        }
        let store = FileStore::open_with(Box::new(MemDisk::of(state)));
        match store.and_then(|mut store| store.recover()) {
            Err(e) if e.code == Code::CorruptRecord => true,
            Ok(state) if self.model.allows(&state) => false,
            other => self.fail(&format!("changed byte {at} of {name}: {other:?}")),
        }
    }

    fn fail(&self, what: &str) -> ! {
        panic!("{what}\n{}", self.trace.join("\n"))
    }
}
