//! Counters that show where capacity and time go under high load.
//!
//! Load pattern: a pool is nearly full although work waits. Capacity may then be kept free for steps
//! that do not start, be lost to runs that are stopped, or be given to other priorities.

use std::{collections::BTreeMap, fmt};

use derive_more::Display;
use tarragon_names::Millis;

/// Upper bounds of the times that are counted together, in milliseconds.
const TIME_BOUNDS_MS: [u64; 6] = [100, 300, 1_000, 3_000, 10_000, 30_000];

/// Number of queue priorities that are counted separately. Those beyond it are counted as the last.
const MAX_PRIORITIES: usize = 16;

/// Longest time for which a reading of idle capacity counts. The process may have been paused.
const MAX_IDLE_TIME: Millis = Millis(1_000);

/// Why a run was stopped.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StopCause {
    #[display("job ended")]
    JobEnded,
    #[display("done elsewhere")]
    DoneElsewhere,
    #[display("member of its gang lost")]
    GangBroken,
    #[display("preempted")]
    Preempted,
    #[display("overdue")]
    Overdue,
    #[display("behind its step")]
    BehindStep,
    #[display("start unanswered")]
    StartUnanswered,
    #[display("not listed to a new leader")]
    NotListed,
}

/// Times of one kind: their number, sum and greatest, and the numbers up to each bound.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    count: u64,
    sum_ms: u64,
    max_ms: u64,
    up_to: [u64; TIME_BOUNDS_MS.len()],
}

impl Times {
    fn record(&mut self, time: Millis) {
        self.count += 1;
        self.sum_ms = self.sum_ms.saturating_add(time.0);
        self.max_ms = self.max_ms.max(time.0);
        for (bound, count) in TIME_BOUNDS_MS.iter().zip(&mut self.up_to) {
            *count += u64::from(time.0 <= *bound);
        }
    }
}

/// Counts since the start of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadCounters {
    /// Idle capacity, in thousandths of a core times milliseconds.
    idle_reserved: u64,
    idle_claimed: u64,
    read_at: Option<Millis>,
    stopped: BTreeMap<StopCause, u64>,
    first_placements: BTreeMap<u32, Times>,
}

impl LoadCounters {
    /// Includes processor time in thousandths of a core that is idle since the last reading because it
    /// is reserved for steps, or claimed for gangs.
    pub(crate) fn record_idle(&mut self, reserved: u64, claimed: u64, now: Millis) {
        let read_at = self.read_at.replace(now).unwrap_or(now);
        let passed = now.since(read_at).min(MAX_IDLE_TIME).0;
        self.idle_reserved = self.idle_reserved.saturating_add(reserved * passed);
        self.idle_claimed = self.idle_claimed.saturating_add(claimed * passed);
    }

    pub(crate) fn record_stop(&mut self, cause: StopCause) {
        *self.stopped.entry(cause).or_default() += 1;
    }

    /// Includes the time from the acceptance of a job to the first placement of a step that waits for
    /// no other.
    pub(crate) fn record_first_placement(&mut self, priority: u32, waited: Millis) {
        let is_known = self.first_placements.contains_key(&priority);
        let priority = if is_known || self.first_placements.len() < MAX_PRIORITIES {
            priority
        } else {
            u32::MAX
        };
        self.first_placements
            .entry(priority)
            .or_default()
            .record(waited);
    }
}

impl fmt::Display for LoadCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (reserved, claimed) = (self.idle_reserved / 1_000, self.idle_claimed / 1_000);
        write!(f, "idle {reserved} core-ms reserved, {claimed} claimed")?;
        for (index, (cause, count)) in self.stopped.iter().enumerate() {
            f.write_str(if index == 0 { "; stopped: " } else { ", " })?;
            write!(f, "{count} {cause}")?;
        }
        for (priority, times) in &self.first_placements {
            let Times {
                count,
                sum_ms,
                max_ms,
                up_to,
            } = times;
            write!(
                f,
                "; first placed of priority {priority}: {count} in {sum_ms} ms, at most {max_ms} ms"
            )?;
            for (bound, count) in TIME_BOUNDS_MS.iter().zip(up_to) {
                write!(f, ", {count} up to {bound} ms")?;
            }
        }
        Ok(())
    }
}
