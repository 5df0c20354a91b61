use std::{
    iter::Sum,
    ops::{Add, AddAssign},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Amounts of the resources that a worker offers or a task needs.
///
/// Sums saturate, because workers and callers report the amounts: two capacities near the maximum
/// must not add up to nothing.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{cpu_milli}m cpu, {memory_mb} MB, {accelerators} acc")]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Resources {
    /// Zero of each resource.
    pub const ZERO: Self = Self {
        cpu_milli: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Amounts of processor time in thousandths of a core, memory in megabytes and accelerators.
    pub const fn new(cpu_milli: u64, memory_mb: u64, accelerators: u64) -> Self {
        Self {
            cpu_milli,
            memory_mb,
            accelerators,
        }
    }

    /// Whether every amount is at most that of `free`.
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// Difference of each amount; `None` if one would be negative.
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_milli: self.cpu_milli.checked_sub(other.cpu_milli)?,
            memory_mb: self.memory_mb.checked_sub(other.memory_mb)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Difference of each amount, at least zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The greater of each amount.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The smaller of each amount.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Each amount times `n`; an overflow saturates.
    #[must_use]
    pub fn times(&self, n: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
            accelerators: self.accelerators.saturating_mul(n),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(rhs.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(rhs.memory_mb),
            accelerators: self.accelerators.saturating_add(rhs.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sum for Resources {
    fn sum<I>(iter: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        iter.fold(Self::ZERO, Add::add)
    }
}
