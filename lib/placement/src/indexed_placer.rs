use std::sync::atomic::{AtomicUsize, Ordering};

use crate::{
    PlaceRequest, Placement, Placer, PolicyWeights,
    candidate::Candidate,
    ledger::{Ledger, SHARDS, forward_to_ledger},
    rack_shard::RackShard,
    scarcity::Scarcity,
    search::{DOMAINS, Search},
    together::place_together,
};

/// Candidates compared in each shard when waiting time has no weight.
const MOST_CANDIDATES: usize = 32;

/// Times that a decision looks again after another one took the room it had found.
const RETRIES: usize = 8;

/// Score of a worker in a less suitable failure domain for each point of weight.
const DOMAIN_STEP: u32 = 1_000;

/// Placer that finds a worker through an index over free capacity.
///
/// Each shard is searched under its own lock; what was found is checked again when it is reserved.
/// Only an all-or-nothing request locks all shards.
#[derive(Debug)]
pub struct IndexedPlacer {
    ledger: Ledger,
    weights: PolicyWeights,
    /// Shard at which the next search begins, so that short searches use all shards alike.
    turn: AtomicUsize,
}

impl IndexedPlacer {
    /// A placer without workers that decides by `weights`.
    pub fn new(weights: PolicyWeights) -> Self {
        Self {
            ledger: Ledger::new(true),
            weights,
            turn: AtomicUsize::new(0),
        }
    }

    /// Searches the better failure domains first and the others only if they can win.
    fn choose<F>(
        &self,
        req: &PlaceRequest,
        counts: &Counts,
        mut best: F,
    ) -> Option<(usize, Candidate)>
    where
        F: FnMut(&Search<'_>) -> Option<(usize, Candidate)>,
    {
        let penalties = self.penalties(req, counts);
        let known = &penalties[..counts.known];
        let least = known.iter().copied().min().unwrap_or(0);
        let second = known.iter().copied().filter(|p| *p > least).min();
        let near = known
            .iter()
            .enumerate()
            .filter(|(_, penalty)| **penalty == least)
            .fold(0, |mask, (domain, _)| mask | 1 << domain);
        let mut search = Search {
            req,
            weights: self.weights,
            scarcity: Scarcity::of(&self.ledger.totals()),
            domains: near,
            penalties,
            budget: self.share_of(MOST_CANDIDATES),
        };
        let found = best(&search);
        let Some(second) = second else { return found };
        if found.is_some_and(|(_, found)| found.score <= u64::from(second)) {
            return found;
        }
        search.domains = !near;
        let far = best(&search);
        match (found, far) {
            (Some((_, near)), Some((_, far))) if far.score < near.score => {}
            (Some(_), _) => return found,
            (None, _) => {}
        }
        far
    }

    /// Visits shards from `start` until enough of them had a candidate.
    fn best_of<F>(&self, start: usize, mut best_in: F) -> Option<(usize, Candidate)>
    where
        F: FnMut(usize) -> Option<Candidate>,
    {
        let mut left = self.share_of(SHARDS);
        let mut best = None::<(usize, Candidate)>;
        for step in 0..SHARDS {
            let shard = (start + step) % SHARDS;
            let Some(found) = best_in(shard) else {
                continue;
            };
            if best.is_none_or(|(_, best)| found.score < best.score) {
                best = Some((shard, found));
            }
            left -= 1;
            if left == 0 {
                break;
            }
        }
        best
    }

    /// Part of `most` that the weight of waiting time leaves, at least 1.
    fn share_of(&self, most: usize) -> usize {
        let rest = 100_usize.saturating_sub(self.weights.wait as usize);
        1 + (most - 1) * rest / 100
    }

    fn penalties(&self, req: &PlaceRequest, counts: &Counts) -> [u32; DOMAINS] {
        let mut penalties = [0; DOMAINS];
        let fewest = counts.tasks[..counts.known].iter().min().copied();
        for (domain, penalty) in penalties.iter_mut().enumerate() {
            if req.spread {
                let more = counts.tasks[domain].saturating_sub(fewest.unwrap_or(0));
                *penalty += more.saturating_mul(self.weights.spread * DOMAIN_STEP);
            }
            if counts
                .preferred
                .is_some_and(|preferred| preferred != domain)
            {
                *penalty = penalty.saturating_add(self.weights.locality * DOMAIN_STEP);
            }
        }
        penalties
    }

    fn place_one_by_one(&self, req: &PlaceRequest, counts: &mut Counts) -> Placement {
        let mut placement = Placement::default();
        let mut retries = RETRIES;
        let start = self.turn.fetch_add(1, Ordering::Relaxed);
        while placement.len() < req.tasks as usize {
            let found = self.choose(req, counts, |search| {
                self.best_of(start, |shard| {
                    self.ledger
                        .racks
                        .with_shard(shard, |racks| racks.best(search))
                })
            });
            let Some((shard, found)) = found else { break };
            let most = req.tasks_a_pick().min(req.tasks as usize - placement.len());
            let taken = self.ledger.racks.with_shard(shard, |racks| {
                self.take(racks, found.slot, req, most, counts, &mut placement)
            });
            if taken == 0 {
                retries -= 1;
                if retries == 0 {
                    break;
                }
            }
        }
        placement
    }

    /// Reserves up to `most` tasks on a slot that may have changed since it was found.
    fn take(
        &self,
        racks: &mut RackShard,
        slot: usize,
        req: &PlaceRequest,
        most: usize,
        counts: &mut Counts,
        placement: &mut Placement,
    ) -> usize {
        for taken in 0..most {
            let Some(found) = racks.slots.get(slot) else {
                return taken;
            };
            if !req.accepts(&found.info) {
                return taken;
            }
            placement.workers.push(found.info.name.clone());
            counts.tasks[usize::from(found.domain)] += 1;
            racks.take(slot, &req.resources);
            self.ledger.reserved.add(&req.resources);
        }
        most
    }

    fn counts(&self, req: &PlaceRequest) -> Counts {
        let number = |domain| usize::from(self.ledger.domain_number(domain));
        let mut counts = Counts {
            tasks: [0; DOMAINS],
            preferred: req.prefer_domain.as_ref().map(number),
            known: 0,
        };
        if req.spread {
            for domain in &req.running_in {
                counts.tasks[number(domain)] += 1;
            }
        }
        counts.known = self.ledger.domain_count();
        counts
    }
}

impl Placer for IndexedPlacer {
    forward_to_ledger!();

    fn place(&self, req: &PlaceRequest) -> Placement {
        let mut counts = self.counts(req);
        if !req.is_whole() {
            return self.place_one_by_one(req, &mut counts);
        }
        place_together(&self.ledger, req, |shards| {
            let found = self.choose(req, &counts, |search| {
                self.best_of(0, |shard| shards[shard].best(search))
            });
            found.map(|(shard, found)| {
                let domain = shards[shard].slots[found.slot].domain;
                counts.tasks[usize::from(domain)] += 1;
                (shard, found.slot)
            })
        })
    }
}

/// Tasks of the job in each failure domain, by number of the domain.
#[derive(Debug)]
struct Counts {
    tasks: [u32; DOMAINS],
    preferred: Option<usize>,
    known: usize,
}
