use std::{
    collections::BTreeMap,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tarragon_agreement::{Entry, Event, Payload, Recovered, SnapshotMeta};
use tarragon_codes::Code;
use tarragon_names::{LogIndex, MemberId, Millis, Term};
use tarragon_replica::StoreWriter;
use tarragon_storage::{FileStore, LogStore};

use crate::refusing_disk::{Refusal, RefusingFiles};

/// Number of steps of one run.
const STEPS: usize = 120;

const MEMBER: MemberId = MemberId(1);

/// Time between two steps, longer than the pause between two attempts.
const STEP_TIME: Millis = Millis(300);

/// A writer, what it was told to write, and what it has reported as durable.
pub struct Life {
    rng: ChaCha8Rng,
    writer: StoreWriter,
    is_full: Arc<AtomicBool>,
    now: Millis,
    term: u64,
    voted_for: Option<MemberId>,
    /// Term of each entry after the base.
    log: BTreeMap<u64, u64>,
    /// Index up to which a snapshot replaces the entries.
    base: u64,
    /// Index that no truncation reaches.
    committed: u64,
    reported_log: BTreeMap<u64, u64>,
    reported_vote: (u64, Option<MemberId>),
}

impl Life {
    /// Runs the steps of a seed, with crashes between them, and checks what each start recovers.
    pub fn run(seed: u64, refusal: Refusal) {
        let dir = tempfile::tempdir().expect("a folder");
        let is_full = Arc::<AtomicBool>::default();
        let files = RefusingFiles::open(dir.path(), &is_full, refusal);
        let store = FileStore::create_with(Box::new(files), MEMBER).expect("room");
        drop(store);
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut life = Self::recover(dir.path(), is_full, refusal, rng);
        for _ in 0..STEPS {
            life.step();
            life.report();
            if life.below(20) == 0 {
                life = life.crash(dir.path(), refusal);
            }
        }
        life.is_full.store(false, Ordering::SeqCst);
        life.now += STEP_TIME;
        life.writer.retry(life.now).expect("no sync fails");
        assert!(life.writer.refusal().is_none(), "writes wait beside room");
        life.report();
        // Everything that was to be written is reported.
        assert_eq!(life.reported_log, life.log);
        assert_eq!(life.reported_vote, (life.term, life.voted_for));
        life.crash(dir.path(), refusal);
    }

    fn recover(dir: &Path, is_full: Arc<AtomicBool>, refusal: Refusal, rng: ChaCha8Rng) -> Self {
        // A start waits for room for the vote file.
        is_full.store(false, Ordering::SeqCst);
        let files = RefusingFiles::open(dir, &is_full, refusal);
        let mut store = FileStore::open_with(Box::new(files)).expect("a store");
        let recovered = store.recover().expect("undamaged files");
        let log = terms(&recovered);
        let base = base(&recovered);
        Self {
            rng,
            writer: StoreWriter::new(Box::new(store)),
            is_full,
            now: Millis(1),
            term: recovered
                .term
                .0
                .max(log.values().last().copied().unwrap_or_default()),
            voted_for: recovered.voted_for,
            reported_log: log.clone(),
            log,
            base,
            committed: base,
            reported_vote: (recovered.term.0, recovered.voted_for),
        }
    }

    /// Ends the process and starts it again; what was reported has to be there.
    fn crash(self, dir: &Path, refusal: Refusal) -> Self {
        let (log, vote, base) = (self.reported_log, self.reported_vote, self.base);
        drop(self.writer);
        let next = Self::recover(dir, self.is_full, refusal, self.rng);
        for (index, term) in log {
            let is_kept = index <= next.base || next.log.get(&index) == Some(&term);
            assert!(
                is_kept,
                "entry {index} of term {term} was reported and is lost"
            );
        }
        assert!(next.base <= base.max(self.committed), "an unknown snapshot");
        assert!(
            next.reported_vote.0 >= vote.0,
            "a term was reported and is lost"
        );
        if next.reported_vote.0 == vote.0 {
            assert_eq!(next.reported_vote, vote, "another vote in the same term");
        }
        next
    }

    fn step(&mut self) {
        self.now += STEP_TIME;
        self.writer.retry(self.now).expect("no sync fails");
        match self.below(9) {
            0 => self.is_full.store(true, Ordering::SeqCst),
            1 => self.is_full.store(false, Ordering::SeqCst),
            2 => self.vote(),
            3 => self.truncate_and_append(),
            4 => self.install_snapshot(),
            5 | 6 => self.save_snapshot(),
            _ => self.append(None),
        }
    }

    fn below(&mut self, end: u64) -> u64 {
        self.rng.next_u64() % end
    }

    fn last(&self) -> u64 {
        self.log.keys().last().copied().unwrap_or(self.base)
    }

    fn vote(&mut self) {
        self.term += 1;
        self.voted_for = (self.below(2) == 0).then(|| MemberId(1 + self.below(3)));
        let saved = self.writer.save_vote(Term(self.term), self.voted_for);
        saved.expect("no sync fails");
    }

    fn append(&mut self, truncate_from: Option<u64>) {
        let first = truncate_from.unwrap_or(self.last() + 1);
        let count = 1 + self.below(3);
        let entries = (first..first + count).map(|index| {
            self.log.insert(index, self.term);
            Entry {
                term: Term(self.term),
                index: LogIndex(index),
                payload: Payload::Record(Bytes::from(index.to_string())),
            }
        });
        let entries = entries.collect();
        let appended = self.writer.append(truncate_from.map(LogIndex), entries);
        appended.expect("no sync fails");
        let open = self.last() - self.committed;
        self.committed += self.below(open + 1);
    }

    /// Replaces entries that are not committed by those of a later term.
    fn truncate_and_append(&mut self) {
        let open = self.last() - self.committed;
        if open == 0 {
            return;
        }
        self.vote();
        let from = self.committed + 1 + self.below(open);
        self.log.split_off(&from);
        self.reported_log.split_off(&from);
        self.append(Some(from));
    }

    fn install_snapshot(&mut self) {
        // A snapshot of the leader does not match the log here, so it replaces all of it.
        self.vote();
        let index = self.last() + 1 + self.below(3);
        let meta = meta(index, self.term);
        self.log.clear();
        // What is committed stays on the disk until the snapshot is.
        self.reported_log.split_off(&(self.committed + 1));
        (self.base, self.committed) = (index, index);
        let installed = self.writer.install_snapshot(meta, Bytes::new());
        installed.expect("no sync fails");
    }

    /// Saves a snapshot of the applied state, which may be ahead of the disk.
    fn save_snapshot(&mut self) {
        let Some(term) = self.log.get(&self.committed).copied() else {
            return;
        };
        let meta = meta(self.committed, term);
        match self.writer.save_snapshot(&meta, &Bytes::new()) {
            Ok(()) => {
                self.base = self.committed;
                self.log = self.log.split_off(&(self.base + 1));
                self.reported_log = self.reported_log.split_off(&(self.base + 1));
            }
            Err(failure) => assert_eq!(failure.code, Code::DiskFull),
        }
    }

    /// Notes what the writer reports, as the replica does.
    fn report(&mut self) {
        for event in self.writer.sync().expect("no sync fails") {
            match event {
                Event::VoteSynced { term, voted_for } => {
                    self.reported_vote = (term.0, voted_for);
                }
                Event::Synced { index, term } if self.log.get(&index.0) == Some(&term.0) => {
                    let synced = self.log.range(..=index.0);
                    self.reported_log.extend(synced);
                }
                Event::SnapshotSaved { meta } => {
                    self.reported_log = self.reported_log.split_off(&(meta.index.0 + 1));
                }
                _ => {}
            }
        }
    }
}

fn meta(index: u64, term: u64) -> SnapshotMeta {
    SnapshotMeta {
        index: LogIndex(index),
        term: Term(term),
        ..SnapshotMeta::default()
    }
}

fn base(recovered: &Recovered) -> u64 {
    let snapshot = recovered.snapshot.as_ref();
    snapshot.map_or(0, |(meta, _)| meta.index.0)
}

fn terms(recovered: &Recovered) -> BTreeMap<u64, u64> {
    let entries = recovered.entries.iter();
    entries.map(|e| (e.index.0, e.term.0)).collect()
}
