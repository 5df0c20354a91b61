use std::{cmp::Reverse, collections::BTreeMap};

use tarragon_names::{RackName, Resources, WorkerName};

use crate::{
    speed_rank::{SpeedClass, SpeedRank},
    worker_speed::SpeedFactor,
};

/// What the latest runs on a worker let expect of further ones; better expectations come first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Trust {
    /// Nothing speaks against the worker.
    Usual,
    /// A task that runs again may fail or be late there once more.
    Unsure,
    /// More runs have failed than the rate of all workers explains.
    Failing,
}

/// A worker that may run tasks of a step.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) worker: WorkerName,
    pub(crate) free: Resources,
    pub(crate) rack: Option<RackName>,
    /// Largest number of tasks of the step that the worker may run.
    pub(crate) limit: u32,
    /// Whether best-effort tasks get less than their full rate there.
    pub(crate) is_throttled: bool,
    /// What the latest runs there let expect of further ones.
    pub(crate) trust: Trust,
    /// Duration of tasks there.
    pub(crate) speed: SpeedFactor,
    pub(crate) speed_class: SpeedClass,
    /// Position in the order that the speeds of the workers give for the step.
    pub(crate) speed_rank: SpeedRank,
    /// Whether the worker is preferred, for example because it is near the data.
    pub(crate) is_preferred: bool,
}

impl Candidate {
    /// Number of tasks that fit.
    pub(crate) fn fits(&self, need: &Resources) -> u32 {
        let fits_by = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        let fits = fits_by(self.free.cpu_milli, need.cpu_milli)
            .min(fits_by(self.free.memory_mb, need.memory_mb))
            .min(fits_by(self.free.accelerators, need.accelerators));
        u32::try_from(fits).unwrap_or(u32::MAX).min(self.limit)
    }
}

/// Chooses workers for up to `count` tasks; fewer tasks are assigned if the capacity runs out.
///
/// Preferred workers come first and failing ones last, then those whose speed suits the step best;
/// within these groups the fullest come first, which keeps whole workers free for large tasks.
pub(crate) fn pack(
    mut candidates: Vec<Candidate>,
    need: &Resources,
    count: u32,
) -> Vec<(WorkerName, u32)> {
    candidates.retain(|candidate| candidate.fits(need) > 0);
    candidates.sort_by_key(|c| {
        let free = (c.free.cpu_milli, c.free.memory_mb);
        (!c.is_preferred, c.is_throttled, c.trust, c.speed_rank, free)
    });
    let mut chosen = Vec::new();
    let mut left = count;
    for candidate in candidates {
        if left == 0 {
            break;
        }
        let taken = candidate.fits(need).min(left);
        left -= taken;
        chosen.push((candidate.worker, taken));
    }
    chosen
}

/// Like `pack`, for tasks that must all run at once: assigns all of them or none.
///
/// With `same_rack`, a single rack is used if one holds all tasks. Tasks that run together are as
/// slow as the slowest, so workers of the same speed are used if they hold all tasks.
pub(crate) fn pack_all(
    candidates: Vec<Candidate>,
    need: &Resources,
    count: u32,
    same_rack: bool,
) -> Option<Vec<(WorkerName, u32)>> {
    let is_complete = |chosen: &Vec<(WorkerName, u32)>| {
        chosen.iter().map(|(_, taken)| taken).sum::<u32>() == count
    };
    if same_rack {
        let mut racks: BTreeMap<_, Vec<Candidate>> = BTreeMap::new();
        for candidate in &candidates {
            racks
                .entry(candidate.rack.clone())
                .or_default()
                .push(candidate.clone());
        }
        let on_rack = racks.into_values().map(|rack| pack(rack, need, count));
        if let Some(chosen) = on_rack.filter(is_complete).min_by_key(Vec::len) {
            return Some(chosen);
        }
    }
    let of_one_speed = by_speed(&candidates).into_iter();
    let mut of_one_speed = of_one_speed.map(|alike| pack(alike, need, count));
    if let Some(chosen) = of_one_speed.find(is_complete) {
        return Some(chosen);
    }
    Some(pack(candidates, need, count)).filter(is_complete)
}

/// Candidates of the same speed, those whose speed suits the step best first. Preferred workers of
/// any speed go before that; none are returned beside them.
fn by_speed(candidates: &[Candidate]) -> Vec<Vec<Candidate>> {
    if candidates.iter().any(|candidate| candidate.is_preferred) {
        return Vec::new();
    }
    let mut groups: BTreeMap<_, Vec<Candidate>> = BTreeMap::new();
    for candidate in candidates {
        // Of speeds that suit the step equally, the slowest comes first.
        let class = Reverse(candidate.speed_class);
        let group = (candidate.trust, candidate.speed_rank, class);
        groups.entry(group).or_default().push(candidate.clone());
    }
    groups.into_values().collect()
}
