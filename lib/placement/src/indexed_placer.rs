use std::sync::atomic::{AtomicUsize, Ordering};

use crate::{
    PlaceRequest, Placement, Placer, PolicyWeights,
    candidate::Candidate,
    ledger::{Ledger, SHARD_COUNT, forward_to_ledger},
    place_with_all_locks::place_with_all_locks,
    rack_shard::RackShard,
    resource_weights::ResourceWeights,
    search::{MAX_DOMAINS, Search},
};

/// Maximum number of candidates compared in each shard if waiting time has no weight.
const MAX_CANDIDATES: usize = 32;

/// Number of failed reservations after which a decision ends. A reservation fails if another
/// decision has used the capacity since the search.
const MAX_FAILED_RESERVATIONS: usize = 8;

/// Penalty per point of weight for a worker in a less suitable failure domain.
const DOMAIN_PENALTY: u32 = 1_000;

/// Placer that finds workers through an index over free capacity.
///
/// Each shard is searched under its own lock, which is released before the reservation, so the
/// reservation checks the worker again. Only an all-or-nothing request locks all shards.
#[derive(Debug)]
pub struct IndexedPlacer {
    ledger: Ledger,
    weights: PolicyWeights,
    /// Shard at which the next decision starts to search. It rotates, so that decisions that visit
    /// few shards use all of them evenly.
    next_start_shard: AtomicUsize,
}

impl IndexedPlacer {
    /// A placer without workers that scores workers by `weights`.
    pub fn new(weights: PolicyWeights) -> Self {
        Self {
            ledger: Ledger::new(true),
            weights,
            next_start_shard: AtomicUsize::new(0),
        }
    }

