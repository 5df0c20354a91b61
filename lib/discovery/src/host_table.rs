use std::collections::{BTreeMap, BTreeSet};

use tarragon_names::HostName;

/// Number of hosts without a replica that are asked for the leader in one round, besides the seeds.
const HOSTS_PER_ROUND: usize = 4;

/// Number of hosts with a replica that are asked for the leader in one round; more than any
/// deployment has.
const REPLICAS_PER_ROUND: usize = 8;

/// Number of announcements to the leader per announcement to the seeds.
const ROUNDS_PER_SEED_CALL: usize = 4;

/// Maximum number of hosts that are remembered because they announced themselves; more than any
/// deployment has.
const MAX_ANNOUNCED_HOSTS: usize = 1_000;

/// Other hosts that a host knows, from which it chooses whom to ask for the leader.
#[derive(Clone, Debug, Default)]
pub struct HostTable {
    /// Hosts that hold a replica, as the leader last listed them.
    members: BTreeSet<HostName>,
    /// Hosts that announced themselves to this host, and whether they hold a replica.
    announced: BTreeMap<HostName, bool>,
}

impl HostTable {
    /// Replaces the hosts that hold a replica by those that the leader listed.
    pub fn set_members(&mut self, members: BTreeSet<HostName>) {
        self.members = members;
    }

    /// Remembers a host that announced itself to this host.
    ///
    /// A restarted seed without a replica knows no member of the group, so it can find the leader
    /// only through the hosts that call it.
    pub fn add_announced(&mut self, host: &HostName, has_replica: bool) {
        if self.announced.len() < MAX_ANNOUNCED_HOSTS || self.announced.contains_key(host) {
            self.announced.insert(host.clone(), has_replica);
        }
    }

    /// Returns whether a host holds a replica; `None` if it has not announced itself to this host.
    pub fn has_replica(&self, host: &HostName) -> Option<bool> {
        self.announced.get(host).copied()
    }

    /// Returns the hosts to which `own` announces itself in a round. `is_in_touch` tells whether the
    /// leader answered recently; otherwise another host may have become the leader.
    ///
    /// The seeds are told in some rounds even if the leader answers, because restarted hosts ask them.
    pub fn targets(
        &self,
        own: &HostName,
        seeds: &[HostName],
        leader: Option<&HostName>,
        is_in_touch: bool,
        round: usize,
    ) -> BTreeSet<HostName> {
        let mut targets = BTreeSet::new();
        if leader.is_none() || !is_in_touch {
            targets = self.candidates(own, seeds, round);
        } else if round.is_multiple_of(ROUNDS_PER_SEED_CALL) {
            targets.extend(seeds.iter().cloned());
        }
        targets.remove(own);
        targets.extend(leader.cloned());
        targets
    }

    /// Returns hosts that may know the leader.
    ///
    /// Hosts with a replica follow the leader themselves, and the seeds are asked by all, so each round
    /// has both. Of the other hosts, which may be many, successive rounds have different ones.
    fn candidates(&self, own: &HostName, seeds: &[HostName], round: usize) -> BTreeSet<HostName> {
        let with_replica = |has_replica| {
            let announced = self.announced.iter();
            announced
                .filter(move |(_, has)| **has == has_replica)
                .map(|(host, _)| host)
        };
        let replicas = self.members.iter().chain(with_replica(true));
        let replicas = replicas.filter(|host| *host != own).collect();
        let others = with_replica(false);
        let others = others.filter(|host| *host != own && !seeds.contains(host));
        let mut candidates = part_of_round(replicas, REPLICAS_PER_ROUND, round);
        candidates.extend(part_of_round(others.collect(), HOSTS_PER_ROUND, round));
        candidates.extend(seeds.iter().cloned());
        candidates
    }
}

/// Returns at most `count` of the hosts; successive rounds return different ones.
fn part_of_round(hosts: BTreeSet<&HostName>, count: usize, round: usize) -> BTreeSet<HostName> {
    let all = hosts.into_iter().collect::<Vec<_>>();
    (0..count.min(all.len()))
        .map(|i| all[(round * count + i) % all.len()].clone())
        .collect()
}
