//! Elections, replication and leases of a healthy group.

use crate::fakes::Cluster;
use bytes::Bytes;
use tarragon_agreement::Event;
use yare::parameterized;

/// Guards against a group that elects no leader or loses records without any failure.
#[parameterized(
    one = { 1, 0 },
    three = { 3, 0 },
    five_and_a_standby = { 5, 1 },
)]
fn records_reach_every_host(voters: usize, standbys: usize) {
    let mut cluster = Cluster::new(voters, standbys, 7);
    cluster.run(5_000);
    let leader = cluster.leader().expect("a leader");
    for i in 0..100_u64 {
        let token = cluster.next_token();
        let records = vec![Bytes::from(i.to_string())];
        cluster.step(&leader, Event::Propose { token, records });
        cluster.run(5);
    }
    cluster.run(500);
    for host in &cluster.hosts {
        assert_eq!(host.applied.len(), 100, "host {}", host.name);
    }
}

/// Guards against a leader that never gets its lease, so that reads wait for ever.
#[test]
fn leader_answers_reads_under_its_lease() {
    let mut cluster = Cluster::new(3, 0, 7);
    cluster.run(5_000);
    let leader = cluster.leader().expect("a leader");
    let token = cluster.next_token();
    cluster.step(&leader, Event::Read { token });
    let answers = &cluster.host(&leader).answers;
    assert!(
        answers
            .iter()
            .any(|(t, index)| *t == token && index.is_some())
    );
}
