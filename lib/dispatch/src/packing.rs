use std::collections::BTreeMap;

use tarragon_names::{RackName, Resources, WorkerName};

/// A worker that may run tasks of a step.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) worker: WorkerName,
    pub(crate) free: Resources,
    pub(crate) rack: Option<RackName>,
    /// Largest number of tasks of the step that the worker may run.
    pub(crate) limit: u32,
    /// Whether tasks take longer there than on other workers.
    pub(crate) is_slow: bool,
    /// Whether the worker is preferred, for example because it is near the data.
    pub(crate) is_preferred: bool,
    /// Whether tasks there and those of the step slow each other down.
    pub(crate) has_interfering_run: bool,
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
/// Preferred workers come first, disturbed ones after others, and slow ones last; within these groups
/// the fullest come first, which keeps whole workers free for large tasks.
pub(crate) fn pack(
    mut candidates: Vec<Candidate>,
    need: &Resources,
    count: u32,
) -> Vec<(WorkerName, u32)> {
    candidates.retain(|candidate| candidate.fits(need) > 0);
    candidates.sort_by_key(|c| {
        let free = (c.free.cpu_milli, c.free.memory_mb);
        (!c.is_preferred, c.has_interfering_run, c.is_slow, free)
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
/// With `same_rack`, a single rack is used if one holds all tasks.
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
    Some(pack(candidates, need, count)).filter(is_complete)
}
