//! Members of a running group that answer the leader but acknowledge no entries.

use bytes::Bytes;
use tarragon_agreement::{Event, LagTracker};
use tarragon_names::MemberId;
use yare::parameterized;

use crate::fakes::Cluster;

/// Time between two observations and two entries, in milliseconds.
const STEP_MS: u64 = 100;

/// Steps in the time after which a member lags.
const LAG_STEPS: u64 = 100;

/// Steps within which a member whose disk has room again catches up.
const CATCH_UP_STEPS: u64 = 150;

/// A group of three and what its leader says of the members.
struct Group {
    cluster: Cluster,
    leader: String,
    follower: String,
    tracker: LagTracker,
    /// Begins (true) and ends (false) of lags so far.
    changes: Vec<(MemberId, bool)>,
}

impl Group {
    fn new() -> Self {
        let mut cluster = Cluster::new(3, 0, 7);
        cluster.run(5_000);
        let leader = cluster.leader().expect("a leader");
        let mut names = cluster.hosts.iter().map(|h| h.name.clone());
        let follower = names.find(|name| *name != leader).expect("a follower");
        Self {
            cluster,
            leader,
            follower,
            tracker: LagTracker::default(),
            changes: Vec::new(),
        }
    }

    fn propose(&mut self) {
        let leader = self.cluster.leader().expect("a leader");
        let token = self.cluster.next_token();
        let records = vec![Bytes::from(token.to_string())];
        self.cluster
            .step(&leader, Event::Propose { token, records });
    }

    /// Lets the group run and observes it; `entries` are proposed at each step.
    fn run(&mut self, steps: u64, entries: usize) {
        for _ in 0..steps {
            for _ in 0..entries {
                self.propose();
            }
            self.cluster.run(STEP_MS);
            let now = self.cluster.now;
            let host = self.cluster.host(&self.leader);
            let clock = host.clock(now);
            let status = host
                .replica
                .as_ref()
                .expect("it runs")
                .replication_status(clock);
            let changes = self.tracker.observe(status.as_ref());
            self.changes
                .extend(changes.iter().map(|c| (c.id, c.is_lagging)));
        }
    }

    fn fill(&mut self, is_full: bool) {
        let follower = self.follower.clone();
        self.cluster.host(&follower).disk.is_full = is_full;
    }

    fn follower_id(&mut self) -> MemberId {
        let follower = self.follower.clone();
        self.cluster.host(&follower).id
    }
}

/// Guards against a voter with a full disk that is not reported because it answers, also when the leader
/// sends it snapshots because it has cut its log, and against a report that is repeated or never ends.
#[parameterized(
    few_entries = { 1, false },
    log_is_cut_meanwhile = { 40, true },
)]
fn voter_with_a_full_disk_lags_until_it_has_room(entries: usize, is_log_cut: bool) {
    let mut group = Group::new();
    let id = group.follower_id();
    group.run(LAG_STEPS, entries);
    group.fill(true);
    // The first snapshot restarts the time, once it is sent again.
    group.run(3 * LAG_STEPS, entries);
    assert_eq!(group.changes, [(id, true)]);
    assert_eq!(group.tracker.lagging().collect::<Vec<_>>(), [id]);
    group.fill(false);
    group.run(CATCH_UP_STEPS, entries);
    assert_eq!(group.changes, [(id, true), (id, false)]);
    assert_eq!(group.tracker.lagging().count(), 0);
    let follower = group.follower.clone();
    let installed = group.cluster.host(&follower).snapshots_installed;
    assert_eq!(installed > 0, is_log_cut);
}

/// Guards against a report of a member that only takes long, that is behind and moving, that is silent,
/// or that lacks nothing.
#[parameterized(
    slow_disk = { |group: &mut Group| {
        let follower = group.follower.clone();
        group.cluster.host(&follower).sync_delay_ms = 2_000;
        group.run(3 * LAG_STEPS, 5);
    } },
    stopped_and_far_behind = { |group: &mut Group| {
        let follower = group.follower.clone();
        group.cluster.host(&follower).paused = true;
        group.run(3 * LAG_STEPS, 20);
        group.cluster.host(&follower).paused = false;
        group.run(3 * LAG_STEPS, 20);
    } },
    full_for_a_shorter_time = { |group: &mut Group| {
        for _ in 0..4 {
            group.fill(true);
            group.run(LAG_STEPS / 2, 1);
            group.fill(false);
            group.run(LAG_STEPS / 2, 1);
        }
    } },
    full_without_entries = { |group: &mut Group| {
        group.fill(true);
        group.run(3 * LAG_STEPS, 0);
    } },
)]
fn member_that_is_not_stalled_is_not_reported(faults: fn(&mut Group)) {
    let mut group = Group::new();
    let leader = group.leader.clone();
    faults(&mut group);
    assert_eq!(group.cluster.leader(), Some(leader), "the leader observes");
    assert_eq!(group.changes, []);
}
