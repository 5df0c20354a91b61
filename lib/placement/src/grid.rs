use crate::free_index::NONE;

/// Levels of each resource; two to a doubling reach 8,192 cores and 8 TB.
pub(crate) const LEVELS: usize = 32;

/// Buckets of workers by level of free processor (row) and free memory (column).
#[derive(Debug)]
pub(crate) struct Grid {
    /// Rows with a bucket that is not empty.
    rows: u32,
    /// Columns of each row whose bucket is not empty.
    columns: [u32; LEVELS],
    /// First slot of each bucket.
    heads: [u32; LEVELS * LEVELS],
}

impl Grid {
    pub(crate) fn boxed() -> Box<Self> {
        Box::new(Self {
            rows: 0,
            columns: [0; LEVELS],
            heads: [NONE; LEVELS * LEVELS],
        })
    }

    /// Sets the first slot of a bucket and returns the one before.
    pub(crate) fn replace_head(&mut self, bucket: u16, slot: u32) -> u32 {
        let bucket = usize::from(bucket);
        let (row, column) = (bucket / LEVELS, bucket % LEVELS);
        if slot == NONE {
            self.columns[row] &= !(1 << column);
        } else {
            self.columns[row] |= 1 << column;
        }
        if self.columns[row] == 0 {
            self.rows &= !(1 << row);
        } else {
            self.rows |= 1 << row;
        }
        std::mem::replace(&mut self.heads[bucket], slot)
    }

    /// Calls `f` with the first slot of each bucket at or above both levels while it returns true.
    pub(crate) fn each_bucket<F>(&self, row: usize, column: usize, mut f: F)
    where
        F: FnMut(u32) -> bool,
    {
        let mut rows = self.rows & (u32::MAX << row);
        while rows != 0 {
            let row = rows.trailing_zeros() as usize;
            rows &= rows - 1;
            let mut columns = self.columns[row] & (u32::MAX << column);
            while columns != 0 {
                let column = columns.trailing_zeros() as usize;
                columns &= columns - 1;
                if !f(self.heads[row * LEVELS + column]) {
                    return;
                }
            }
        }
    }
}