    /// Searches the failure domains with the lowest penalty first, and the others only if one of
    /// their workers can have a better score.
    fn choose<F>(
        &self,
        req: &PlaceRequest,
        counts: &DomainCounts,
        mut search_shards: F,
    ) -> Option<(usize, Candidate)>
    where
        F: FnMut(&Search<'_>) -> Option<(usize, Candidate)>,
    {
        let penalties = self.penalties(req, counts);
        let domain_penalties = &penalties[..counts.domain_count];
        let lowest = domain_penalties.iter().copied().min().unwrap_or(0);
        let second = domain_penalties
            .iter()
            .copied()
            .filter(|p| *p > lowest)
            .min();
        let best_domains = domain_penalties
            .iter()
            .enumerate()
            .filter(|(_, penalty)| **penalty == lowest)
            .fold(0, |mask, (domain, _)| mask | 1 << domain);
        let mut search = Search {
            req,
            weights: self.weights,
            resource_weights: ResourceWeights::of(&self.ledger.totals()),
            domains: best_domains,
            penalties,
            max_candidates: self.scale_by_wait(MAX_CANDIDATES),
        };
        let found = search_shards(&search);
        let Some(second) = second else { return found };
        if found.is_some_and(|(_, found)| found.score <= u64::from(second)) {
            return found;
        }
        search.domains = !best_domains;
        let other = search_shards(&search);
        match (found, other) {
            (Some((_, found_best)), Some((_, other))) if other.score < found_best.score => {}
            (Some(_), _) => return found,
            (None, _) => {}
        }
        other
    }

    /// Best candidate of the shards from `start` on. The number of shards with a candidate that
    /// are compared is limited by the weight of waiting time.
    fn best_of<F>(&self, start: usize, mut search_shard: F) -> Option<(usize, Candidate)>
    where
        F: FnMut(usize) -> Option<Candidate>,
    {
        let mut shards_left = self.scale_by_wait(SHARD_COUNT);
        let mut best = None::<(usize, Candidate)>;
        for step in 0..SHARD_COUNT {
            let shard = (start + step) % SHARD_COUNT;
            let Some(found) = search_shard(shard) else {
                continue;
            };
            if best.is_none_or(|(_, best)| found.score < best.score) {
                best = Some((shard, found));
            }
            shards_left -= 1;
            if shards_left == 0 {
                break;
            }
        }
        best
    }

    /// `maximum` scaled down by the weight of waiting time, but at least 1.
    fn scale_by_wait(&self, maximum: usize) -> usize {
        let percent = 100_usize.saturating_sub(self.weights.wait as usize);
        1 + (maximum - 1) * percent / 100
    }

    fn penalties(&self, req: &PlaceRequest, counts: &DomainCounts) -> [u32; MAX_DOMAINS] {
        let mut penalties = [0; MAX_DOMAINS];
        let fewest = counts.tasks[..counts.domain_count].iter().min().copied();
        for (domain, penalty) in penalties.iter_mut().enumerate() {
            if req.spread {
                let more = counts.tasks[domain].saturating_sub(fewest.unwrap_or(0));
                *penalty += more.saturating_mul(self.weights.spread * DOMAIN_PENALTY);
            }
            if counts
                .preferred_domain
                .is_some_and(|preferred| preferred != domain)
            {
                *penalty = penalty.saturating_add(self.weights.locality * DOMAIN_PENALTY);
            }
        }
        penalties
    }

    fn place_one_by_one(&self, req: &PlaceRequest, counts: &mut DomainCounts) -> Placement {
        let mut placement = Placement::default();
        let mut failures_left = MAX_FAILED_RESERVATIONS;
        let start = self.next_start_shard.fetch_add(1, Ordering::Relaxed);
        while placement.len() < req.tasks as usize {
            let found = self.choose(req, counts, |search| {
                self.best_of(start, |shard| {
                    self.ledger
                        .racks
                        .with_shard(shard, |racks| racks.best(search))
                })
            });
            let Some((shard, found)) = found else { break };
            let max_tasks = req
                .tasks_per_search()
                .min(req.tasks as usize - placement.len());
            let reserved = self.ledger.racks.with_shard(shard, |racks| {
                self.reserve_found(
                    racks,
                    found.position,
                    req,
                    max_tasks,
                    counts,
                    &mut placement,
                )
            });
            if reserved == 0 {
                failures_left -= 1;
                if failures_left == 0 {
                    break;
                }
            }
        }
        placement
    }

    /// Reserves capacity for up to `max_tasks` tasks on the worker at `position`, which may have
    /// changed since the search, and returns the number of tasks.
    fn reserve_found(
        &self,
        racks: &mut RackShard,
        position: usize,
        req: &PlaceRequest,
        max_tasks: usize,
        counts: &mut DomainCounts,
        placement: &mut Placement,
    ) -> usize {
        for reserved in 0..max_tasks {
            let Some(found) = racks.workers.get(position) else {
                return reserved;
            };
            if !req.accepts(&found.info) {
                return reserved;
            }
            placement.workers.push(found.info.name.clone());
            counts.tasks[usize::from(found.domain)] += 1;
            racks.reserve(position, &req.resources);
            self.ledger.reserved.add(&req.resources);
        }
        max_tasks
    }

    fn counts(&self, req: &PlaceRequest) -> DomainCounts {
        let number = |domain| usize::from(self.ledger.domain_number(domain));
        let mut counts = DomainCounts {
            tasks: [0; MAX_DOMAINS],
            preferred_domain: req.prefer_domain.as_ref().map(number),
            domain_count: 0,
        };
        if req.spread {
            for domain in &req.running_in {
                counts.tasks[number(domain)] += 1;
            }
        }
        counts.domain_count = self.ledger.domain_count();
        counts
    }
}

impl Placer for IndexedPlacer {
    forward_to_ledger!();

    fn place(&self, req: &PlaceRequest) -> Placement {
        let mut counts = self.counts(req);
        if !req.is_all_or_nothing() {
            return self.place_one_by_one(req, &mut counts);
        }
        place_with_all_locks(&self.ledger, req, |shards| {
            let found = self.choose(req, &counts, |search| {
                self.best_of(0, |shard| shards[shard].best(search))
            });
            found.map(|(shard, found)| {
                let domain = shards[shard].workers[found.position].domain;
                counts.tasks[usize::from(domain)] += 1;
                (shard, found.position)
            })
        })
    }
}

/// Number of tasks of the job in each failure domain, by number of the domain.
#[derive(Debug)]
struct DomainCounts {
    tasks: [u32; MAX_DOMAINS],
    preferred_domain: Option<usize>,
    domain_count: usize,
}
