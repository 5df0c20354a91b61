//! Bounds in bytes of the records in memory and of the uncommitted records.

use bytes::Bytes;
use tarragon_agreement::{Config, Event};
use tarragon_names::LogIndex;
use yare::parameterized;

use crate::fakes::Cluster;

/// Size of each record, in bytes.
const RECORD_BYTES: usize = 300;

/// Number of records that are committed while a follower is cut off.
const RECORDS: usize = 40;

/// Starts three voters with the given settings and returns their leader.
fn start_with(cfg: &Config) -> (Cluster, String) {
    let mut cluster = Cluster::new(3, 0, 7);
    for host in &mut cluster.hosts {
        host.cfg = cfg.clone();
        host.snapshot_interval_entries = 10;
        host.start(u64::from(host.name.as_bytes()[0]));
    }
    cluster.run(5_000);
    let leader = cluster.leader().expect("a leader");
    (cluster, leader)
}

/// Proposes a batch of records and returns whether it was accepted.
fn propose(cluster: &mut Cluster, leader: &str, count: usize) -> bool {
    let token = cluster.next_token();
    let records = vec![Bytes::from(vec![b'r'; RECORD_BYTES]); count];
    cluster.step(leader, Event::Propose { token, records });
    !cluster.host(leader).answers.contains(&(token, None))
}

/// Returns the index of the leader's snapshot and the number of entries before it in memory.
fn snapshot_and_kept(cluster: &mut Cluster, leader: &str) -> (LogIndex, u64) {
    let host = cluster.host(leader);
    let (meta, _) = host.disk.durable.snapshot.as_ref().expect("a snapshot");
    let replica = host.replica.as_ref().expect("the process is running");
    let is_known = |index: &u64| replica.snapshot_meta(LogIndex(*index)).is_some();
    let base = (0..=meta.index.0).find(is_known).expect("a known term");
    (meta.index, meta.index.0 - base)
}

/// Guards against a leader that keeps large entries in memory for a slow follower because they are
/// few, and against a follower behind the kept entries that gets neither them nor the snapshot.
#[parameterized(
    none = { RECORD_BYTES - 1, 0, 1 },
    three = { 4 * RECORD_BYTES - 1, 3, 1 },
    exactly_four = { 4 * RECORD_BYTES, 4, 1 },
    all = { 2 * RECORDS * RECORD_BYTES, u64::MAX, 0 },
)]
fn entries_kept_after_a_snapshot_are_bounded_in_bytes(
    keep_bytes: usize,
    max_kept: u64,
    expected_installed: u64,
) {
    let (mut cluster, leader) = start_with(&Config {
        keep_bytes,
        ..Config::default()
    });
    let behind = ["a", "b"].into_iter().find(|name| *name != leader);
    let behind = behind.expect("a follower");
    cluster.network.cut(behind);
    for _ in 0..RECORDS {
        assert!(propose(&mut cluster, &leader, 1));
        cluster.run(20);
    }
    let (snapshot, kept) = snapshot_and_kept(&mut cluster, &leader);
    assert!(snapshot.0 > RECORDS as u64 / 2, "snapshot at {snapshot}");
    assert_eq!(kept, max_kept.min(snapshot.0));
    cluster.network.heal();
    cluster.run(10_000);
    let host = cluster.host(behind);
    assert_eq!(host.snapshots_installed, expected_installed);
    assert_eq!(host.applied.len(), RECORDS);
}

/// Guards against large records that fill the memory of a leader without a majority, and against a
/// leader that stays closed afterwards or that never accepts a batch larger than the bound.
#[parameterized(
    single_records = { &[1, 1, 1, 1], &[true, true, true, false] },
    small_after_refused = { &[2, 2, 1, 1], &[true, false, true, false] },
    batch_above_the_bound = { &[5, 1], &[true, false] },
    batch_above_the_bound_comes_second = { &[1, 5, 2], &[true, false, true] },
)]
fn uncommitted_records_are_bounded_in_bytes(batches: &[usize], expected: &[bool]) {
    let (mut cluster, leader) = start_with(&Config {
        max_uncommitted_bytes: 3 * RECORD_BYTES,
        ..Config::default()
    });
    cluster.network.cut(&leader);
    let mut accepted = Vec::new();
    for count in batches {
        accepted.push(propose(&mut cluster, &leader, *count));
        cluster.run(10);
    }
    assert_eq!(accepted, expected);
    cluster.network.heal();
    cluster.run(1_000);
    assert_eq!(cluster.leader().as_ref(), Some(&leader));
    let committed = batches.iter().zip(expected).filter(|(_, is)| **is);
    let committed: usize = committed.map(|(count, _)| *count).sum();
    assert_eq!(cluster.records(), committed);
    assert!(propose(&mut cluster, &leader, 3));
    cluster.run(500);
    for host in &cluster.hosts {
        assert_eq!(host.applied.len(), committed + 3, "host {}", host.name);
    }
}
