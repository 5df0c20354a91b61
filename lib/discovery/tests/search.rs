//! Plays rounds of announcements among many hosts after a common restart.

mod common;

use common::Hosts;
use yare::parameterized;

/// Rounds from an election in which every host has to find the leader. Hosts have to be in touch again
/// within 8 rounds of a restart, of which an election takes up to 4.
const MAX_ROUNDS: usize = 4;

/// Guards against a search that takes longer the more hosts there are: after a common restart, hosts
/// know no other hosts than their seeds, and the followers' first calls to the leader may fail.
#[parameterized(
    nine_hosts = { 9, 3 },
    forty_five_hosts = { 45, 5 },
    one_hundred_and_fifty_hosts = { 150, 5 },
)]
fn all_hosts_find_an_elected_leader_within_four_rounds(hosts: usize, replicas: usize) {
    let mut hosts = Hosts::restarted(hosts, replicas);
    hosts.play_rounds(3);
    hosts.elect();
    hosts.fail_calls_of_followers();
    hosts.play_rounds(MAX_ROUNDS);
    assert_eq!(
        hosts.without_leader(),
        0,
        "hosts that do not know the leader"
    );
}

/// Guards against cells in which the search ends only by chance: any hosts as seeds, any number of
/// hosts, and a part of the calls lost until some rounds after the election.
#[test]
fn random_cells_find_their_leader_once_calls_are_answered() {
    for seed in 0..300 {
        let mut hosts = Hosts::random(seed);
        hosts.play_rounds(3);
        hosts.elect();
        hosts.fail_calls_of_followers();
        hosts.play_rounds(2);
        hosts.lost_percent = 0;
        hosts.play_rounds(MAX_ROUNDS);
        assert_eq!(
            hosts.without_leader(),
            0,
            "hosts without a leader, seed {seed}"
        );
    }
}
