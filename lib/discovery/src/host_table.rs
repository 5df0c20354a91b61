use std::collections::BTreeSet;

use tarragon_names::HostName;

/// Number of hosts that are called in one round while no leader is known.
const HOSTS_PER_ROUND: usize = 4;

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
    /// Hosts that announced themselves to this host.
    announced: BTreeSet<HostName>,
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
    pub fn add_announced(&mut self, host: &HostName) {
        if self.announced.len() < MAX_ANNOUNCED_HOSTS {
            self.announced.insert(host.clone());
        }
    }

    /// Returns the hosts to which `own` announces itself in a round.
    ///
    /// The seeds are told in some rounds even if the leader is known, because restarted hosts ask
    /// them.
    pub fn targets(
        &self,
        own: &HostName,
        seeds: &[HostName],
        leader: Option<&HostName>,
        round: usize,
    ) -> Vec<HostName> {
        let Some(leader) = leader else {
            return self.candidates(own, seeds, round);
        };
        let mut targets = Vec::new();
        if round.is_multiple_of(ROUNDS_PER_SEED_CALL) {
            let others = seeds.iter().filter(|seed| *seed != leader && *seed != own);
            targets.extend(others.cloned());
        }
        targets.push(leader.clone());
        targets
    }

    /// Returns hosts that may know the leader; successive rounds return different ones.
    fn candidates(&self, own: &HostName, seeds: &[HostName], round: usize) -> Vec<HostName> {
        let all = self.members.iter().chain(&self.announced).chain(seeds);
        let all = all.filter(|host| *host != own).collect::<BTreeSet<_>>();
        let all = all.into_iter().collect::<Vec<_>>();
        let count = all.len();
        (0..count.min(HOSTS_PER_ROUND))
            .map(|i| all[(round * HOSTS_PER_ROUND + i) % count].clone())
            .collect()
    }
}
