//! Processor time for each replicated record, and messages and bytes of idle and busy members.
//!
//! Usage: `cargo run --release -p tarragon-agreement --example replication_cost`. Six replicas (five
//! voters and a standby) run in one thread without disk and network, so the time is that of the
//! decisions alone. Sizes are those of the messages encoded with postcard, without framing.

use std::{collections::VecDeque, fs, time::Instant};

use bytes::Bytes;
use tarragon_agreement::{
    Action, Config, Event, Member, Members, PeerMsg, Recovered, Replica, Role, SnapshotMeta,
};
use tarragon_names::{HostName, MemberId, Millis};

const VOTERS: u64 = 5;
const MEMBERS: u64 = 6;

/// Size of a record, about that of a start of a task.
const RECORD_BYTES: usize = 200;

const RECORDS: usize = 200_000;

/// Applied entries between two snapshots, so that the logs stay short as in the daemon.
const SNAPSHOT_EVERY: u64 = 20_000;

/// Messages sent so far, and their size.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    appends: usize,
    append_bytes: usize,
    replies: usize,
    reply_bytes: usize,
}

/// Replicas that exchange messages and sync without delay.
struct Group {
    now: Millis,
    replicas: Vec<Replica>,
    snapshots: Vec<u64>,
    events: VecDeque<(usize, Event)>,
    traffic: Traffic,
    /// Sizes are not worked out while time is measured.
    sizes: bool,
}

impl Group {
    fn new() -> Self {
        let member = |id| {
            let role = if id <= VOTERS {
                Role::Voter
            } else {
                Role::Learner
            };
            let host = HostName::from(format!("host-{id}"));
            (MemberId(id), Member { host, role })
        };
        let members = Members {
            by_id: (1..=MEMBERS).map(member).collect(),
        };
        let replica = |id| {
            let meta = SnapshotMeta {
                members: members.clone(),
                ..SnapshotMeta::default()
            };
            let recovered = Recovered {
                id: MemberId(id),
                snapshot: Some((meta, Bytes::new())),
                ..Recovered::default()
            };
            Replica::new(Config::default(), recovered, id)
        };
        Self {
            now: Millis(0),
            replicas: (1..=MEMBERS).map(replica).collect(),
            snapshots: vec![0; MEMBERS as usize],
            events: VecDeque::new(),
            traffic: Traffic::default(),
            sizes: true,
        }
    }

    fn run(&mut self) {
        while let Some((at, event)) = self.events.pop_front() {
            for action in self.replicas[at].step(self.now, event) {
                self.carry_out(at, action);
            }
        }
    }

    fn carry_out(&mut self, at: usize, action: Action) {
        let event = match action {
            Action::Send { to, msg, .. } => {
                self.count(&msg);
                let from = self.replicas[at].id();
                let event = Event::Receive { from, msg };
                self.events.push_back((to.0 as usize - 1, event));
                return;
            }
            Action::SaveVote { term, voted_for } => Event::VoteSynced { term, voted_for },
            Action::Append { entries, .. } => {
                let Some(last) = entries.last() else {
                    return;
                };
                let (index, term) = (last.index, last.term);
                Event::Synced { index, term }
            }
            Action::Apply { entries } => {
                let Some(last) = entries.last() else {
                    return;
                };
                if last.index.0 - self.snapshots[at] < SNAPSHOT_EVERY {
                    return;
                }
                self.snapshots[at] = last.index.0;
                let Some(meta) = self.replicas[at].snapshot_meta(last.index) else {
                    return;
                };
                Event::SnapshotSaved { meta }
            }
            _ => return,
        };
        self.events.push_back((at, event));
    }

    fn count(&mut self, msg: &PeerMsg) {
        let bytes = if self.sizes {
            postcard::to_allocvec(msg).map_or(0, |encoded| encoded.len())
        } else {
            0
        };
        if let PeerMsg::Append { .. } = msg {
            self.traffic.appends += 1;
            self.traffic.append_bytes += bytes;
        } else {
            self.traffic.replies += 1;
            self.traffic.reply_bytes += bytes;
        }
    }

    /// Lets time pass with nothing but ticks.
    fn idle(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now += Millis(50);
            for at in 0..self.replicas.len() {
                self.events.push_back((at, Event::Tick));
            }
            self.run();
        }
    }

    fn propose(&mut self, leader: usize, batch: usize) {
        let record = Bytes::from_static(&[7; RECORD_BYTES]);
        let records = vec![record; batch];
        let event = Event::Propose { token: 0, records };
        self.events.push_back((leader, event));
        self.run();
    }

    fn leader(&self) -> Option<usize> {
        self.replicas.iter().position(|r| r.lease_valid(self.now))
    }
}

fn main() {
    let mut group = Group::new();
    group.idle(5_000);
    let Some(leader) = group.leader() else {
        eprintln!("no leader was elected");
        return;
    };
    idle_report(&mut group);
    println!("batch  cpu us/record  wall us/record  appends/record  bytes/append  bytes/reply");
    for batch in [1, 16, 256, 1_024] {
        busy_report(&mut group, leader, batch);
    }
}

fn idle_report(group: &mut Group) {
    let seconds = 60;
    group.traffic = Traffic::default();
    group.idle(seconds * 1_000);
    let cpu_us = idle_cpu_us(group);
    let t = group.traffic;
    let followers = MEMBERS as usize - 1;
    println!(
        "idle: {:.1} appends/s of {} bytes to each follower, replies of {} bytes, {:.0} B/s for \
         each follower and direction together, cpu {cpu_us:.0} us/s for all six",
        t.appends as f64 / seconds as f64 / followers as f64,
        t.append_bytes / t.appends.max(1),
        t.reply_bytes / t.replies.max(1),
        (t.append_bytes + t.reply_bytes) as f64 / seconds as f64 / followers as f64,
    );
}

/// Processor time for each second in which nothing is proposed. The kernel's reading advances in
/// steps of some milliseconds, so a long time is simulated.
fn idle_cpu_us(group: &mut Group) -> f64 {
    let seconds = 20_000;
    group.sizes = false;
    let before = cpu_ns();
    let traffic = group.traffic;
    group.idle(seconds * 1_000);
    group.traffic = traffic;
    group.sizes = true;
    (cpu_ns() - before) as f64 / 1_000.0 / seconds as f64
}

fn busy_report(group: &mut Group, leader: usize, batch: usize) {
    let rounds = RECORDS / batch;
    group.sizes = false;
    let (cpu, wall) = (cpu_ns(), Instant::now());
    for _ in 0..rounds {
        group.propose(leader, batch);
    }
    let records = (rounds * batch) as f64;
    let cpu = (cpu_ns() - cpu) as f64 / 1_000.0 / records;
    let wall = wall.elapsed().as_secs_f64() * 1e6 / records;
    // Sizes are taken in a second, shorter run.
    group.sizes = true;
    group.traffic = Traffic::default();
    let counted = 1 + 2_000 / batch;
    for _ in 0..counted {
        group.propose(leader, batch);
    }
    let t = group.traffic;
    println!(
        "{batch:>5}  {cpu:>13.3}  {wall:>14.3}  {:>14.3}  {:>12}  {:>11}",
        t.appends as f64 / (counted * batch) as f64,
        t.append_bytes / t.appends.max(1),
        t.reply_bytes / t.replies.max(1),
    );
}

/// Processor time of this thread so far.
fn cpu_ns() -> u64 {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = stat.split_whitespace().next();
    first.and_then(|ns| ns.parse().ok()).unwrap_or(0)
}
