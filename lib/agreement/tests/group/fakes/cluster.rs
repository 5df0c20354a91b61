use std::collections::BTreeMap;

use bytes::Bytes;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use tarragon_agreement::{Event, Member, Members, Recovered, Role, SnapshotMeta};
use tarragon_names::{HostName, LogIndex, MemberId, Term};

use super::{Checker, Disk, Host, Network};

/// Milliseconds of one round of the clock loop.
const ROUND: u64 = 1;

/// Rounds between two ticks of a replica.
const TICK_EVERY: u64 = 50;

/// Hosts, their disks, the network between them and the true time.
#[derive(Debug)]
pub struct Cluster {
    pub now: u64,
    pub hosts: Vec<Host>,
    pub network: Network,
    pub checker: Checker,
    pub rng: ChaCha8Rng,
    token: u64,
    fresh_id: u64,
    seed: u64,
}

impl Cluster {
    /// Voters `a`, `b`, ... and after them standbys.
    pub fn new(voters: usize, standbys: usize, seed: u64) -> Self {
        let names: Vec<_> = ('a'..).take(voters + standbys).map(String::from).collect();
        let member = |(i, name): (usize, &String)| {
            let role = if i < voters {
                Role::Voter
            } else {
                Role::Learner
            };
            let host = HostName::from(name.as_str());
            (MemberId(i as u64 + 1), Member { host, role })
        };
        let members = Members {
            by_id: names.iter().enumerate().map(member).collect(),
        };
        let disk = |id| {
            let meta = SnapshotMeta {
                members: members.clone(),
                ..SnapshotMeta::default()
            };
            Disk::new(Recovered {
                id,
                snapshot: Some((meta, Bytes::new())),
                ..Recovered::default()
            })
        };
        let ids = (1..).map(MemberId);
        let hosts = names.iter().zip(ids).map(|(n, id)| Host::new(n, disk(id)));
        let mut cluster = Self {
            now: 0,
            hosts: hosts.collect(),
            network: Network::default(),
            checker: Checker::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            token: 0,
            fresh_id: 100,
            seed,
        };
        for name in names {
            cluster.start(&name);
        }
        cluster
    }

    pub fn host(&mut self, name: &str) -> &mut Host {
        let host = self.hosts.iter_mut().find(|h| h.name == name);
        host.unwrap_or_else(|| panic!("no host {name}"))
    }

    /// Name of the host that leads in the highest term.
    pub fn leader(&self) -> Option<String> {
        let leading = self.hosts.iter().filter(|h| h.replica.is_some());
        let newest = leading
            .filter(|h| h.leads.is_some())
            .max_by_key(|h| h.leads);
        newest.map(|h| h.name.clone())
    }

    pub fn start(&mut self, name: &str) {
        self.seed += 1;
        let seed = self.seed;
        self.host(name).start(seed);
    }

    pub fn kill(&mut self, name: &str, torn: usize) {
        self.host(name).crash(torn);
    }

    /// Replaces the disk by an empty one; the host starts as a new member that is no voter.
    pub fn lose_disk(&mut self, name: &str) {
        self.fresh_id += 1;
        let id = MemberId(self.fresh_id);
        let fresh = Disk::new(Recovered {
            id,
            ..Recovered::default()
        });
        let host = self.host(name);
        host.crash(0);
        (host.disk, host.id) = (fresh, id);
        self.start(name);
    }

    /// Hands an event to a host and sends what results.
    pub fn step(&mut self, name: &str, event: Event) {
        let Some(at) = self.hosts.iter().position(|h| h.name == name) else {
            return;
        };
        let packets = self.hosts[at].step(self.now, event, &mut self.checker);
        for packet in packets {
            self.network.send(self.now, &mut self.rng, &packet);
        }
    }

    pub fn next_token(&mut self) -> u64 {
        self.token += 1;
        self.token
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += ROUND;
            self.deliver();
            let names: Vec<_> = self.hosts.iter().map(|h| h.name.clone()).collect();
            for name in names {
                self.run_host(&name);
            }
        }
    }

    /// Applied records that every running host agrees on being committed.
    pub fn records(&self) -> usize {
        let applied = self.hosts.iter().map(|h| h.applied.len());
        applied.max().unwrap_or(0)
    }

    fn deliver(&mut self) {
        while let Some(packet) = self.network.pop_due(self.now) {
            let name_of = |id| {
                let host = self.hosts.iter().find(|h| h.id == id);
                host.map(|h| h.name.clone())
            };
            // A message for an identity that is gone has no receiver.
            let (Some(from), Some(to)) = (name_of(packet.from), name_of(packet.to)) else {
                continue;
            };
            if self.network.connects(&from, &to) {
                self.host(&to).inbox.push(packet);
            }
        }
    }

    fn run_host(&mut self, name: &str) {
        let now = self.now;
        let host = self.host(name);
        if !host.is_running() {
            return;
        }
        let mut events = host.sync(now);
        let received = host.inbox.drain(..).map(|p| Event::Receive {
            from: p.from,
            msg: p.msg,
        });
        events.extend(received);
        if now.is_multiple_of(TICK_EVERY) {
            events.push(Event::Tick);
        }
        for event in events {
            self.step(name, event);
        }
    }

    /// Terms in which each host leads, for reports.
    pub fn leading(&self) -> BTreeMap<String, Term> {
        let leading = self.hosts.iter().filter(|h| h.replica.is_some());
        leading
            .filter_map(|h| Some((h.name.clone(), h.leads?)))
            .collect()
    }

    pub fn committed_index(&self) -> LogIndex {
        LogIndex(self.checker.committed().len() as u64)
    }
}
