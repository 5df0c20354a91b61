use tarragon_names::{Millis, Name};

/// Maximum number of images that are compared with each other, one for each bit of a set of slots.
pub(crate) const MAX_IMAGES: usize = 32;

/// Maximum length of the name of an image that takes part. Longer names are left out, so that the
/// names kept here stay below 8 KiB in total.
const MAX_NAME_BYTES: usize = 256;

/// Greatest weight of an image, so that one that was used long ago gives way within seconds.
const MAX_WEIGHT: u32 = 1_000;

/// Number of an image in the table.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Slot(u8);

impl Slot {
    pub(crate) fn all() -> impl Iterator<Item = Self> {
        (0..MAX_IMAGES as u8).map(Self)
    }

    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }

    pub(crate) fn bit(self) -> u32 {
        1 << self.0
    }
}

#[derive(Clone, Debug)]
struct Entry {
    name: Name,
    weight: u32,
    last_seen: Millis,
}

/// The images that occur most often in reports.
///
/// The table keeps frequent items by the method of Misra and Gries: a name that finds the table full
/// takes one from the weight of every entry. An image that makes up more than one in
/// `MAX_IMAGES + 1` of the reports stays, however many other names are sent.
#[derive(Clone, Debug)]
pub(crate) struct ImageTable {
    entries: Vec<Option<Entry>>,
}

impl Default for ImageTable {
    fn default() -> Self {
        Self {
            entries: vec![None; MAX_IMAGES],
        }
    }
}

impl ImageTable {
    /// Counts a report of an image and returns the slots that were freed.
    pub(crate) fn record(&mut self, name: &Name, now: Millis) -> u32 {
        if name.len() > MAX_NAME_BYTES {
            return 0;
        }
        if let Some(slot) = self.slot(name) {
            if let Some(entry) = &mut self.entries[slot.index()] {
                entry.weight = (entry.weight + 1).min(MAX_WEIGHT);
                entry.last_seen = now;
            }
            return 0;
        }
        let free = Slot::all().find(|slot| self.entries[slot.index()].is_none());
        if let Some(slot) = free {
            self.entries[slot.index()] = Some(Entry {
                name: name.clone(),
                weight: 1,
                last_seen: now,
            });
            return 0;
        }
        for entry in self.entries.iter_mut().flatten() {
            entry.weight -= 1;
        }
        self.free_where(|entry| entry.weight == 0)
    }

    /// Frees the slots of images that were not reported since `since`, and returns them.
    pub(crate) fn forget_unseen(&mut self, since: Millis) -> u32 {
        self.free_where(|entry| entry.last_seen < since)
    }

    fn free_where<F>(&mut self, is_freed: F) -> u32
    where
        F: Fn(&Entry) -> bool,
    {
        let mut freed = 0;
        for slot in Slot::all() {
            let entry = &mut self.entries[slot.index()];
            if entry.as_ref().is_some_and(&is_freed) {
                *entry = None;
                freed |= slot.bit();
            }
        }
        freed
    }

    pub(crate) fn slot(&self, name: &Name) -> Option<Slot> {
        Slot::all().find(|slot| self.name(*slot) == Some(name))
    }

    pub(crate) fn name(&self, slot: Slot) -> Option<&Name> {
        self.entries[slot.index()].as_ref().map(|entry| &entry.name)
    }

    pub(crate) const fn max_name_bytes() -> usize {
        MAX_IMAGES * MAX_NAME_BYTES
    }

    pub(crate) fn used(&self) -> Vec<Slot> {
        let slots = Slot::all();
        slots.filter(|slot| self.name(*slot).is_some()).collect()
    }
}
