use tarragon_names::Resources;

use crate::grid::{Grid, LEVELS};

/// Greatest number of free accelerators that has a grid of its own.
const MAX_ACCELERATORS: u64 = 8;

/// Index of the workers of a shard by free capacity.
///
/// Workers without accelerators have one grid. Workers with accelerators have one grid for each
/// number of free accelerators, so work that needs none finds the others first and work that needs
/// some takes a worker with few to spare.
#[derive(Debug)]
pub(crate) struct FreeIndex {
    grids: [Option<Box<Grid>>; GRIDS],
    links: Vec<Link>,
}

const GRIDS: usize = MAX_ACCELERATORS as usize + 2;
const PLAIN: usize = 0;

/// Place of a slot in the chain of its bucket; `NONE` ends a chain.
#[derive(Clone, Copy, Debug)]
struct Link {
    grid: u8,
    bucket: u16,
    prev: u32,
    next: u32,
}

pub(crate) const NONE: u32 = u32::MAX;
const UNLINKED: u8 = u8::MAX;

impl FreeIndex {
    pub(crate) fn new() -> Self {
        Self {
            grids: Default::default(),
            links: Vec::new(),
        }
    }

    /// Enters a slot, or moves it if its bucket changed. `None` takes it out of the index.
    pub(crate) fn set(&mut self, slot: usize, free: Option<&Resources>, has_accelerators: bool) {
        if self.links.len() <= slot {
            self.links.resize(
                slot + 1,
                Link {
                    grid: UNLINKED,
                    bucket: 0,
                    prev: NONE,
                    next: NONE,
                },
            );
        }
        let place = free.map(|free| (grid_of(free, has_accelerators), bucket_of(free)));
        let link = self.links[slot];
        let old = (link.grid != UNLINKED).then_some((usize::from(link.grid), link.bucket));
        if place == old {
            return;
        }
        if old.is_some() {
            self.unlink(slot);
        }
        if let Some((grid, bucket)) = place {
            self.link(slot, grid, bucket);
        }
    }

    fn link(&mut self, slot: usize, grid: usize, bucket: u16) {
        let buckets = self.grids[grid].get_or_insert_with(Grid::boxed);
        let head = buckets.replace_head(bucket, slot as u32);
        self.links[slot] = Link {
            grid: grid as u8,
            bucket,
            prev: NONE,
            next: head,
        };
        if head != NONE {
            self.links[head as usize].prev = slot as u32;
        }
    }

    fn unlink(&mut self, slot: usize) {
        let link = self.links[slot];
        if link.prev == NONE {
            if let Some(grid) = &mut self.grids[usize::from(link.grid)] {
                grid.replace_head(link.bucket, link.next);
            }
        } else {
            self.links[link.prev as usize].next = link.next;
        }
        if link.next != NONE {
            self.links[link.next as usize].prev = link.prev;
        }
        self.links[slot].grid = UNLINKED;
    }

    /// Takes out the last slot after it was moved to `slot`, whose worker is gone.
    pub(crate) fn shrink(&mut self, len: usize) {
        self.links.truncate(len);
    }

    /// Calls `f` for the slots that may have `need` free, those with least free first.
    ///
    /// `f` tells whether it has seen enough of the bucket or of the whole grid. The accelerator
    /// grids are visited only if `f` accepted nothing before.
    pub(crate) fn scan<F>(&self, need: &Resources, mut f: F)
    where
        F: FnMut(usize) -> Scan,
    {
        let grids = if need.accelerators == 0 {
            PLAIN..GRIDS
        } else {
            1 + need.accelerators.min(MAX_ACCELERATORS) as usize..GRIDS
        };
        let (cpu, memory) = levels(need);
        let mut found = false;
        for grid in self.grids[grids].iter().flatten() {
            if found {
                return;
            }
            grid.each_bucket(cpu, memory, |head| {
                let mut slot = head;
                while slot != NONE {
                    match f(slot as usize) {
                        Scan::Next => {}
                        Scan::Found => {
                            found = true;
                            return true;
                        }
                        Scan::Enough => {
                            found = true;
                            return false;
                        }
                    }
                    slot = self.links[slot as usize].next;
                }
                true
            });
        }
    }
}

/// What a scan does after a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scan {
    /// The slot does not do; look at the next one of the bucket.
    Next,
    /// The slot does; go on with the next bucket, whose slots differ more from this one.
    Found,
    /// The slot does and enough were compared.
    Enough,
}

fn grid_of(free: &Resources, has_accelerators: bool) -> usize {
    if has_accelerators {
        1 + free.accelerators.min(MAX_ACCELERATORS) as usize
    } else {
        PLAIN
    }
}

fn bucket_of(free: &Resources) -> u16 {
    let (cpu, memory) = levels(free);
    (cpu * LEVELS + memory) as u16
}

fn levels(amounts: &Resources) -> (usize, usize) {
    (
        level(amounts.cpu_milli / 250),
        level(amounts.memory_mb / 256),
    )
}

/// Two levels to a doubling: 0, 1, 2, 3, 4, 6, 8, 12, 16 and so on.
fn level(units: u64) -> usize {
    if units < 2 {
        return units as usize;
    }
    let log = units.ilog2();
    let upper_half = (units >> (log - 1)) & 1;
    ((2 * log) as usize + upper_half as usize).min(LEVELS - 1)
}
