use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

use tarragon_names::{DomainName, HostCapacity, HostName, Millis, WorkerName};

use crate::{DeliveryLimits, HostSpeed, OrderRoute, RepeatBudget, delivery_host::DeliveryHost};

/// Workers that a host may get beyond its share, in percent of the share. Without the limit, hashing
/// gives some hosts twice their share.
const SHARE_LIMIT_PERCENT: u64 = 110;

/// Bits of a hash from which a score is made: as many as the mantissa of a floating-point number holds.
const SCORE_BITS: u32 = 53;

/// Hosts that deliver to one worker.
#[derive(Clone, Debug)]
struct WorkerHosts {
    host: HostName,
    /// Host that repeats an order, if there is another one.
    repeat_host: Option<HostName>,
}

/// A host of one failure domain while its workers are divided.
#[derive(Debug)]
struct Candidate<'a> {
    name: &'a HostName,
    weight: u64,
    /// Workers that the host may still get.
    room: u64,
}

/// Hosts that call the workers on behalf of the leader.
///
/// Each worker has one delivering host, in its own failure domain if one is there. The workers of a failure
/// domain are divided among its hosts by what each can carry. The leader delivers only where no other host
/// can. Hosts and workers are matched by weighted rendezvous hashing, so that few workers change their host
/// when a host comes or goes. The choice needs no agreement: orders carry the leader's fence, the number of
/// the run and the absolute end of the lease, so an order that a former delivering host sends late has no
/// more effect than one that was late in the network.
#[derive(Clone, Debug)]
pub struct DeliveryRoutes {
    limits: DeliveryLimits,
    leader: HostName,
    hosts: BTreeMap<HostName, DeliveryHost>,
    /// Hosts of each worker; the leader itself calls the workers that are not listed.
    routes: HashMap<WorkerName, WorkerHosts>,
    /// Whether the hosts changed since the last assignment.
    is_changed: bool,
}

impl DeliveryRoutes {
    /// Creates routes without a host: the leader calls all workers.
    pub fn new(limits: DeliveryLimits, leader: HostName) -> Self {
        Self {
            limits,
            leader,
            hosts: BTreeMap::new(),
            routes: HashMap::new(),
            is_changed: false,
        }
    }

