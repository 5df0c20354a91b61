use std::collections::BTreeMap;

use bytes::Bytes;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use tarragon_agreement::{Event, Member, Members, Recovered, Role, SnapshotMeta};
use tarragon_names::{HostName, LogIndex, MemberId, Term};

use super::{Disk, Host, InvariantChecker, Network};

/// True time that passes in one round of `Cluster::run`, in milliseconds.
const ROUND_MS: u64 = 1;

/// Rounds between two ticks of each replica.
const TICK_INTERVAL_ROUNDS: u64 = 50;

/// Simulated hosts with their disks, the network between them and the true time.
#[derive(Debug)]
pub struct Cluster {
    pub now: u64,
    pub hosts: Vec<Host>,
    pub network: Network,
    pub checker: InvariantChecker,
    pub rng: ChaCha8Rng,
    token: u64,
    last_new_id: u64,
    seed: u64,
}

impl Cluster {
    /// Starts voters on the hosts `a`, `b`, ... and learners on the hosts after them.
    pub fn new(voters: usize, learners: usize, seed: u64) -> Self {
        let names: Vec<_> = ('a'..).take(voters + learners).map(String::from).collect();
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
            checker: InvariantChecker::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            token: 0,
            last_new_id: 100,
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

    /// Returns the host of the leader, or of the leader with the highest term if there are several.
    pub fn leader(&self) -> Option<String> {
        let running = self.hosts.iter().filter(|h| h.replica.is_some());
        let newest = running
            .filter(|h| h.leading_term.is_some())
            .max_by_key(|h| h.leading_term);
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

    /// Replaces the disk with an empty one and restarts the host under a new identity, which is not
    /// in the member list.
    pub fn lose_disk(&mut self, name: &str) {
        self.last_new_id += 1;
        let id = MemberId(self.last_new_id);
        let new_disk = Disk::new(Recovered {
            id,
            ..Recovered::default()
        });
        let host = self.host(name);
        host.crash(0);
        (host.disk, host.id) = (new_disk, id);
        self.start(name);
    }

    /// Passes an event to a host's replica and sends the resulting messages.
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
            self.now += ROUND_MS;
            self.deliver();
            let names: Vec<_> = self.hosts.iter().map(|h| h.name.clone()).collect();
            for name in names {
                self.run_host(&name);
            }
        }
    }

    /// Returns the highest number of records applied on any host.
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
            // A message from or to an identity that lost its disk is dropped.
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
        if now.is_multiple_of(TICK_INTERVAL_ROUNDS) {
            events.push(Event::Tick);
        }
        for event in events {
            self.step(name, event);
        }
    }

    /// Returns each host that is a leader, with the term of its leadership.
    pub fn leading_terms(&self) -> BTreeMap<String, Term> {
        let running = self.hosts.iter().filter(|h| h.replica.is_some());
        running
            .filter_map(|h| Some((h.name.clone(), h.leading_term?)))
            .collect()
    }

    pub fn committed_index(&self) -> LogIndex {
        LogIndex(self.checker.committed().len() as u64)
    }
}
