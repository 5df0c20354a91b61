use parking_lot::MutexGuard;

use crate::{PlaceRequest, Placement, ledger::Ledger, rack_shard::RackShard};

/// Places the tasks of `req` while all shards are locked, each on the slot that `find` chooses.
///
/// The locks are taken in ascending order and kept to the end, so no other decision sees or holds
/// a part of an all-or-nothing request.
pub(crate) fn place_together<F>(ledger: &Ledger, req: &PlaceRequest, mut find: F) -> Placement
where
    F: FnMut(&mut [MutexGuard<'_, RackShard>]) -> Option<(usize, usize)>,
{
    ledger.racks.with_all(|shards| {
        let mut taken = Vec::new();
        while taken.len() < req.tasks as usize
            && let Some((shard, slot)) = find(shards)
        {
            for _ in 0..req.tasks_a_pick().min(req.tasks as usize - taken.len()) {
                if !req.accepts(&shards[shard].slots[slot].info) {
                    break;
                }
                shards[shard].take(slot, &req.resources);
                taken.push((shard, slot));
            }
        }
        if req.is_whole() && taken.len() < req.tasks as usize {
            for (shard, slot) in taken.drain(..) {
                shards[shard].give_back(slot, &req.resources);
            }
        }
        ledger
            .reserved
            .add(&req.resources.times(taken.len() as u64));
        Placement {
            workers: taken
                .into_iter()
                .map(|(shard, slot)| shards[shard].slots[slot].info.name.clone())
                .collect(),
        }
    })
}
