use parking_lot::MutexGuard;

use crate::{PlaceRequest, Placement, ledger::Ledger, rack_shard::RackShard};

/// Places the tasks of `req` on the workers that `find` chooses, with all shards locked.
///
/// `find` returns a shard and a position in it. The locks are taken in ascending order and kept
/// until the end, so no other decision sees a partly placed all-or-nothing request or competes with
/// it for capacity.
pub(crate) fn place_with_all_locks<F>(ledger: &Ledger, req: &PlaceRequest, mut find: F) -> Placement
where
    F: FnMut(&mut [MutexGuard<'_, RackShard>]) -> Option<(usize, usize)>,
{
    ledger.racks.with_all(|shards| {
        let mut reserved = Vec::new();
        while reserved.len() < req.tasks as usize
            && let Some((shard, position)) = find(shards)
        {
            for _ in 0..req
                .tasks_per_search()
                .min(req.tasks as usize - reserved.len())
            {
                if !req.accepts(&shards[shard].workers[position].info) {
                    break;
                }
                shards[shard].reserve(position, &req.resources);
                reserved.push((shard, position));
            }
        }
        if req.is_all_or_nothing() && reserved.len() < req.tasks as usize {
            for (shard, position) in reserved.drain(..) {
                shards[shard].unreserve(position, &req.resources);
            }
        }
        ledger
            .reserved
            .add(&req.resources.times(reserved.len() as u64));
        Placement {
            workers: reserved
                .into_iter()
                .map(|(shard, position)| shards[shard].workers[position].info.name.clone())
                .collect(),
        }
    })
}