    /// Adds a host that announced itself, or updates its capacity and the time at which it was last seen.
    pub fn host_seen(
        &mut self,
        name: &HostName,
        domain: &DomainName,
        capacity: HostCapacity,
        now: Millis,
    ) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.last_seen_at = now;
            host.capacity = capacity;
            return;
        }
        let host = DeliveryHost {
            domain: domain.clone(),
            capacity,
            last_seen_at: now,
            not_before: now,
            speed: HostSpeed::default(),
            repeat_budget: RepeatBudget::default(),
        };
        self.hosts.insert(name.clone(), host);
        self.is_changed = true;
    }

    /// Removes a host that is stopping.
    pub fn host_stopped(&mut self, name: &HostName) {
        self.is_changed |= self.hosts.remove(name).is_some();
    }

    /// Gives the workers of a host to others for a while, because a delivery failed.
    ///
    /// Returns false if that was known already.
    pub fn host_failed(&mut self, name: &HostName, now: Millis) -> bool {
        let until = now + self.limits.failed_host_pause;
        let Some(host) = self.hosts.get_mut(name) else {
            return false;
        };
        let is_new = host.not_before <= now;
        host.not_before = until;
        self.is_changed |= is_new;
        is_new
    }

    /// Records that a worker answered an order `time` after the host had been given the order.
    pub fn order_answered(&mut self, name: &HostName, time: Millis) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.speed.record_answer(time);
            host.repeat_budget.record_answer();
        }
    }

    /// Judges the hosts by the answers since the last call; the next assignment follows the result.
    pub fn end_period(&mut self) {
        for host in self.hosts.values_mut() {
            host.speed.end_period();
        }
    }

    /// Removes all hosts, because this host no longer leads.
    pub fn clear(&mut self) {
        self.hosts.clear();
        self.routes.clear();
        self.is_changed = false;
    }

    /// Returns whether hosts came or went since the last assignment.
    pub fn is_changed(&self) -> bool {
        self.is_changed
    }

    /// Chooses the delivering host of each worker anew.
    pub fn assign(&mut self, workers: &[(WorkerName, DomainName)], now: Millis) {
        let silence_limit = self.limits.silence_limit;
        self.hosts
            .retain(|_, host| now.since(host.last_seen_at) < silence_limit);
        self.is_changed = false;
        self.routes.clear();
        if workers.len() <= self.limits.direct_workers {
            return;
        }
        let mut by_domain = BTreeMap::<&DomainName, Vec<&WorkerName>>::new();
        for (worker, domain) in workers {
            by_domain.entry(domain).or_default().push(worker);
        }
        for (domain, workers) in by_domain {
            let mut candidates = self.candidates(domain, now);
            limit_to_shares(&mut candidates, workers.len() as u64);
            let divided = workers.into_iter().filter_map(|worker| {
                let route = choose(&mut candidates, worker)?;
                Some((worker.clone(), route))
            });
            self.routes.extend(divided.collect::<Vec<_>>());
        }
        // Hosts that are paused become usable again at the next assignment after their pause.
        self.is_changed = self.hosts.values().any(|host| host.not_before > now);
    }

    /// Returns the host that delivers to a worker; `None` if the leader calls the worker itself.
    pub fn host_of(&self, worker: &WorkerName) -> Option<&HostName> {
        self.routes.get(worker).map(|route| &route.host)
    }

    /// Decides who sends an order to a worker.
    ///
    /// An order that got no answer is repeated through another host, as long as that one has budget left.
    pub fn route(&mut self, worker: &WorkerName, is_repeated: bool) -> OrderRoute {
        let host = if is_repeated {
            self.repeat_host_of(worker)
        } else {
            self.host_of(worker)
        };
        let Some(host) = host.cloned() else {
            return OrderRoute::Leader;
        };
        if is_repeated && !self.try_repeat(&host) {
            return OrderRoute::OverBudget;
        }
        OrderRoute::Host(host)
    }

    /// Uses one repeat of the host; false if none is left.
    fn try_repeat(&mut self, host: &HostName) -> bool {
        let host = self.hosts.get_mut(host);
        host.is_some_and(|host| host.repeat_budget.try_take())
    }

    /// Returns the host that repeats an order that the delivering host got no answer to: another one, which
    /// may be less busy and has connections of its own.
    pub fn repeat_host_of(&self, worker: &WorkerName) -> Option<&HostName> {
        let route = self.routes.get(worker)?;
        Some(route.repeat_host.as_ref().unwrap_or(&route.host))
    }

    /// Number of workers that other hosts deliver to.
    pub fn delivered_workers(&self) -> usize {
        self.routes.len()
    }

    /// Returns the hosts that can deliver to a failure domain: its own ones, or else those of other failure
    /// domains.
    fn candidates(&self, domain: &DomainName, now: Millis) -> Vec<Candidate<'_>> {
        let is_usable =
            |name: &HostName, host: &DeliveryHost| *name != self.leader && host.not_before <= now;
        let usable = self
            .hosts
            .iter()
            .filter(|(name, host)| is_usable(name, host));
        let (own, other) = usable.partition::<Vec<_>, _>(|(_, host)| host.domain == *domain);
        let hosts = if own.is_empty() { other } else { own };
        let candidates = hosts.into_iter().map(|(name, host)| Candidate {
            name,
            weight: host.weight(),
            room: 0,
        });
        candidates.collect()
    }
}

/// Gives each candidate room for its share of the workers.
fn limit_to_shares(candidates: &mut [Candidate<'_>], workers: u64) {
    let total = candidates.iter().map(|host| host.weight).sum::<u64>();
    for host in candidates {
        let share = workers * host.weight * SHARE_LIMIT_PERCENT;
        host.room = share.div_ceil(total * 100);
    }
}

/// Chooses the hosts of a worker: the one with the highest score that has room, and the best other one.
fn choose(candidates: &mut [Candidate<'_>], worker: &WorkerName) -> Option<WorkerHosts> {
    let scores = candidates.iter().map(|host| score(host, worker));
    let mut ranked = scores.enumerate().collect::<Vec<_>>();
    ranked.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    let mut ranked = ranked.into_iter().map(|(index, _)| index);
    let best = ranked.clone().find(|index| candidates[*index].room > 0)?;
    candidates[best].room -= 1;
    let other = ranked.find(|index| *index != best);
    Some(WorkerHosts {
        host: candidates[best].name.clone(),
        repeat_host: other.map(|index| candidates[index].name.clone()),
    })
}

/// Score of a host for a worker. The host with the highest one is chosen, each as often as its weight says.
fn score(host: &Candidate<'_>, worker: &WorkerName) -> f64 {
    let mut hasher = DefaultHasher::new();
    host.name.hash(&mut hasher);
    worker.hash(&mut hasher);
    // Uniform between 0 and 1, neither included.
    let bits = hasher.finish() >> (u64::BITS - SCORE_BITS);
    let uniform = (bits as f64 + 0.5) / (1_u64 << SCORE_BITS) as f64;
    host.weight as f64 / -uniform.ln()
}
