use std::fs;

use yare::parameterized;

use crate::script::Script;

const FOLDER: &str = "tests/scenarios";

/// Each case guards against the failure described at the head of its script.
#[parameterized(
    leader_killed = { "leader-killed" },
    silent_partition_of_the_leader = { "silent-partition-of-the-leader" },
    two_voters_lost_and_replaced = { "two-voters-lost-and-replaced" },
    second_loss_after_a_repair = { "second-loss-after-a-repair" },
    far_behind = { "far-behind" },
    lost_disk = { "lost-disk" },
    torn_tail = { "torn-tail" },
    failed_sync = { "failed-sync" },
    transfer = { "transfer" },
    paused_leader = { "paused-leader" },
    cut_during_member_change = { "cut-during-member-change" },
    lost_disk_right_after_repair = { "lost-disk-right-after-repair" },
)]
fn script_output_is_as_expected(name: &str) {
    datadriven::walk(&format!("{FOLDER}/{name}"), |file| {
        let mut script = Script::default();
        file.run(|case| script.run(case));
    });
}

/// Guards against a script file that no case of `script_output_is_as_expected` runs.
#[test]
fn every_script_has_a_case() {
    assert_eq!(fs::read_dir(FOLDER).unwrap().count(), 12);
}
