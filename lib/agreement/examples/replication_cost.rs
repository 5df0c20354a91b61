//! Measures the CPU time per replicated record, and the messages and bytes of an idle and of a busy
//! group.
//!
//! Usage: `cargo run --release -p tarragon-agreement --example replication_cost`. Six replicas
//! (five voters and one learner) run in one thread without disk and network, so the time covers
//! only the state machine. Message sizes are those of the postcard encoding, without framing.

use std::{collections::VecDeque, fs, time::Instant};

use bytes::Bytes;
use tarragon_agreement::{
    Action, Config, Event, Member, Members, PeerMsg, Recovered, Replica, Role, SnapshotMeta,
};
use tarragon_names::{HostName, MemberId, Millis};

const VOTER_COUNT: u64 = 5;
const MEMBER_COUNT: u64 = 6;

/// Size of a record, about that of the record for the start of a task.
const RECORD_BYTES: usize = 200;

/// Records proposed for each batch size.
const RECORD_COUNT: usize = 200_000;

/// Applied entries between two snapshots, which keep the logs as short as in the daemon.
const ENTRIES_BETWEEN_SNAPSHOTS: u64 = 20_000;

/// Number and total size of the messages sent, by type.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    appends: usize,
    append_bytes: usize,
    replies: usize,
    reply_bytes: usize,
}

/// Group of replicas whose messages and syncs have no delay.
struct Group {
    now: Millis,
    replicas: Vec<Replica>,
    /// Index of each replica's last snapshot.
    snapshot_indexes: Vec<u64>,
    events: VecDeque<(usize, Event)>,
    traffic: Traffic,
    /// Whether message sizes are computed; off while CPU time is measured.
    are_sizes_counted: bool,
}

impl Group {
    fn new() -> Self {
        let member = |id| {
            let role = if id <= VOTER_COUNT {
                Role::Voter
            } else {
                Role::Learner
            };
            let host = HostName::from(format!("host-{id}"));
            (MemberId(id), Member { host, role })
        };
        let members = Members {
            by_id: (1..=MEMBER_COUNT).map(member).collect(),
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
            replicas: (1..=MEMBER_COUNT).map(replica).collect(),
            snapshot_indexes: vec![0; MEMBER_COUNT as usize],
            events: VecDeque::new(),
            traffic: Traffic::default(),
            are_sizes_counted: true,
        }
    }

    fn process_events(&mut self) {
        while let Some((position, event)) = self.events.pop_front() {
            for action in self.replicas[position].step(self.now, event) {
                self.execute(position, action);
            }
        }
    }

    fn execute(&mut self, position: usize, action: Action) {
        let event = match action {
            Action::Send { to, msg, .. } => {
                self.count_message(&msg);
                let from = self.replicas[position].id();
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
                if last.index.0 - self.snapshot_indexes[position] < ENTRIES_BETWEEN_SNAPSHOTS {
                    return;
                }
                self.snapshot_indexes[position] = last.index.0;
                let Some(meta) = self.replicas[position].snapshot_meta(last.index) else {
                    return;
                };
                Event::SnapshotSaved { meta }
            }
            _ => return,
        };
        self.events.push_back((position, event));
    }

    fn count_message(&mut self, msg: &PeerMsg) {
        let bytes = if self.are_sizes_counted {
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

    /// Advances the time by `ms` with ticks as the only events.
    fn run_idle(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now += Millis(50);
            for position in 0..self.replicas.len() {
                self.events.push_back((position, Event::Tick));
            }
            self.process_events();
        }
    }

    fn propose(&mut self, leader: usize, batch: usize) {
        let record = Bytes::from_static(&[7; RECORD_BYTES]);
        let records = vec![record; batch];
        let event = Event::Propose { token: 0, records };
        self.events.push_back((leader, event));
        self.process_events();
    }

    fn leader(&self) -> Option<usize> {
        self.replicas.iter().position(|r| r.lease_valid(self.now))
    }
}

fn main() {
    let mut group = Group::new();
    group.run_idle(5_000);
    let Some(leader) = group.leader() else {
        eprintln!("no leader was elected");
        return;
    };
    report_idle(&mut group);
    println!("batch  cpu us/record  wall us/record  appends/record  bytes/append  bytes/reply");
    for batch in [1, 16, 256, 1_024] {
        report_busy(&mut group, leader, batch);
    }
}

fn report_idle(group: &mut Group) {
    let seconds = 60;
    group.traffic = Traffic::default();
    group.run_idle(seconds * 1_000);
    let cpu_us = idle_cpu_us(group);
    let traffic = group.traffic;
    let followers = MEMBER_COUNT as usize - 1;
    println!(
        "idle: {:.1} appends/s of {} bytes to each follower, replies of {} bytes, {:.0} B/s for \
         each follower and direction together, cpu {cpu_us:.0} us/s for all six",
        traffic.appends as f64 / seconds as f64 / followers as f64,
        traffic.append_bytes / traffic.appends.max(1),
        traffic.reply_bytes / traffic.replies.max(1),
        (traffic.append_bytes + traffic.reply_bytes) as f64 / seconds as f64 / followers as f64,
    );
}

/// Returns the CPU microseconds per simulated second without proposals. The kernel updates the CPU
/// time in steps of some milliseconds, so a long time is simulated.
fn idle_cpu_us(group: &mut Group) -> f64 {
    let seconds = 20_000;
    group.are_sizes_counted = false;
    let before = cpu_ns();
    let traffic = group.traffic;
    group.run_idle(seconds * 1_000);
    group.traffic = traffic;
    group.are_sizes_counted = true;
    (cpu_ns() - before) as f64 / 1_000.0 / seconds as f64
}

fn report_busy(group: &mut Group, leader: usize, batch: usize) {
    let rounds = RECORD_COUNT / batch;
    group.are_sizes_counted = false;
    let (cpu, wall) = (cpu_ns(), Instant::now());
    for _ in 0..rounds {
        group.propose(leader, batch);
    }
    let records = (rounds * batch) as f64;
    let cpu = (cpu_ns() - cpu) as f64 / 1_000.0 / records;
    let wall = wall.elapsed().as_secs_f64() * 1e6 / records;
    // Message sizes are measured in a second, shorter run.
    group.are_sizes_counted = true;
    group.traffic = Traffic::default();
    let counted = 1 + 2_000 / batch;
    for _ in 0..counted {
        group.propose(leader, batch);
    }
    let traffic = group.traffic;
    println!(
        "{batch:>5}  {cpu:>13.3}  {wall:>14.3}  {:>14.3}  {:>12}  {:>11}",
        traffic.appends as f64 / (counted * batch) as f64,
        traffic.append_bytes / traffic.appends.max(1),
        traffic.reply_bytes / traffic.replies.max(1),
    );
}

/// Returns the CPU time of this thread so far.
fn cpu_ns() -> u64 {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = stat.split_whitespace().next();
    first.and_then(|ns| ns.parse().ok()).unwrap_or(0)
}
