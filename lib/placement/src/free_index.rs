use tarragon_names::Resources;

use crate::grid::{Grid, LEVELS};

/// Highest number of free accelerators with a separate grid; higher numbers share it.
const MAX_ACCELERATORS: u64 = 8;

/// Index of the workers of a shard by free capacity, in which a worker is identified by its position
/// in the shard.
///
/// One grid holds the workers without accelerators. Workers with accelerators are in one grid for
/// each number of free accelerators. A task without accelerators is placed on a worker without
/// accelerators if possible, and a task with accelerators on a worker with few more than it needs.
#[derive(Debug)]
pub(crate) struct FreeIndex {
    grids: [Option<Box<Grid>>; GRID_COUNT],
    links: Vec<Link>,
}

const GRID_COUNT: usize = MAX_ACCELERATORS as usize + 2;
const NO_ACCELERATORS: usize = 0;

/// Node of a worker in the doubly linked list of its bucket; `NONE` ends a list.
#[derive(Clone, Copy, Debug)]
struct Link {
    grid: u8,
    bucket: u16,
    prev: u32,
    next: u32,
}

/// End of a list of positions.
pub(crate) const NONE: u32 = u32::MAX;
/// Grid number of a worker that is not in the index.
const UNLINKED: u8 = u8::MAX;

impl FreeIndex {
    pub(crate) fn new() -> Self {
        Self {
            grids: Default::default(),
            links: Vec::new(),
        }
    }

    /// Sets the free capacity of a worker; `None` removes the worker from the index.
    pub(crate) fn set(
        &mut self,
        position: usize,
        free: Option<&Resources>,
        has_accelerators: bool,
    ) {
        if self.links.len() <= position {
            self.links.resize(
                position + 1,
                Link {
                    grid: UNLINKED,
                    bucket: 0,
                    prev: NONE,
                    next: NONE,
                },
            );
        }
        let new = free.map(|free| (grid_of(free, has_accelerators), bucket_of(free)));
        let link = self.links[position];
        let old = (link.grid != UNLINKED).then_some((usize::from(link.grid), link.bucket));
        if new == old {
            return;
        }
        if old.is_some() {
            self.unlink(position);
        }
        if let Some((grid, bucket)) = new {
            self.link(position, grid, bucket);
        }
    }

    fn link(&mut self, position: usize, grid: usize, bucket: u16) {
        let buckets = self.grids[grid].get_or_insert_with(Grid::boxed);
        let head = buckets.replace_head(bucket, position as u32);
        self.links[position] = Link {
            grid: grid as u8,
            bucket,
            prev: NONE,
            next: head,
        };
        if head != NONE {
            self.links[head as usize].prev = position as u32;
        }
    }

    fn unlink(&mut self, position: usize) {
        let link = self.links[position];
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
        self.links[position].grid = UNLINKED;
    }

    /// Shortens the index to `len` positions. The positions from `len` on must be unlinked already.
    pub(crate) fn truncate(&mut self, len: usize) {
        self.links.truncate(len);
    }

    /// Calls `f` for the workers that may have `need` free, from the bucket with the least free
    /// capacity up.
    ///
    /// The result of `f` decides how the scan continues. A further grid, with more free
    /// accelerators, is visited only if `f` accepted no worker of the previous ones.
    pub(crate) fn scan<F>(&self, need: &Resources, mut f: F)
    where
        F: FnMut(usize) -> Scan,
    {
        let grids = if need.accelerators == 0 {
            NO_ACCELERATORS..GRID_COUNT
        } else {
            1 + need.accelerators.min(MAX_ACCELERATORS) as usize..GRID_COUNT
        };
        let (cpu, memory) = levels(need);
        let mut found = false;
        for grid in self.grids[grids].iter().flatten() {
            if found {
                return;
            }
            grid.visit_buckets(cpu, memory, |head| {
                let mut position = head;
                while position != NONE {
                    match f(position as usize) {
                        Scan::Reject => {}
                        Scan::Accept => {
                            found = true;
                            return true;
                        }
                        Scan::Stop => {
                            found = true;
                            return false;
                        }
                    }
                    position = self.links[position as usize].next;
                }
                true
            });
        }
    }
}

/// How a scan continues after a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scan {
    /// The worker is not suitable: continue with the next one in its bucket.
    Reject,
    /// The worker is suitable: continue with the next bucket, because the other workers of this
    /// bucket are similar.
    Accept,
    /// The worker is suitable and enough workers were compared: end the scan.
    Stop,
}

fn grid_of(free: &Resources, has_accelerators: bool) -> usize {
    if has_accelerators {
        1 + free.accelerators.min(MAX_ACCELERATORS) as usize
    } else {
        NO_ACCELERATORS
    }
}

fn bucket_of(free: &Resources) -> u16 {
    let (cpu, memory) = levels(free);
    (cpu * LEVELS + memory) as u16
}

/// Levels of processor time in units of a quarter core, and of memory in units of 256 MB.
fn levels(amounts: &Resources) -> (usize, usize) {
    (
        level(amounts.cpu_milli / 250),
        level(amounts.memory_mb / 256),
    )
}

/// Level of an amount, with two levels per doubling; they start at 0, 1, 2, 3, 4, 6, 8, 12, 16 and
/// so on.
fn level(units: u64) -> usize {
    if units < 2 {
        return units as usize;
    }
    let log = units.ilog2();
    let upper_half = (units >> (log - 1)) & 1;
    ((2 * log) as usize + upper_half as usize).min(LEVELS - 1)
}
