//! Guards against a group that never forms because seeds have no disk, and against two groups.

use std::collections::{BTreeMap, BTreeSet};

use tarragon_agreement::{Member, Members, Role};
use tarragon_membership::{FormationStep, FormationView, formation_step};
use tarragon_names::{HostName, MemberId};
use yare::parameterized;

const SEEDS: [&str; 3] = ["s1", "s2", "s3"];

fn names(hosts: &[&str]) -> Vec<HostName> {
    hosts.iter().map(|host| HostName::from(*host)).collect()
}

/// Member list of a replica with these voters.
fn members(hosts: &[&str]) -> Members {
    let voters = hosts.iter().zip(1..).map(|(host, id)| {
        let host = HostName::from(*host);
        let role = Role::Voter;
        (MemberId(id), Member { host, role })
    });
    Members {
        by_id: voters.collect::<BTreeMap<_, _>>(),
    }
}

fn ask(seeds: &[&str]) -> FormationStep {
    FormationStep::AskForConsent(names(seeds).into_iter().collect::<BTreeSet<_>>())
}

/// `without_replica` are the hosts that have said so.
#[parameterized(
    only_seed_with_a_disk = { "s1", &SEEDS, true, &["s2", "s3"], FormationStep::FormAlone },
    only_seed_with_a_disk_after_a_restart = {
        "s1", &SEEDS, false, &["s2", "s3"], FormationStep::FormAlone
    },
    one_seed_is_not_heard_yet = { "s1", &SEEDS, true, &["s3"], FormationStep::Wait },
    two_seeds_with_disks = { "s1", &SEEDS, true, &["s2"], FormationStep::Wait },
    only_seed = { "s1", &["s1"], true, &[], FormationStep::Wait },
    no_seed_with_a_disk = { "d1", &[], true, &SEEDS, ask(&SEEDS) },
    other_host_while_a_seed_is_not_heard_yet = {
        "d1", &[], true, &["s1", "s2"], FormationStep::Wait
    },
    other_host_after_a_restart = { "d1", &[], false, &SEEDS, FormationStep::Wait },
    seed_that_lost_its_disk = { "s1", &[], true, &["s2", "s3"], FormationStep::Wait },
    seed_that_lost_its_disk_after_a_restart = {
        "s1", &[], false, &["s2", "s3"], FormationStep::Wait
    },
    learner_of_a_group = { "d1", &["s1", "s2"], true, &["s1", "s2", "s3"], FormationStep::Wait },
)]
fn step_is(
    own: &str,
    voters: &[&str],
    is_first_start: bool,
    without_replica: &[&str],
    expected: FormationStep,
) {
    let view = FormationView {
        own: &HostName::from(own),
        members: &members(voters),
        seeds: &names(&SEEDS),
        is_first_start,
    };
    let without_replica = names(without_replica);
    let step = formation_step(view, |host| without_replica.contains(host));
    assert_eq!(step, expected);
}
