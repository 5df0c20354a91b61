use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use tarragon_codes::{Code, Failure, Outcome};
use tarragon_storage::Files;

use crate::{mem_file::MemFile, rng::Rng};

/// Files and faults of a disk in memory.
#[derive(Clone, Debug, Default)]
pub struct DiskState {
    pub files: BTreeMap<String, MemFile>,
    pub rng: Rng,
    /// Bytes that all files together may hold.
    pub capacity: usize,
    /// Writing operations until the process ends within one.
    pub crash_after: usize,
    pub crashed: bool,
    /// Writing operations so far.
    pub operations: usize,
}

/// Disk in memory, which the test and the store share.
#[derive(Clone, Debug)]
pub struct MemDisk(Arc<Mutex<DiskState>>);

impl MemDisk {
    pub fn new(seed: u64) -> Self {
        Self::of(DiskState {
            rng: Rng(seed),
            capacity: usize::MAX,
            crash_after: usize::MAX,
            ..DiskState::default()
        })
    }

    pub fn of(state: DiskState) -> Self {
        Self(Arc::new(Mutex::new(state)))
    }

    pub fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap()
    }

    /// Leaves this much free space, in bytes.
    pub fn limit_room(&self, room: usize) {
        let mut state = self.state();
        let used = state.files.values().map(|f| f.bytes.len());
        state.capacity = used.sum::<usize>().saturating_add(room);
    }

    /// Makes the disk usable by the next process. Without power loss the page cache survives.
    pub fn restart(&self, power_lost: bool) {
        let state = &mut *self.state();
        for file in state.files.values_mut().filter(|_| power_lost) {
            file.lose_power(&mut state.rng);
        }
        state.crashed = false;
        state.crash_after = usize::MAX;
    }

    /// Runs a writing operation, which gets a generator if the process ends within it.
    fn write<W>(&self, name: &str, added_len: usize, write: W) -> Outcome<()>
    where
        W: FnOnce(&mut MemFile, Option<&mut Rng>),
    {
        let state = &mut *self.state();
        if state.crashed {
            return Err(Failure::of(Code::SyncFailed));
        }
        state.operations += 1;
        let used: usize = state.files.values().map(|f| f.bytes.len()).sum();
        if used + added_len > state.capacity {
            return Err(Failure::of(Code::DiskFull));
        }
        state.crashed = state.crash_after == 0;
        state.crash_after = state.crash_after.saturating_sub(1);
        let existed = state.files.contains_key(name);
        let mut file = state.files.remove(name).unwrap_or_default();
        write(&mut file, state.crashed.then_some(&mut state.rng));
        // An interrupted replacement may leave a file that did not exist missing.
        if existed || !file.bytes.is_empty() {
            state.files.insert(name.to_owned(), file);
        }
        if state.crashed {
            return Err(Failure::of(Code::SyncFailed));
        }
        Ok(())
    }
}

impl Files for MemDisk {
    fn list(&self) -> Outcome<Vec<String>> {
        Ok(self.state().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Outcome<Option<Vec<u8>>> {
        Ok(self.state().files.get(name).map(|f| f.bytes.clone()))
    }

    fn len(&self, name: &str) -> Outcome<Option<u64>> {
        Ok(self.read(name)?.map(|bytes| bytes.len() as u64))
    }

    fn read_range(&self, name: &str, offset: u64, len: usize) -> Outcome<Vec<u8>> {
        let bytes = self.read(name)?.unwrap_or_default();
        let rest = bytes.get(offset as usize..).unwrap_or_default();
        Ok(rest[..len.min(rest.len())].to_vec())
    }

    fn replace(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        self.write(name, contents.len(), |file, crash| {
            if crash.is_none_or(Rng::coin) {
                file.bytes = contents.to_vec();
                file.sync();
            }
        })
    }

    fn remove(&mut self, name: &str) -> Outcome<()> {
        self.state().files.remove(name);
        Ok(())
    }

    fn append(&mut self, name: &str, contents: &[u8]) -> Outcome<()> {
        let len = contents.len();
        self.write(name, len, |file, crash| {
            file.append(&contents[..crash.map_or(len, |rng| rng.below(len))]);
        })
    }

    fn overwrite_from(&mut self, name: &str, offset: u64, contents: &[u8]) -> Outcome<()> {
        self.write(name, 0, |file, crash| {
            file.overwrite_from(offset as usize, contents, crash);
        })
    }

    fn sync(&mut self, name: &str) -> Outcome<()> {
        self.write(name, 0, |file, crash| {
            if crash.is_none_or(Rng::coin) {
                file.sync();
            }
        })
    }
}
