//! Which members a leader reports as lagging, by the state of their replication.

use tarragon_agreement::{LagTracker, MemberProgress, ReplicationStatus, Role};
use tarragon_names::{HostName, LogIndex, MemberId, Millis, Term};
use yare::parameterized;

/// Last index of the leader's log.
const LAST: u64 = 1_000;

/// State of the member at a time in milliseconds.
#[derive(Clone, Copy)]
struct Sample {
    at: u64,
    matched: u64,
    silent_for: u64,
    has_unacknowledged: bool,
    snapshot_sent_at: Option<u64>,
    term: u64,
}

const STALLED: Sample = Sample {
    at: 0,
    matched: 100,
    silent_for: 10,
    has_unacknowledged: true,
    snapshot_sent_at: None,
    term: 1,
};

fn at(at: u64) -> Sample {
    Sample { at, ..STALLED }
}

fn matched(at: u64, matched: u64) -> Sample {
    Sample {
        at,
        matched,
        ..STALLED
    }
}

fn silent(at: u64, silent_for: u64) -> Sample {
    Sample {
        at,
        silent_for,
        ..STALLED
    }
}

fn without_entries(at: u64) -> Sample {
    Sample {
        at,
        has_unacknowledged: false,
        ..STALLED
    }
}

fn snapshot(at: u64, sent_at: u64) -> Sample {
    Sample {
        at,
        snapshot_sent_at: Some(sent_at),
        ..STALLED
    }
}

fn in_term(at: u64, term: u64) -> Sample {
    Sample {
        at,
        term,
        ..STALLED
    }
}

impl Sample {
    fn status(self) -> ReplicationStatus {
        ReplicationStatus {
            term: Term(self.term),
            at: Millis(self.at),
            last_index: LogIndex(LAST),
            members: vec![MemberProgress {
                id: MemberId(2),
                host: HostName::from("b"),
                role: Role::Voter,
                match_index: LogIndex(self.matched),
                silent_for: Millis(self.silent_for),
                has_unacknowledged: self.has_unacknowledged,
                snapshot_sent_at: self.snapshot_sent_at.map(Millis),
            }],
        }
    }
}

/// Guards against a report of a member that is not stalled, against a stalled one that is not reported,
/// and against reports that follow each small change.
#[parameterized(
    stalled = { &[at(0), at(9_999), at(10_000), at(20_000)], &[(10_000, true)] },
    moving_slowly = { &[at(0), matched(9_000, 101), matched(18_000, 102), matched(27_000, 103)], &[] },
    not_sent_to = { &[without_entries(0), without_entries(30_000)], &[] },
    probed_in_between = {
        &[at(0), without_entries(5_000), at(10_000)], &[(10_000, true)]
    },
    holds_everything = { &[matched(0, LAST), matched(30_000, LAST)], &[] },
    silent_then_back = {
        &[at(0), silent(9_000, 1_000), silent(60_000, 52_000), at(60_250), at(70_000)], &[]
    },
    lags_and_becomes_silent = {
        &[at(0), at(10_000), silent(20_000, 9_000), at(40_000)], &[(10_000, true)]
    },
    first_snapshot_under_way = { &[at(0), snapshot(5_000, 5_000), snapshot(60_000, 5_000)], &[] },
    first_snapshot_arrives = {
        &[snapshot(0, 0), snapshot(60_000, 0), matched(60_250, 900), matched(69_000, 901)], &[]
    },
    snapshots_sent_in_vain = {
        &[
            snapshot(0, 0),
            snapshot(9_000, 0),
            snapshot(10_000, 10_000),
            snapshot(19_000, 10_000),
            snapshot(19_001, 19_001),
        ],
        &[(19_000, true)]
    },
    catches_up = {
        &[at(0), at(10_000), matched(10_250, LAST)], &[(10_000, true), (10_250, false)]
    },
    takes_a_part_and_stops = {
        &[at(0), at(10_000), matched(10_250, 500), matched(30_000, 500)], &[(10_000, true)]
    },
    lags_again = {
        &[at(0), at(10_000), matched(11_000, LAST), in_term(12_000, 2), in_term(22_000, 2)],
        &[(10_000, true), (11_000, false), (22_000, true)]
    },
    new_term_forgets = { &[at(0), in_term(9_000, 2), in_term(18_000, 2)], &[] },
)]
fn lags_are_reported(samples: &[Sample], expected: &[(u64, bool)]) {
    let mut tracker = LagTracker::default();
    let mut reports = Vec::new();
    for sample in samples {
        let changes = tracker.observe(Some(&sample.status()));
        reports.extend(changes.iter().map(|c| (sample.at, c.is_lagging)));
    }
    assert_eq!(reports, expected);
}

/// Guards against a host that counts lagging members after it has lost the lead, and against a member
/// that is counted after it has left the group.
#[parameterized(
    lost_lead = { None },
    member_left = { Some(ReplicationStatus { members: Vec::new(), ..at(11_000).status() }) },
)]
fn lagging_members_are_forgotten(status: Option<ReplicationStatus>) {
    let mut tracker = LagTracker::default();
    tracker.observe(Some(&at(0).status()));
    tracker.observe(Some(&at(10_000).status()));
    assert_eq!(tracker.lagging().collect::<Vec<_>>(), [MemberId(2)]);
    assert!(tracker.observe(status.as_ref()).is_empty());
    assert_eq!(tracker.lagging().count(), 0);
}

/// Guards against the replacement of a lagging member that takes entries again, and against one that is
/// never replaced because it took some.
#[parameterized(
    standing_still = { &[at(0), at(10_000)], true },
    taking_a_part = { &[at(0), at(10_000), matched(10_250, 500)], false },
    stopped_again = { &[at(0), at(10_000), matched(10_250, 500), matched(20_249, 500)], false },
    stopped_again_for_long = {
        &[at(0), at(10_000), matched(10_250, 500), matched(20_250, 500)], true
    },
    silent_meanwhile = { &[at(0), at(10_000), silent(11_000, 1_000)], false },
    not_lagging_yet = { &[at(0), at(9_999)], false },
)]
fn stalled_member_stands_still(samples: &[Sample], is_stalled: bool) {
    let mut tracker = LagTracker::default();
    for sample in samples {
        tracker.observe(Some(&sample.status()));
    }
    assert_eq!(tracker.stalled().count() == 1, is_stalled);
}
