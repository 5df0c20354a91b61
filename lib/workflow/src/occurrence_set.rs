use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Set of occurrence numbers, held as ranges. Occurrences end nearly in their order, so there are few
/// ranges, however many occurrences a job has.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OccurrenceSet {
    /// Last number of each range, by its first one. No two ranges touch.
    ranges: BTreeMap<u32, u32>,
}

impl OccurrenceSet {
    /// Adds a number.
    pub fn insert(&mut self, number: u32) {
        if self.contains(number) {
            return;
        }
        let mut range = (number, number);
        if let Some((first, last)) = self.range_before(number)
            && last.checked_add(1) == Some(number)
        {
            range.0 = first;
        }
        if let Some(next) = number.checked_add(1)
            && let Some(last) = self.ranges.remove(&next)
        {
            range.1 = last;
        }
        self.ranges.insert(range.0, range.1);
    }

    /// Returns whether the set holds a number.
    pub fn contains(&self, number: u32) -> bool {
        self.range_before(number)
            .is_some_and(|(_, last)| number <= last)
    }

    /// Returns the lowest number from `from` on that the set does not hold; `None` if it holds all of them.
    pub fn next_absent(&self, from: u32) -> Option<u32> {
        match self.range_before(from) {
            Some((_, last)) if from <= last => last.checked_add(1),
            _ => Some(from),
        }
    }

    /// Number of numbers in the set.
    pub fn len(&self) -> u64 {
        let ranges = self.ranges.iter();
        ranges
            .map(|(first, last)| u64::from(last - first) + 1)
            .sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Numbers in the set, in their order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|(first, last)| *first..=*last)
    }

    /// Range with the highest first number up to `number`.
    fn range_before(&self, number: u32) -> Option<(u32, u32)> {
        let range = self.ranges.range(..=number).next_back();
        range.map(|(first, last)| (*first, *last))
    }
}

impl FromIterator<u32> for OccurrenceSet {
    fn from_iter<I>(iter: I) -> Self
    where
        I: IntoIterator<Item = u32>,
    {
        let mut set = Self::default();
        for number in iter {
            set.insert(number);
        }
        set
    }
}
