use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
};

use tarragon_names::{DomainName, HostName, Millis, WorkerName};

use crate::DeliveryLimits;

#[derive(Clone, Debug)]
struct DeliveryHost {
    domain: DomainName,
    /// Whether the host holds a replica, and therefore has other work.
    is_large: bool,
    last_seen_at: Millis,
    /// The host delivers nothing before this time.
    not_before: Millis,
}

/// Hosts that call the workers on behalf of the leader.
///
/// Each worker has one delivering host, in its own failure domain if one is there. Hosts and workers
/// are matched by rendezvous hashing, so that few workers change their host when a host comes or
/// goes. The choice needs no agreement: orders carry the leader's fence, the number of the run and
/// the absolute end of the lease, so an order that a former delivering host sends late has no more
/// effect than one that was late in the network.
#[derive(Clone, Debug)]
pub struct DeliveryRoutes {
    limits: DeliveryLimits,
    hosts: BTreeMap<HostName, DeliveryHost>,
    /// Delivering host of each worker; the leader itself calls the workers that are not listed.
    host_of: HashMap<WorkerName, HostName>,
    /// Whether the hosts changed since the last assignment.
    is_changed: bool,
}

impl DeliveryRoutes {
    /// Creates routes without a host: the leader calls all workers.
    pub fn new(limits: DeliveryLimits) -> Self {
        Self {
            limits,
            hosts: BTreeMap::new(),
            host_of: HashMap::new(),
            is_changed: false,
        }
    }

    /// Adds a host that announced itself, or updates the time at which it was last seen.
    pub fn host_seen(&mut self, name: &HostName, domain: &DomainName, is_large: bool, now: Millis) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.last_seen_at = now;
            return;
        }
        let host = DeliveryHost {
            domain: domain.clone(),
            is_large,
            last_seen_at: now,
            not_before: now,
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

    /// Removes all hosts, because this host no longer leads.
    pub fn clear(&mut self) {
        self.hosts.clear();
        self.host_of.clear();
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
        self.host_of.clear();
        if workers.len() <= self.limits.direct_workers {
            return;
        }
        let mut by_domain = BTreeMap::<&DomainName, Vec<&WorkerName>>::new();
        for (worker, domain) in workers {
            by_domain.entry(domain).or_default().push(worker);
        }
        for (domain, workers) in by_domain {
            let wanted = workers.len().div_ceil(self.limits.workers_per_host);
            let hosts = self.hosts_for(domain, wanted, now);
            for worker in workers {
                let best = hosts.iter().max_by_key(|host| score(host, worker));
                if let Some(host) = best {
                    self.host_of.insert(worker.clone(), host.clone());
                }
            }
        }
        // Hosts that are paused become usable again at the next assignment after their pause.
        self.is_changed = self.hosts.values().any(|host| host.not_before > now);
    }

    /// Returns the host that delivers to a worker; `None` if the leader calls the worker itself.
    pub fn host_of(&self, worker: &WorkerName) -> Option<&HostName> {
        self.host_of.get(worker)
    }

    /// Number of workers that other hosts deliver to.
    pub fn delivered_workers(&self) -> usize {
        self.host_of.len()
    }

    /// Chooses up to `wanted` hosts for a failure domain: its own small hosts, or its large ones, or
    /// small ones of other failure domains.
    fn hosts_for(&self, domain: &DomainName, wanted: usize, now: Millis) -> Vec<HostName> {
        let usable = self.hosts.iter().filter(|(_, host)| host.not_before <= now);
        let groups = usable.fold(
            BTreeMap::<(bool, bool), Vec<&HostName>>::new(),
            |mut groups, (name, host)| {
                let group = (host.domain != *domain, host.is_large);
                groups.entry(group).or_default().push(name);
                groups
            },
        );
        let Some(mut hosts) = groups.into_values().next() else {
            return Vec::new();
        };
        hosts.sort_by_key(|host| std::cmp::Reverse(score(host, domain)));
        hosts.into_iter().take(wanted).cloned().collect()
    }
}

/// Weight of a host for a worker or a failure domain; the host with the highest weight is chosen.
fn score<T>(host: &HostName, of: &T) -> u64
where
    T: Hash,
{
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    of.hash(&mut hasher);
    hasher.finish()
}
