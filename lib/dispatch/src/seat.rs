use std::collections::BTreeMap;

use tarragon_names::{Millis, Resources};
use tarragon_workflow::{StepKey, TaskKey, WorkerIncarnation, WorkerRecord};

use crate::{DispatchConfig, dispatcher_pace::FULL_PACE, pace::Pace, run_view::RunView};

/// Slowest rate of a worker's clock against the own one, in percent.
const SLOWEST_CLOCK_PERCENT: u64 = 98;

/// Margin added to the computed end of a lease.
const LEASE_MARGIN: Millis = Millis(200);

/// Time for which a worker is left alone that has seen a higher term or whose life has ended.
const ALONE: Millis = Millis(5_000);

/// A worker as the leader knows it.
#[derive(Clone, Debug)]
pub(crate) struct Seat {
    pub(crate) record: WorkerRecord,
    /// Last sign of life, by heartbeat or answer.
    pub(crate) heard: Millis,
    /// It said that it leaves.
    pub(crate) leaves_at: Option<Millis>,
    /// It has answered a look of this term, so it refuses earlier leaders.
    pub(crate) is_synced: bool,
    /// Its clock, and when it was received.
    clock: Option<(u64, Millis)>,
    /// Latest end of a lease that was sent, on its clock.
    lease_until_ms: u64,
    /// Time at which the leader began to lead.
    led_since: Millis,
    /// When the open look was sent.
    pub(crate) hold_sent: Option<Millis>,
    /// No look before this time.
    pub(crate) hold_at: Millis,
    pub(crate) hold_failures: u32,
    /// Highest number of an end that was proposed; the next look waits for its commit.
    pub(crate) proposed_end: u64,
    /// Changed through `insert_run`, `remove_run` and `set_ended` where room is concerned.
    pub(crate) runs: BTreeMap<TaskKey, RunView>,
    /// What the runs that have not ended take.
    used: Resources,
    /// Rooms kept for steps that wait for a fresh ticket.
    pub(crate) reserved: BTreeMap<StepKey, Resources>,
    /// Its lease has ended and everything on it was declared lost.
    pub(crate) is_lapsed: bool,
    /// How long runs take there.
    pub(crate) pace: Pace,
    /// When a run was last done there.
    pub(crate) done_at: Millis,
    /// Pace of the filling runs there, in percent.
    pub(crate) filler_pace: u64,
    /// Since when all serving runs there are well below their targets.
    pub(crate) calm_since: Option<Millis>,
    /// Tasks fail or stand still there more than elsewhere.
    pub(crate) avoid_until: Millis,
}

impl Seat {
    pub(crate) fn new(record: WorkerRecord, now: Millis, led_since: Millis) -> Self {
        let proposed_end = record.acknowledged;
        Self {
            record,
            heard: now,
            leaves_at: None,
            is_synced: false,
            clock: None,
            lease_until_ms: 0,
            led_since,
            hold_sent: None,
            hold_at: now,
            hold_failures: 0,
            proposed_end,
            runs: BTreeMap::new(),
            used: Resources::ZERO,
            reserved: BTreeMap::new(),
            is_lapsed: false,
            pace: Pace::default(),
            done_at: Millis(0),
            filler_pace: FULL_PACE,
            calm_since: None,
            avoid_until: Millis(0),
        }
    }

    pub(crate) fn life(&self) -> &WorkerIncarnation {
        &self.record.incarnation
    }

    /// Takes a reading of the worker's clock.
    pub(crate) fn read_clock(&mut self, clock_ms: u64, now: Millis, cfg: &DispatchConfig) {
        if self.clock.is_none() {
            // An earlier leader may have given a lease up to this time.
            self.lease_until_ms = self.lease_until_ms.max(clock_ms + cfg.longest_lease.0);
        }
        self.clock = Some((clock_ms, now));
    }

    /// End of a lease that begins now, on the worker's clock.
    pub(crate) fn grant(&mut self, now: Millis, lease: Millis) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        let until = clock_ms + now.since(at).0 + lease.0;
        self.lease_until_ms = self.lease_until_ms.max(until);
        Some(until)
    }

    /// Tells whether every lease that the worker may have had has certainly ended.
    pub(crate) fn is_lease_over(&self, now: Millis, cfg: &DispatchConfig) -> bool {
        let Some((clock_ms, at)) = self.clock else {
            let longest = cfg.longest_lease.0 * 100 / SLOWEST_CLOCK_PERCENT + LEASE_MARGIN.0;
            return now.since(self.led_since).0 > longest;
        };
        let least = clock_ms + now.since(at).0 * SLOWEST_CLOCK_PERCENT / 100;
        least > self.lease_until_ms + LEASE_MARGIN.0
    }

    pub(crate) fn insert_run(&mut self, task: TaskKey, view: RunView) {
        self.remove_run(&task);
        if !view.is_ended {
            self.used += view.terms.need;
        }
        self.runs.insert(task, view);
    }

    pub(crate) fn remove_run(&mut self, task: &TaskKey) {
        self.set_ended(task, true);
        self.runs.remove(task);
    }

    /// Runs whose order was sent and that the worker has not listed.
    pub(crate) fn uncertain_runs(&self) -> Vec<(TaskKey, RunView)> {
        let runs = self.runs.iter();
        let uncertain =
            runs.filter(|(_, view)| !view.is_ended && !view.is_listed && view.tries > 0);
        uncertain
            .map(|(task, view)| (*task, view.clone()))
            .collect()
    }

    /// Marks a run as ended, which frees its room, or takes that back.
    pub(crate) fn set_ended(&mut self, task: &TaskKey, is_ended: bool) {
        let Some(view) = self.runs.get_mut(task) else {
            return;
        };
        if view.is_ended != is_ended {
            view.is_ended = is_ended;
            if is_ended {
                self.used = self.used.saturating_sub(&view.terms.need);
            } else {
                self.used += view.terms.need;
            }
        }
    }

    /// Room for a step, apart from what is kept for others.
    pub(crate) fn free_for(&self, step: &StepKey) -> Resources {
        let reserved = self.reserved.iter().filter(|(key, _)| *key != step);
        let reserved = reserved.map(|(_, room)| *room).sum::<Resources>();
        self.record
            .capacity
            .saturating_sub(&self.used)
            .saturating_sub(&reserved)
    }

    /// Tells whether new work may be placed there.
    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        self.is_synced
            && !self.is_lapsed
            && !self.record.is_draining
            && self.leaves_at.is_none()
            && self.hold_failures == 0
            && now >= self.avoid_until
    }

    /// Sends nothing for a while: another host leads, or the life has ended, and the log will
    /// tell soon.
    pub(crate) fn leave_alone(&mut self, now: Millis) {
        self.is_synced = false;
        self.hold_at = now + ALONE;
    }

    /// Tasks of a step that run there.
    pub(crate) fn count_of(&self, step: &StepKey) -> u32 {
        let first = TaskKey {
            step: *step,
            index: 0,
        };
        let tasks = self.runs.range(first..);
        tasks
            .take_while(|(task, _)| task.step == *step)
            .filter(|(_, run)| !run.is_ended)
            .count() as u32
    }
}
