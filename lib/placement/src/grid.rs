use crate::free_index::NONE;

/// Levels of each resource. With two levels per doubling, they reach 8,192 cores and 8 TB.
pub(crate) const LEVELS: usize = 32;

/// Buckets of workers by level of free processor time (row) and free memory (column).
#[derive(Debug)]
pub(crate) struct Grid {
    /// Bit set of the rows that have a bucket with workers.
    rows: u32,
    /// For each row, bit set of the columns whose bucket has workers.
    columns: [u32; LEVELS],
    /// Position of the first worker in each bucket; `NONE` for an empty bucket.
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

    /// Replaces the first worker of a bucket and returns the position of the previous one.
    pub(crate) fn replace_head(&mut self, bucket: u16, position: u32) -> u32 {
        let bucket = usize::from(bucket);
        let (row, column) = (bucket / LEVELS, bucket % LEVELS);
        if position == NONE {
            self.columns[row] &= !(1 << column);
        } else {
            self.columns[row] |= 1 << column;
        }
        if self.columns[row] == 0 {
            self.rows &= !(1 << row);
        } else {
            self.rows |= 1 << row;
        }
        std::mem::replace(&mut self.heads[bucket], position)
    }

    /// Calls `f` with the first worker of each bucket at or above both levels, until `f` returns
    /// false.
    pub(crate) fn visit_buckets<F>(&self, row: usize, column: usize, mut f: F)
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
